import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { ObjectStore, writeObject } from "../../provider/objectStore.js";
import { StoredObject, WriteOutcome } from "../../provider/types.js";

/** Renewals that the holder attempts in one term. */
const renewalsPerTerm = 3;
/** Polls of the lease that a candidate makes in one term. */
const candidatePollsPerTerm = 1.5;
/**
 * Clock drift between nodes that is tolerated, as a fraction of the term: a holder stops that much before the end of the term,
 * a candidate waits that much longer.
 */
const clockDriftFraction = 0.1;

const leaseSchema = z.object({
    holder: z.string(),
    incarnation: z.number(),
    /** Increases by one with each acquisition; serves as the fencing number of orders. */
    transitions: z.number().int(),
    renewals: z.number().int(),
});
type StoredLease = z.infer<typeof leaseSchema>;

/** Start of a round, in milliseconds of the monotonic and of the wall clock. */
interface StartTime {
    readonly monotonic: number;
    readonly wall: number;
}

/** The node that competes for a lease. A restarted node is another candidate, since its incarnation differs. */
export interface LeaseCandidate {
    readonly name: string;
    readonly incarnation: number;
}

/** A lease that is held now: its fencing number and validity. */
export interface LeaseGrant {
    readonly fencing: number;
    /** Milliseconds for which the lease is still guaranteed to be held. */
    readonly remaining: number;
    /** Milliseconds since this holder acquired the lease. */
    readonly heldFor: number;
}

/** Is notified when this node has acquired a lease; writes logs and metrics. */
export interface LeaseObserver {
    recordAcquisition(lease: string, fencing: number): void;
}

/** Monitors the current holder by other means than the store, such as gossip; while it is reachable, a candidate does not poll. */
export interface LeaseHolderMonitor {
    isHolderReachable(): boolean;
}

/**
 * Acquires and renews one lease, an object in the platform's store, by conditional updates. A candidate acquires a held lease only
 * after its revision has not changed for a term on the candidate's own monotonic clock, so clocks of nodes are never compared.
 */
export class LeaseManager {
    private readonly stopping = new AbortController();
    private validUntilMonotonicTime = -Infinity;
    /** Unix milliseconds; the wall clock advances while the host is suspended, the monotonic clock does not. */
    private validUntilWallTime = -Infinity;
    private acquiredAt = 0;
    private transitions = 0;
    private observedRevision = -1;
    private revisionObservedAt = 0;

    private constructor(
        private readonly store: ObjectStore,
        private readonly clock: Clock,
        private readonly candidate: LeaseCandidate,
        readonly name: string,
        private readonly term: number,
        private readonly observer: LeaseObserver,
        private readonly holderMonitor: LeaseHolderMonitor | undefined,
    ) {}

