import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { ObjectStore, writeObject } from "../../provider/objectStore.js";
import { StoredObject, WriteOutcome } from "../../provider/types.js";

/** Renewals in one term. */
const renewalsPerTerm = 3;
/** Looks of a candidate in one term. */
const candidateLooksPerTerm = 1.5;
/** Share of the term by which clocks may run apart; a holder gives up that much earlier, a candidate waits that much longer. */
const driftShare = 0.1;

const leaseSchema = z.object({
    holder: z.string(),
    incarnation: z.number(),
    /** Rises by one with every change of the holder; the fencing number of orders. */
    transitions: z.number().int(),
    renewals: z.number().int(),
});
type StoredLease = z.infer<typeof leaseSchema>;

/** When a round began, by both clocks. */
interface StartTime {
    readonly monotonic: number;
    readonly wall: number;
}

/** Who wants a lease. */
export interface LeaseCandidate {
    readonly name: string;
    readonly incarnation: number;
}

/** The right to act, for as long as it lasts. */
export interface LeaseGrant {
    readonly fencing: number;
    /** Milliseconds for which the lease is certain to be held. */
    readonly remaining: number;
    /** Milliseconds since this holder took the lease over. */
    readonly heldFor: number;
}

/** Hears of a lease that was taken, for logs and metrics. */
export interface LeaseObserver {
    recordTaken(lease: string, fencing: number): void;
}

/** Knows from elsewhere whether the present holder lives; a candidate then need not look at the store. */
export interface HolderWatch {
    isHolderHeard(): boolean;
}

/** Takes and renews one lease, a platform object, by conditional updates. Judges time by the monotonic clock alone. */
export class LeaseKeeper {
    private readonly stopping = new AbortController();
    private validUntil = -Infinity;
    /** Unix milliseconds; the monotonic clock stands still while a host is suspended, this one does not. */
    private validUntilWallTime = -Infinity;
    private acquiredAt = 0;
    private transitions = 0;
    private observedRevision = -1;
    private observedAt = 0;

    private constructor(
        private readonly store: ObjectStore,
        private readonly clock: Clock,
        private readonly candidate: LeaseCandidate,
        readonly name: string,
        private readonly term: number,
        private readonly observer: LeaseObserver,
        private readonly holderWatch: HolderWatch | undefined,
    ) {}

    /** The term is in milliseconds. */
    static create(
        store: ObjectStore,
        clock: Clock,
        candidate: LeaseCandidate,
        name: string,
        term: number,
        observer: LeaseObserver,
        holderWatch?: HolderWatch,
    ): LeaseKeeper {
        return new LeaseKeeper(store, clock, candidate, name, term, observer, holderWatch);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.getGrant() !== undefined || this.holderWatch?.isHolderHeard() !== true) {
                await this.runRound();
            }
            // Who does not hold the lease looks less often: a candidate has to wait out the term anyway.
            const looksPerTerm = this.getGrant() === undefined ? candidateLooksPerTerm : renewalsPerTerm;
            await this.clock.sleep(this.term / looksPerTerm, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns the grant as of this moment, or undefined when the lease is not certain to be held. */
    getGrant(): LeaseGrant | undefined {
        const now = this.clock.getMonotonicTime();
        const remaining = Math.min(this.validUntil - now, this.validUntilWallTime - this.clock.getWallTime());
        if (remaining <= 0) {
            return undefined;
        }
        return { fencing: this.transitions, remaining, heldFor: now - this.acquiredAt };
    }

    /** Gives the lease up, so that another node can take it without waiting. */
    async release(): Promise<void> {
        this.stop();
        if (this.getGrant() === undefined) {
            return;
        }
        this.validUntil = -Infinity;
        const found = await this.store.getObject(this.name);
        const lease = found.ok && found.val !== undefined ? parseLease(found.val) : undefined;
        if (found.ok && found.val !== undefined && lease !== undefined && this.isOwn(lease)) {
            await this.store.replaceObject(this.name, { ...lease, holder: "" }, found.val.revision);
        }
    }

    /** Longest time, in milliseconds, for which an earlier holder may still believe in its lease after a change. */
    getSuccessorWait(): number {
        return this.term * (1 + driftShare);
    }

    /** Gives up acting: another holder was seen. The lease is taken anew only when it is free. */
    recordLoss(): void {
        this.validUntil = -Infinity;
    }

    /** Looks at the lease once, and takes or renews it when that is due. */
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
        if (lease !== undefined && this.isOwn(lease) && this.getGrant() !== undefined) {
            await this.writeLease(found.val, lease.transitions, lease.renewals + 1, startedAt);
            return;
        }
        this.observeRevision(found.val.revision);
        const silence = this.clock.getMonotonicTime() - this.observedAt;
        const isFree = lease === undefined || lease.holder === "" || this.isOwn(lease) || silence > this.term * (1 + driftShare);
        if (isFree) {
            await this.writeLease(found.val, (lease?.transitions ?? 0) + 1, 0, startedAt);
        }
    }

    private isOwn(lease: StoredLease): boolean {
        return lease.holder === this.candidate.name && lease.incarnation === this.candidate.incarnation;
    }

    private observeRevision(revision: number): void {
        // A stale read shows a lower revision; only a higher one is news.
        if (revision > this.observedRevision) {
            this.observedRevision = revision;
            this.observedAt = this.clock.getMonotonicTime();
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
            await this.settleLostAnswer(value, startedAt);
        }
    }

    /** Reads back after a lost answer: the write took effect if the object shows exactly what was written. */
    private async settleLostAnswer(value: StoredLease, startedAt: StartTime): Promise<void> {
        const found = await this.store.getObject(this.name);
        if (found.err || found.val === undefined) {
            return;
        }
        const lease = parseLease(found.val);
        const isWritten = lease !== undefined && this.isOwn(lease) && lease.transitions === value.transitions
            && lease.renewals === value.renewals;
        if (isWritten) {
            this.applyGrant(value, startedAt);
        }
    }

    private applyGrant(lease: StoredLease, startedAt: StartTime): void {
        const now = this.clock.getMonotonicTime();
        const isNew = lease.transitions !== this.transitions || this.validUntil <= now;
        this.transitions = lease.transitions;
        // Counted from before the write was sent: the others count from when they see it.
        this.validUntil = startedAt.monotonic + this.term * (1 - driftShare);
        // Also when the host was suspended between the write and its answer.
        this.validUntilWallTime = startedAt.wall + this.term * (1 - driftShare);
        if (isNew) {
            this.acquiredAt = now;
            this.observer.recordTaken(this.name, this.transitions);
        }
    }
}

function parseLease(object: StoredObject): StoredLease | undefined {
    const parsed = leaseSchema.safeParse(object.value);
    return parsed.success ? parsed.data : undefined;
}
