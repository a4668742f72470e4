import { Clock } from "../common/clock.js";
import { RelaySelector } from "./relaySelector.js";

/**
 * Age of what a node knows of the store, as a share of the time in which a change must be in force, up to which it relies on
 * peers. The rest is for its own read of the store.
 */
const reliableShareOfApplyLimit = 0.5;

/** Revisions up to which a node has applied what must be in force in time. */
export interface AppliedRevisions {
    readonly configuration: number;
    readonly directory: number;
    readonly evacuations: number;
}

/** What a peer states about its knowledge of the store. */
export interface PeerConfirmation {
    /** Latest time at which its knowledge was complete, in monotonic milliseconds of this node. */
    readonly confirmedAt: number;
    /** Revisions that belong to that knowledge. */
    readonly revisions: AppliedRevisions;
}

/**
 * Decides whether a node relies on peers for the changes of the store. Being in contact with a relay is no proof: the nodes that
 * read the store may be cut off from it while they still reach their peers. So each digest states how old the sender's knowledge
 * is, and a node reads the store itself as soon as its own is too old for a change to be in force in time.
 */
export class StoreFollower {
    private peerConfirmedAt = -Infinity;
    /** Latest confirmation of a peer that had applied more than this node. */
    private pending: PeerConfirmation | undefined;
    private getOwnConfirmedAt: () => number = () => -Infinity;
    private getApplied: () => AppliedRevisions = () => ({ configuration: 0, directory: 0, evacuations: 0 });

    private constructor(
        private readonly plan: Pick<RelaySelector, "isFollowingReader">,
        private readonly clock: Clock,
        private readonly applyLimit: number,
    ) {}

    /** `applyLimit` is the time in which a change must be in force on every node, in milliseconds. */
    static create(plan: Pick<RelaySelector, "isFollowingReader">, clock: Clock, applyLimit: number): StoreFollower {
        return new StoreFollower(plan, clock, applyLimit);
    }

    /** Sets the function that returns the time at which the oldest of this node's own watches last had a response, in monotonic milliseconds. */
    setOwnSource(getOwnConfirmedAt: () => number): void {
        this.getOwnConfirmedAt = getOwnConfirmedAt;
    }

    /** Sets the function that returns the revisions up to which this node has applied what must be in force in time. */
    setAppliedSource(getApplied: () => AppliedRevisions): void {
        this.getApplied = getApplied;
    }

    /** Takes over a peer's confirmation, once this node has applied all that the peer had. */
    recordConfirmation(confirmation: PeerConfirmation): void {
        this.applyPending();
        this.pending = confirmation;
        this.applyPending();
    }

    /** Returns the age of what this node knows of the store, in milliseconds; Infinity before it knows anything. */
    getAge(): number {
        this.applyPending();
        return this.clock.getMonotonicTime() - Math.max(this.peerConfirmedAt, this.getOwnConfirmedAt());
    }

    /** Returns whether this node receives the changes of the store from peers in time and need not read it itself. */
    isFollowing(): boolean {
        return this.getAge() <= this.applyLimit * reliableShareOfApplyLimit && this.plan.isFollowingReader();
    }

    private applyPending(): void {
        const { pending } = this;
        const applied = this.getApplied();
        if (
            pending === undefined || applied.configuration < pending.revisions.configuration
            || applied.directory < pending.revisions.directory || applied.evacuations < pending.revisions.evacuations
        ) {
            return;
        }
        this.peerConfirmedAt = Math.max(this.peerConfirmedAt, pending.confirmedAt);
        this.pending = undefined;
    }
}
