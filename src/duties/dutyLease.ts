import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { LeaseCandidate, LeaseHolderMonitor, LeaseManager } from "../control/commands/leaseManager.js";
import { PeerTable } from "../gossip/peerTable.js";
import { RelaySelector } from "../gossip/relaySelector.js";
import { ObjectStore } from "../provider/objectStore.js";
import { DutyCredentials } from "./types.js";

/** Name of the store object that holds the duty lease. */
const leaseName = "leases/duties";

/**
 * Time after its start, in milliseconds, during which a node leaves the lease to nodes that started earlier by more than this
 * time: the new node has not received the usage counted before its start.
 */
const recentStartMilliseconds = 15_000;

/** The lease whose holder alone carries out the duties, and the latest holder known from this node and its peers. */
export class DutyLease implements LeaseHolderMonitor {
    private readonly leaseManager: LeaseManager;
    private readonly clock: Clock;
    private knownHolder = "";
    private knownFencing = 0;
    /** Highest fencing token that the cloud refused as outdated. */
    private highestRejectedFencing = 0;

    private constructor(
        store: ObjectStore,
        clock: Clock,
        private readonly candidate: LeaseCandidate,
        term: number,
        private readonly table: PeerTable,
        private readonly log: EventLog,
        private readonly plan: Pick<RelaySelector, "isFollowingRelay">,
    ) {
        this.clock = clock;
        this.leaseManager = LeaseManager.create(store, clock, candidate, leaseName, term, {
            recordAcquisition: (_lease, fencing) => this.recordAcquisition(fencing),
        }, this);
    }

    /** The term is in milliseconds. */
    static create(
        store: ObjectStore,
        clock: Clock,
        candidate: LeaseCandidate,
        term: number,
        table: PeerTable,
        log: EventLog,
        plan: Pick<RelaySelector, "isFollowingRelay"> = RelaySelector.create(table),
    ): DutyLease {
        return new DutyLease(store, clock, candidate, term, table, log, plan);
    }

    /** Acquires and renews the lease until it is released. */
    async runRounds(): Promise<void> {
        await this.leaseManager.runRounds();
    }

    /** Releases the lease, so that another node can acquire it without waiting for its term to end. */
    async release(): Promise<void> {
        await this.leaseManager.release();
    }

    /** Returns the credentials for a call made now; undefined when this node may not hold the lease. */
    getCredentials(): DutyCredentials | undefined {
        const grant = this.leaseManager.getGrant();
        if (grant === undefined || grant.fencing <= this.highestRejectedFencing || grant.fencing < this.knownFencing) {
            return undefined;
        }
        return { holder: this.candidate.name, fencing: grant.fencing, continuedFencing: grant.continuedFencing };
    }

    /** Returns the name of the latest known holder; empty when none is known. */
    getHolder(): string {
        return this.getCredentials() === undefined ? this.knownHolder : this.candidate.name;
    }

    /** Returns the fencing token of the latest known holder; 0 when none is known. */
    getFencing(): number {
        return this.knownFencing;
    }

    /** Merges the holder that a peer reports; the report with the highest fencing token is the latest. */
    mergeReportedHolder(holder: string, fencing: number): void {
        if (fencing <= this.knownFencing) {
            return;
        }
        this.knownHolder = holder;
        this.knownFencing = fencing;
        if (holder !== this.candidate.name) {
            this.leaseManager.recordLoss();
        }
    }

    /** Gives up a fencing token that the cloud refused because it has accepted a higher one. */
    recordFenced(fencing: number): void {
        if (fencing > this.highestRejectedFencing) {
            this.highestRejectedFencing = fencing;
            this.leaseManager.recordLoss();
            this.log.log(LogEvents.LeaseChanged, { lease: leaseName, state: "fenced off", fencing });
        }
    }

    /** Returns whether this node must not try to acquire the lease: the holder is reachable, or a relay or an older node should acquire it. */
    isHolderReachable(): boolean {
        return this.isKnownHolderReachable() || this.plan.isFollowingRelay() || this.hasOlderCandidate();
    }

    /** Returns whether this node started recently and a reachable node that started well before it can acquire the lease. */
    private hasOlderCandidate(): boolean {
        if (this.clock.getWallTime() - this.candidate.incarnation > recentStartMilliseconds) {
            return false;
        }
        return this.table.listReachablePeers().some(peer =>
            !peer.isLeaving && peer.isStoreReachable
            && peer.incarnation + recentStartMilliseconds < this.candidate.incarnation
        );
    }

    private isKnownHolderReachable(): boolean {
        const holder = this.table.findPeer(this.knownHolder);
        if (holder === undefined || holder.isLeaving || !this.table.isReachable(holder)) {
            return false;
        }
        // A reachable peer may have lost the lease: fenced off, it no longer reports holding it; without the store it cannot renew.
        return holder.holdsLease && holder.isStoreReachable;
    }

    /** Records that this node acquired the lease. */
    private recordAcquisition(fencing: number): void {
        this.knownHolder = this.candidate.name;
        this.knownFencing = fencing;
        this.log.log(LogEvents.LeaseChanged, { lease: leaseName, state: "taken", fencing });
    }
}
