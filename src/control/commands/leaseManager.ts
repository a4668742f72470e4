import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { ObjectStore, writeObject } from "../../provider/objectStore.js";
import { getEra, Revision } from "../../provider/revision.js";
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
    /** Increases by one with each acquisition. */
    transitions: z.number().int(),
    renewals: z.number().int(),
    /** Era of the store in which the lease was written. A restored copy holds leases of an earlier era. */
    era: z.number().int().default(0),
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
    /**
     * Store revision of the write that acquired the lease: higher for each acquisition, also after the store was restored from a
     * copy, since that begins a new era.
     */
    readonly fencing: Revision;
    /** Fencing number under which this holder held the lease without a gap until the store was restored; undefined if it did not. */
    readonly continuedFencing: Revision | undefined;
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
    private fencing: Revision = 0;
    private continuedFencing: Revision | undefined;
    private observedRevision: Revision = -1;
    private revisionObservedAt = 0;
    /** The lease as this node last wrote it, so that the next renewal need not read it; undefined when another may have written it since. */
    private written: { readonly object: StoredObject; readonly lease: StoredLease; } | undefined;
    private observedEra: number | undefined;
    private eraObservedAt = -Infinity;

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
        const remaining = this.computeRemaining();
        // A lease of an earlier era is gone with what else was written after the copy from which the store was restored.
        if (remaining <= 0 || getEra(this.fencing) !== this.store.getEra()) {
            return undefined;
        }
        const heldFor = this.clock.getMonotonicTime() - this.acquiredAt;
        return { fencing: this.fencing, continuedFencing: this.continuedFencing, remaining, heldFor };
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
        if (this.written !== undefined && this.getGrant() !== undefined) {
            await this.renewLease(this.written.object, this.written.lease, startedAt);
            if (this.written !== undefined) {
                return;
            }
        }
        const found = await this.store.getObject(this.name);
        if (found.err) {
            return;
        }
        this.observeEra();
        if (found.val === undefined) {
            if (this.isPreviousHolderGone()) {
                await this.acquireLease(undefined, 1, startedAt);
            }
            return;
        }
        const lease = parseLease(found.val);
        if (lease !== undefined && this.isHeldByCandidate(lease) && this.getGrant() !== undefined) {
            await this.renewLease(found.val, lease, startedAt);
            return;
        }
        this.observeRevision(found.val.revision);
        const sinceLastRenewal = this.clock.getMonotonicTime() - this.revisionObservedAt;
        const isExpired = sinceLastRenewal > this.getPreviousHolderTimeout();
        const isReleased = lease === undefined || lease.holder === "" || this.isHeldByCandidate(lease);
        // A lease of an earlier era comes from the restored copy: its holder may have changed after the copy was made.
        const isOfEarlierEra = lease !== undefined && lease.era < this.store.getEra();
        const isFree = isOfEarlierEra ? isExpired || this.hasHeldLeaseUntilRestore() : isExpired || isReleased;
        if (isFree && (isExpired || this.isPreviousHolderGone())) {
            await this.acquireLease(found.val, (lease?.transitions ?? 0) + 1, startedAt);
        }
    }

    /** Returns the milliseconds for which the last lease that this node wrote is valid by its own clocks, whatever the store's era. */
    private computeRemaining(): number {
        const { clock } = this;
        return Math.min(this.validUntilMonotonicTime - clock.getMonotonicTime(), this.validUntilWallTime - clock.getWallTime());
    }

    private observeEra(): void {
        const era = this.store.getEra();
        if (this.observedEra !== undefined && era > this.observedEra) {
            this.eraObservedAt = this.clock.getMonotonicTime();
        }
        this.observedEra = era;
    }

    /** Returns whether this node held the lease when the store was restored, and its term has not ended since. */
    private hasHeldLeaseUntilRestore(): boolean {
        return this.computeRemaining() > 0 && getEra(this.fencing) < this.store.getEra();
    }

    /**
     * Returns whether a lease that looks free may be acquired although the store was restored: the holder of the earlier era, which
     * may not know of the restore yet, keeps it for its term.
     */
    private isPreviousHolderGone(): boolean {
        const sinceRestore = this.clock.getMonotonicTime() - this.eraObservedAt;
        return this.hasHeldLeaseUntilRestore() || sinceRestore > this.getPreviousHolderTimeout();
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

    private async renewLease(current: StoredObject, lease: StoredLease, startedAt: StartTime): Promise<void> {
        const value = { ...lease, renewals: lease.renewals + 1, era: this.store.getEra() };
        const revision = await this.writeLease(current, value);
        if (revision !== undefined && getEra(this.fencing) === getEra(revision)) {
            this.extendGrant(startedAt);
        }
    }

    private async acquireLease(current: StoredObject | undefined, transitions: number, startedAt: StartTime): Promise<void> {
        const { name, incarnation } = this.candidate;
        const continuedFencing = this.hasHeldLeaseUntilRestore() ? this.fencing : undefined;
        const revision = await this.writeLease(current, { holder: name, incarnation, transitions, renewals: 0, era: this.store.getEra() });
        if (revision === undefined) {
            return;
        }
        this.fencing = revision;
        this.continuedFencing = continuedFencing;
        this.acquiredAt = this.clock.getMonotonicTime();
        this.extendGrant(startedAt);
        this.observer.recordAcquisition(this.name, revision);
    }

    /** Writes the lease; returns the revision of the write, or undefined if it did not take effect in the era that the lease names. */
    private async writeLease(current: StoredObject | undefined, value: StoredLease): Promise<Revision | undefined> {
        const result = await writeObject(this.store, this.name, value, current);
        const isUnknown = result.ok ? result.val === 0 : result.val.outcome === WriteOutcome.Unknown;
        const revision = isUnknown ? await this.findWrittenRevision(value) : result.ok ? result.val : undefined;
        const isInEffect = revision !== undefined && getEra(revision) === value.era;
        this.written = isInEffect ? { object: { name: this.name, revision, value }, lease: value } : undefined;
        return isInEffect ? revision : undefined;
    }

    /** Reads the lease after a write with unknown outcome: the write took effect if the object holds exactly the written value. */
    private async findWrittenRevision(value: StoredLease): Promise<Revision | undefined> {
        const found = await this.store.getObject(this.name);
        const lease = found.ok && found.val !== undefined ? parseLease(found.val) : undefined;
        const isWritten = lease !== undefined && this.isHeldByCandidate(lease) && lease.transitions === value.transitions
            && lease.renewals === value.renewals && lease.era === value.era;
        return isWritten && found.ok ? found.val?.revision : undefined;
    }

    private extendGrant(startedAt: StartTime): void {
        // Counted from before the write was sent, since candidates count from when they read it.
        this.validUntilMonotonicTime = startedAt.monotonic + this.term * (1 - clockDriftFraction);
        // The wall clock also covers a suspension of the host between the write and its response.
        this.validUntilWallTime = startedAt.wall + this.term * (1 - clockDriftFraction);
    }
}

function parseLease(object: StoredObject): StoredLease | undefined {
    const parsed = leaseSchema.safeParse(object.value);
    return parsed.success ? parsed.data : undefined;
}
