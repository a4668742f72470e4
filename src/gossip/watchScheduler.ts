import { Clock } from "../common/clock.js";
import { PeerTable } from "./peerTable.js";
import { RelaySelector } from "./relaySelector.js";
import { StoreFollower } from "./storeFollower.js";

/** Time between the ends of two nodes' watches as a share of the time in which a change must be in force. */
const turnShareOfApplyLimit = 0.3;
/** The same for changes that are not urgent, as a multiple of that time. */
const unhurriedTurnFactor = 4;
/** Longest wait for an urgent change of a node that does not rely on peers, as a share of the same time: the rest is for a response that is lost. */
const ownWaitShareOfApplyLimit = 0.5;
/** Wait of a node that reaches too few peers to rely on their updates, in milliseconds. */
const isolatedNodeWaitMilliseconds = 1_200;
/** Minimum wait, in milliseconds: a shorter one would end within the same turn again. */
const minimumWaitMilliseconds = 300;
/** Maximum wait of any node, in milliseconds: it bounds the time to detect an outage of the node's own watch. */
const maximumWaitMilliseconds = 20_000;
/** Share of the serving nodes that must be reachable for a node to take turns with them. */
const minimumReachableShare = 0.5;

/**
 * Spreads the ends of the nodes' store watches over time. A watch can stop responding, or miss changes while the store drops
 * its history, on all nodes at once; the node whose watch ends next detects the changes and sends them to its peers. The
 * number of store requests grows with neither the number of nodes nor that of the nodes that read the store. A node that no peer
 * tells of changes in time ends its own watches in time instead.
 */
export class WatchScheduler {
    private constructor(
        private readonly table: PeerTable,
        private readonly plan: RelaySelector,
        private readonly follower: Pick<StoreFollower, "isFollowing">,
        private readonly clock: Clock,
        private readonly applyLimit: number,
    ) {}

    /** `applyLimit` is the time in which a change must be in force on every node, in milliseconds. */
    static create(
        table: PeerTable,
        plan: RelaySelector,
        follower: Pick<StoreFollower, "isFollowing">,
        clock: Clock,
        applyLimit: number,
    ): WatchScheduler {
        return new WatchScheduler(table, plan, follower, clock, applyLimit);
    }

    /** Returns the maximum duration of a watch that starts now, in milliseconds: the time until this node's next turn. */
    computeWait(isUrgent: boolean): number {
        const { identity } = this.table;
        if (this.table.listReachablePeers().length + 1 < this.table.countServingNodes() * minimumReachableShare) {
            return isolatedNodeWaitMilliseconds;
        }
        const spacing = this.applyLimit * turnShareOfApplyLimit * (isUrgent ? 1 : unhurriedTurnFactor);
        const readers = this.plan.listReaders();
        if (!readers.includes(identity.name)) {
            const reliesOnPeers = !isUrgent || this.follower.isFollowing();
            return reliesOnPeers ? maximumWaitMilliseconds : this.applyLimit * ownWaitShareOfApplyLimit;
        }
        const period = Math.max(1, readers.length) * spacing;
        const precedingNodes = readers.filter(name => name < identity.name).length;
        const timeSinceTurn = (this.clock.getWallTime() + period - precedingNodes * spacing) % period;
        const wait = period - timeSinceTurn;
        return Math.min(maximumWaitMilliseconds, wait < minimumWaitMilliseconds ? wait + period : wait);
    }
}
