import { Clock } from "../common/clock.js";
import { PeerTable } from "./peerTable.js";

/** Time between the ends of two nodes' watches, in milliseconds: well below the two seconds in which changes must be in force. */
const turnSpacingMilliseconds = 600;
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
 * number of store requests does not grow with the number of nodes.
 */
export class WatchScheduler {
    private constructor(private readonly table: PeerTable, private readonly clock: Clock) {}

    static create(table: PeerTable, clock: Clock): WatchScheduler {
        return new WatchScheduler(table, clock);
    }

    /** Returns the maximum duration of a watch that starts now, in milliseconds: the time until this node's next turn. */
    computeWait(): number {
        const names = this.table.listReachablePeers().map(peer => peer.name);
        if (names.length + 1 < this.table.countServingNodes() * minimumReachableShare) {
            return isolatedNodeWaitMilliseconds;
        }
        const precedingNodes = names.filter(name => name < this.table.identity.name).length;
        const period = (names.length + 1) * turnSpacingMilliseconds;
        const timeSinceTurn = (this.clock.getWallTime() - precedingNodes * turnSpacingMilliseconds) % period;
        const wait = period - timeSinceTurn;
        return Math.min(maximumWaitMilliseconds, wait < minimumWaitMilliseconds ? wait + period : wait);
    }
}
