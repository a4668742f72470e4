import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { Result } from "../common/results.js";
import { ObjectHandler } from "../provider/objectFollower.js";
import { ObjectList, StoredObject } from "../provider/types.js";
import { EndpointDirectory } from "./endpointDirectory.js";
import { EndpointEntry } from "./types.js";

/** Time after an outage of the store until which missing entries may come back, in milliseconds: two seconds by the store's terms, and a little. */
const returnMilliseconds = 2_300;
/** Time in which a change reaches every node that watches the store, in milliseconds: a few answers of the store. */
const newsMilliseconds = 250;
const storeSource = "store";

/** Reads an endpoint's entry from the form in which a deployment stores it. */
export interface EndpointDecoder {
    /** Prefix of the objects that hold entries; the rest of an object's name is the endpoint's id. */
    readonly prefix: string;
    decodeEndpoint(object: StoredObject): Result<EndpointEntry, string>;
}

/** Keeps the directory by what endpoints write to the store. */
export class EndpointFollower implements ObjectHandler {
    private readonly pendingRemovals = new Map<string, number>();
    private getRegainedAt: () => number = () => -Infinity;
    private revision = 0;
    private changedAt = -Infinity;

    private constructor(
        private readonly directory: EndpointDirectory,
        private readonly decoder: EndpointDecoder,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(directory: EndpointDirectory, decoder: EndpointDecoder, clock: Clock, log: EventLog): EndpointFollower {
        return new EndpointFollower(directory, decoder, clock, log);
    }

    /** Says where the end of the store's last outage is looked up, as a monotonic time. */
    setOutageSource(getRegainedAt: () => number): void {
        this.getRegainedAt = getRegainedAt;
    }

    /** Returns the highest revision of an entry that was applied. */
    getRevision(): number {
        return this.revision;
    }

    /** Records that the directory is complete up to a revision of the store, by what a peer told. */
    recordRevision(revision: number): void {
        if (revision > this.revision) {
            this.revision = revision;
            this.changedAt = this.clock.getMonotonicTime();
        }
    }

    /** Whether its newest change is so old that other nodes' watches would have shown it to them. */
    hasOldNews(): boolean {
        return this.clock.getMonotonicTime() - this.changedAt > newsMilliseconds;
    }

    handleListing(list: ObjectList): void {
        const before = this.revision;
        this.applyListing(list);
        if (this.revision > before) {
            // Found by listing, so it happened some time ago.
            this.changedAt = -Infinity;
        }
    }

    private applyListing(list: ObjectList): void {
        const listed = new Set(list.objects.map(object => object.name));
        list.objects.forEach(object => this.handleChange(object));
        // Also those that peers told of: the store never showed them to this node.
        for (const { entry, revision } of this.directory.listEntries()) {
            const name = this.decoder.prefix + entry.id;
            if (!listed.has(name) && revision < list.revision) {
                this.handleRemoval(name, list.revision);
            }
        }
    }

    handleChange(object: StoredObject): void {
        const decoded = this.decoder.decodeEndpoint(object);
        if (decoded.err) {
            this.log.log(LogEvents.EndpointEntryFaulty, { entry: object.name, revision: object.revision, fault: decoded.val });
            return;
        }
        this.pendingRemovals.delete(object.name);
        this.recordRevision(object.revision);
        this.directory.applyEntry({ entry: decoded.val, revision: object.revision }, storeSource);
    }

    /** Removes an endpoint whose entry is gone. Entries that lapsed in an outage of the store get the time to come back. */
    handleRemoval(name: string, revision: number): void {
        const returnsUntil = this.getRegainedAt() + returnMilliseconds;
        const wait = returnsUntil - this.clock.getMonotonicTime();
        if (wait <= 0) {
            this.removeEndpoint(name, revision);
            return;
        }
        this.pendingRemovals.set(name, revision);
        void this.clock.sleep(wait).then(() => {
            if (this.pendingRemovals.get(name) === revision) {
                this.removeEndpoint(name, revision);
            }
        });
    }

    private removeEndpoint(name: string, revision: number): void {
        this.pendingRemovals.delete(name);
        this.recordRevision(revision);
        this.directory.removeEntry(name.slice(this.decoder.prefix.length), revision, storeSource);
    }
}
