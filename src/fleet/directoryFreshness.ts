import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";

/** Age of what a node knows of the endpoints, as a share of the time in which a change must be in force, from which it reads them before it sends. */
const staleShareOfApplyLimit = 0.7;
/** Longest time for which requests wait for that read, as a share of the same time. */
const waitShareOfApplyLimit = 0.2;
/** Time after a read that did not come in time in which no request waits for another, as a share of the same time. */
const retryShareOfApplyLimit = 0.5;
const pollMilliseconds = 20;

/** What a node knows of the endpoints, and how it reads them again. */
export interface DirectorySource {
    /** Returns the age of the node's knowledge of the endpoints, in milliseconds. */
    getAge(): number;
    /** Returns whether this node or a peer reached the store with its last call. */
    isReadable(): boolean;
    /** Starts to read the changes of the endpoints at once. */
    renew(): void;
}

/**
 * Keeps a node from sending requests by old knowledge. What a follower hears of the endpoints may come late on every path at once: its relay
 * is busy, its own watch pauses or waits on a silent connection, and its event loop is late. An endpoint may then have left for longer than
 * a change may take. A node that cannot read the store goes on with what it knows.
 */
export class DirectoryFreshness {
    private renewal: Promise<void> | undefined;
    private noWaitUntil = -Infinity;

    private constructor(
        private readonly source: DirectorySource,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly applyLimit: number,
    ) {}

    /** `applyLimit` is the time in which a change must be in force on every node, in milliseconds. */
    static create(source: DirectorySource, clock: Clock, log: EventLog, applyLimit: number): DirectoryFreshness {
        return new DirectoryFreshness(source, clock, log, applyLimit);
    }

    /** Returns whether requests should wait until the endpoints have been read again. */
    isStale(): boolean {
        return this.source.getAge() > this.applyLimit * staleShareOfApplyLimit && this.source.isReadable()
            && (this.renewal !== undefined || this.clock.getMonotonicTime() >= this.noWaitUntil);
    }

    /** Waits, for a limited time, until the endpoints have been read again. All requests that wait share one read. */
    waitUntilFresh(): Promise<void> {
        this.renewal ??= this.renew().finally(() => (this.renewal = undefined));
        return this.renewal;
    }

    private async renew(): Promise<void> {
        const age = this.source.getAge();
        const startedAt = this.clock.getMonotonicTime();
        const endsAt = startedAt + this.applyLimit * waitShareOfApplyLimit;
        this.source.renew();
        while (this.source.getAge() > this.applyLimit * staleShareOfApplyLimit && this.clock.getMonotonicTime() < endsAt) {
            await this.clock.sleep(pollMilliseconds);
        }
        const endedAt = this.clock.getMonotonicTime();
        const isRenewed = this.source.getAge() <= this.applyLimit * staleShareOfApplyLimit;
        if (!isRenewed) {
            this.noWaitUntil = endedAt + this.applyLimit * retryShareOfApplyLimit;
        }
        this.log.log(LogEvents.DirectoryRenewed, { age: Math.round(age), milliseconds: Math.round(endedAt - startedAt), isRenewed });
    }
}
