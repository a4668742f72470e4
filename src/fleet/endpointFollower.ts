import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { Result } from "../common/results.js";
import { ObjectChangeHandler } from "../provider/objectWatcher.js";
import { Revision } from "../provider/revision.js";
import { ObjectList, StoredObject } from "../provider/types.js";
import { EndpointDirectory } from "./endpointDirectory.js";
import { EndpointEntry } from "./types.js";

/** Time for endpoints to register again after a store outage, in milliseconds: two seconds by the store's contract, plus a margin. */
const reregistrationMilliseconds = 2_300;
/** Time in which a change reaches every node that watches the store, in milliseconds: the time of a few store responses. */
const watchPropagationMilliseconds = 250;
const storeSource = "store";

/** Decodes endpoint entries from the format in which a deployment stores them. */
export interface EndpointDecoder {
    /** Prefix of the objects that hold entries; the rest of an object's name is the endpoint's id. */
    readonly prefix: string;
    /** Returns the entry, or a description of its faults. */
    decodeEndpoint(object: StoredObject): Result<EndpointEntry, string>;
}

/** Updates the endpoint directory from the entries that endpoints write to the store. */
export class EndpointFollower implements ObjectChangeHandler {
    private readonly pendingRemovalRevisions = new Map<string, number>();
    private getOutageEndedAt: () => number = () => -Infinity;
    private revision: Revision = 0;
    /** Highest revision whose change is old enough to have reached every node that watches the store. */
    private propagatedRevision: Revision = 0;
    /** Revisions of younger changes, in their order, with the times at which they were applied. */
    private readonly youngRevisions: { readonly revision: Revision; readonly at: number; }[] = [];

    private constructor(
        private readonly directory: EndpointDirectory,
        private readonly decoder: EndpointDecoder,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(directory: EndpointDirectory, decoder: EndpointDecoder, clock: Clock, log: EventLog): EndpointFollower {
        return new EndpointFollower(directory, decoder, clock, log);
    }

    /** Sets the function that returns the end of the store's last outage, in monotonic milliseconds; -Infinity before the first. */
    setOutageSource(getOutageEndedAt: () => number): void {
        this.getOutageEndedAt = getOutageEndedAt;
    }

    /** Returns the highest store revision up to which changes were applied. */
    getRevision(): number {
        return this.revision;
    }

    /** Records that the directory is complete up to a store revision; lower revisions are ignored. */
    recordRevision(revision: number): void {
        if (revision > this.revision) {
            this.revision = revision;
            this.youngRevisions.push({ revision, at: this.clock.getMonotonicTime() });
            this.removeOlderRevisions();
        }
    }

    /** Returns the highest revision whose change is old enough to have reached every node that watches the store. */
    getPropagatedRevision(): Revision {
        this.removeOlderRevisions();
        return this.propagatedRevision;
    }

    handleListing(list: ObjectList): void {
        const before = this.revision;
        this.applyListing(list);
        if (this.revision > before) {
            // A change found by listing was written some time ago, so other watches should have delivered it.
            this.propagatedRevision = this.revision;
        }
    }

    private applyListing(list: ObjectList): void {
        const listedNames = new Set(list.objects.map(object => object.name));
        list.objects.forEach(object => this.handleChange(object));
        // Includes endpoints received from peers, which this node has never read from the store.
        for (const { entry, revision } of this.directory.listEntries()) {
            const name = this.decoder.prefix + entry.id;
            if (!listedNames.has(name) && revision < list.revision) {
                this.handleRemoval(name, list.revision);
            }
        }
        this.directory.recordCompleteList(list.revision);
    }

    handleChange(object: StoredObject): void {
        const decoded = this.decoder.decodeEndpoint(object);
        if (decoded.err) {
            this.log.log(LogEvents.EndpointEntryFaulty, { entry: object.name, revision: object.revision, fault: decoded.val });
            return;
        }
        this.pendingRemovalRevisions.delete(object.name);
        this.recordRevision(object.revision);
        this.directory.applyEntry({ entry: decoded.val, revision: object.revision }, storeSource);
    }

    /**
     * Removes an endpoint whose entry was removed. After a store outage the removal is delayed, because an endpoint whose entry
     * expired in the outage may register again.
     */
    handleRemoval(name: string, revision: number): void {
        const reregistrationDeadline = this.getOutageEndedAt() + reregistrationMilliseconds;
        const delay = reregistrationDeadline - this.clock.getMonotonicTime();
        if (delay <= 0) {
            this.removeEndpoint(name, revision);
            return;
        }
        this.pendingRemovalRevisions.set(name, revision);
        void this.clock.sleep(delay).then(() => {
            if (this.pendingRemovalRevisions.get(name) === revision) {
                this.removeEndpoint(name, revision);
                this.directory.recordLateRemoval();
            }
        });
    }

    /** Moves revisions whose changes have had time to reach every node from the young ones to the propagated one. */
    private removeOlderRevisions(): void {
        const oldest = this.clock.getMonotonicTime() - watchPropagationMilliseconds;
        while (this.youngRevisions[0] !== undefined && this.youngRevisions[0].at < oldest) {
            this.propagatedRevision = Math.max(this.propagatedRevision, this.youngRevisions[0].revision);
            this.youngRevisions.shift();
        }
    }

    private removeEndpoint(name: string, revision: number): void {
        this.pendingRemovalRevisions.delete(name);
        this.recordRevision(revision);
        this.directory.removeEntry(name.slice(this.decoder.prefix.length), revision, storeSource);
    }
}
