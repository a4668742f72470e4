import { EventLog, LogFields } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { Result } from "../common/results.js";
import { ObjectChangeHandler } from "../provider/objectWatcher.js";
import { ObjectList, StoredObject } from "../provider/types.js";
import { ConfigurationHolder } from "./configurationHolder.js";
import { RouteConfiguration } from "./types.js";

/** Decodes the operator's configuration from the format in which a deployment stores it. */
export interface ConfigurationDecoder {
    /** Name of the object that holds the configuration. */
    readonly objectName: string;
    /** Returns the configuration, or a description of every fault. */
    decodeConfiguration(value: unknown): Result<RouteConfiguration, string[]>;
}

/** Applies the configuration that the operator writes to the store. */
export class ConfigurationFollower implements ObjectChangeHandler {
    private describeKnowledge: () => LogFields = () => ({});

    private constructor(
        private readonly holder: ConfigurationHolder,
        private readonly decoder: ConfigurationDecoder,
        private readonly log: EventLog,
    ) {}

    static create(holder: ConfigurationHolder, decoder: ConfigurationDecoder, log: EventLog): ConfigurationFollower {
        return new ConfigurationFollower(holder, decoder, log);
    }

    /** Sets the function that returns how old the node's knowledge is, for the log. */
    setKnowledgeSource(describeKnowledge: () => LogFields): void {
        this.describeKnowledge = describeKnowledge;
    }

    handleListing(list: ObjectList): void {
        list.objects.forEach(object => this.handleChange(object));
    }

    handleChange(object: StoredObject): void {
        if (object.name !== this.decoder.objectName) {
            return;
        }
        const decoded = this.decoder.decodeConfiguration(object.value);
        if (decoded.err) {
            this.log.log(LogEvents.ConfigurationFaulty, { revision: object.revision, faults: decoded.val.join("; ") });
            return;
        }
        this.applyConfiguration(decoded.val, "store");
    }

    /** Ignores the removal: the last configuration stays in force until another one is written. */
    handleRemoval(): void {}

    /** Applies a configuration if its version is newer; `source` is the store or the name of a peer. */
    applyConfiguration(configuration: RouteConfiguration, source: string): void {
        const before = this.holder.getVersion();
        if (!this.holder.applyConfiguration(configuration)) {
            return;
        }
        this.log.log(LogEvents.ConfigurationApplied, {
            version: configuration.version,
            before,
            source,
            routes: configuration.routes.length,
            services: configuration.services.length,
            teams: configuration.teams.length,
            ...this.describeKnowledge(),
        });
    }
}