    /** The term is in milliseconds. */
    static create(
        store: ObjectStore,
        clock: Clock,
        candidate: LeaseCandidate,
        name: string,
        term: number,
        observer: LeaseObserver,
        holderMonitor?: LeaseHolderMonitor,
    ): LeaseManager {
        return new LeaseManager(store, clock, candidate, name, term, observer, holderMonitor);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.getGrant() !== undefined || this.holderMonitor?.isHolderReachable() !== true) {
                await this.runRound();
            }
            // A candidate polls less often than a holder renews: it must wait for the end of the term anyway.
            const pollsPerTerm = this.getGrant() === undefined ? candidatePollsPerTerm : renewalsPerTerm;
            await this.clock.sleep(this.term / pollsPerTerm, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns the grant as of now, or undefined when the lease is not guaranteed to be held. */
    getGrant(): LeaseGrant | undefined {
        const now = this.clock.getMonotonicTime();
        const remaining = Math.min(this.validUntilMonotonicTime - now, this.validUntilWallTime - this.clock.getWallTime());
        if (remaining <= 0) {
            return undefined;
        }
        return { fencing: this.transitions, remaining, heldFor: now - this.acquiredAt };
    }

    /** Stops renewing and clears the holder in the store, so that another node can acquire the lease without waiting. */
    async release(): Promise<void> {
        this.stop();
        if (this.getGrant() === undefined) {
            return;
        }
        this.validUntilMonotonicTime = -Infinity;
        const found = await this.store.getObject(this.name);
        const lease = found.ok && found.val !== undefined ? parseLease(found.val) : undefined;
        if (found.ok && found.val !== undefined && lease !== undefined && this.isHeldByCandidate(lease)) {
            await this.store.replaceObject(this.name, { ...lease, holder: "" }, found.val.revision);
        }
    }

    /** Returns the longest time, in milliseconds, for which the previous holder may still consider its lease valid after a change. */
    getPreviousHolderTimeout(): number {
        return this.term * (1 + clockDriftFraction);
    }

    /** Drops the grant because another holder was observed. The lease is acquired again only when it is free. */
    recordLoss(): void {
        this.validUntilMonotonicTime = -Infinity;
    }

    /** Reads the lease once; renews it if this node holds it, acquires it if it is free or expired. */
    async runRound(): Promise<void> {
        const startedAt: StartTime = { monotonic: this.clock.getMonotonicTime(), wall: this.clock.getWallTime() };
        const found = await this.store.getObject(this.name);
        if (found.err) {
            return;
        }
        if (found.val === undefined) {
            await this.writeLease(undefined, 1, 0, startedAt);
            return;
        }
        const lease = parseLease(found.val);
        if (lease !== undefined && this.isHeldByCandidate(lease) && this.getGrant() !== undefined) {
            await this.writeLease(found.val, lease.transitions, lease.renewals + 1, startedAt);
            return;
        }
        this.observeRevision(found.val.revision);
        const sinceLastRenewal = this.clock.getMonotonicTime() - this.revisionObservedAt;
        const isFree = lease === undefined || lease.holder === "" || this.isHeldByCandidate(lease)
            || sinceLastRenewal > this.term * (1 + clockDriftFraction);
        if (isFree) {
            await this.writeLease(found.val, (lease?.transitions ?? 0) + 1, 0, startedAt);
        }
    }

    private isHeldByCandidate(lease: StoredLease): boolean {
        return lease.holder === this.candidate.name && lease.incarnation === this.candidate.incarnation;
    }

    private observeRevision(revision: number): void {
        // A stale read returns a lower revision; only a higher one counts as a renewal.
        if (revision > this.observedRevision) {
            this.observedRevision = revision;
            this.revisionObservedAt = this.clock.getMonotonicTime();
        }
    }

    private async writeLease(
        current: StoredObject | undefined,
        transitions: number,
        renewals: number,
        startedAt: StartTime,
    ): Promise<void> {
        const value: StoredLease = { holder: this.candidate.name, incarnation: this.candidate.incarnation, transitions, renewals };
        const written = await writeObject(this.store, this.name, value, current);
        if (written.ok) {
            this.applyGrant(value, startedAt);
            return;
        }
        if (written.val.outcome === WriteOutcome.Unknown) {
            await this.resolveUnknownOutcome(value, startedAt);
        }
    }

    /** Reads the lease after a write with unknown outcome: the write took effect if the object holds exactly the written value. */
    private async resolveUnknownOutcome(value: StoredLease, startedAt: StartTime): Promise<void> {
        const found = await this.store.getObject(this.name);
        if (found.err || found.val === undefined) {
            return;
        }
        const lease = parseLease(found.val);
        const isWritten = lease !== undefined && this.isHeldByCandidate(lease) && lease.transitions === value.transitions
            && lease.renewals === value.renewals;
        if (isWritten) {
            this.applyGrant(value, startedAt);
        }
    }

    private applyGrant(lease: StoredLease, startedAt: StartTime): void {
        const now = this.clock.getMonotonicTime();
        const isAcquisition = lease.transitions !== this.transitions || this.validUntilMonotonicTime <= now;
        this.transitions = lease.transitions;
        // Counted from before the write was sent, since candidates count from when they read it.
        this.validUntilMonotonicTime = startedAt.monotonic + this.term * (1 - clockDriftFraction);
        // The wall clock also covers a suspension of the host between the write and its response.
        this.validUntilWallTime = startedAt.wall + this.term * (1 - clockDriftFraction);
        if (isAcquisition) {
            this.acquiredAt = now;
            this.observer.recordAcquisition(this.name, this.transitions);
        }
    }
}

function parseLease(object: StoredObject): StoredLease | undefined {
    const parsed = leaseSchema.safeParse(object.value);
    return parsed.success ? parsed.data : undefined;
}
