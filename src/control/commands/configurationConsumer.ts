import { Metrics } from "../../common/metrics.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { configurationPrefix } from "../../config/objectNames.js";
import { teamConfigurationSchema } from "../../config/types.js";
import { StoredObject } from "../../provider/types.js";
import { SharedObjectConsumer } from "../sharedObjects.js";

/** Is notified when a new configuration of a team has been applied. */
export interface ConfigurationListener {
    handleConfiguration(team: string, revision: number): void;
}

/** Applies the teams' configuration objects to the node's configuration set and notifies its listeners. */
export class ConfigurationConsumer implements SharedObjectConsumer {
    readonly prefix = configurationPrefix;
    private readonly listeners = new Set<ConfigurationListener>();

    private constructor(private readonly configuration: ConfigurationSet, private readonly metrics: Metrics) {}

    static create(configuration: ConfigurationSet, metrics: Metrics): ConfigurationConsumer {
        return new ConfigurationConsumer(configuration, metrics);
    }

    addListener(listener: ConfigurationListener): void {
        this.listeners.add(listener);
    }

    applyObject(object: StoredObject): boolean {
        const team = object.name.slice(this.prefix.length);
        const parsed = teamConfigurationSchema.safeParse(object.value);
        if (!parsed.success || parsed.data.team.name !== team) {
            return false;
        }
        this.configuration.applyObject({ team, revision: object.revision, configuration: parsed.data });
        this.metrics.configurationRevision.set({ team }, object.revision);
        this.listeners.forEach(listener => listener.handleConfiguration(team, object.revision));
        return true;
    }
}
