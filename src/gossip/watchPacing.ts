import { Clock } from "../common/clock.js";
import { PeerTable } from "./peerTable.js";

/** Time between two ends of watches somewhere among the nodes, in milliseconds: well below the two seconds in which changes must be in force. */
const spacingMilliseconds = 600;
/** Longest wait of a node that hears too few peers to rely on them, in milliseconds. */
const loneWaitMilliseconds = 1_200;
/** Shortest wait, in milliseconds: a shorter one would end at the same turn again. */
const leastWaitMilliseconds = 300;
/** Longest wait of any node, in milliseconds: an outage of its own watch is found out by then. */
const longestWaitMilliseconds = 20_000;
/** Share of the nodes that must be heard for turns to be taken. */
const heardShare = 0.5;

/**
 * Spreads the ends of the nodes' watches over time. A watch can go silent, or miss changes while the store drops its
 * history, on all nodes at once; the node whose turn is next finds out and tells the others. Many nodes cost no more calls
 * than a few.
 */
export class WatchPacing {
    private constructor(private readonly table: PeerTable, private readonly clock: Clock) {}

    static create(table: PeerTable, clock: Clock): WatchPacing {
        return new WatchPacing(table, clock);
    }

    /** Returns how long a watch that starts now may wait, in milliseconds: until this node's next turn. */
    computeWait(): number {
        const names = this.table.listHeard().map(peer => peer.name);
        if (names.length + 1 < this.table.countServing() * heardShare) {
            return loneWaitMilliseconds;
        }
        const before = names.filter(name => name < this.table.identity.name).length;
        const period = (names.length + 1) * spacingMilliseconds;
        const sinceTurn = (this.clock.getWallTime() - before * spacingMilliseconds) % period;
        const wait = period - sinceTurn;
        return Math.min(longestWaitMilliseconds, wait < leastWaitMilliseconds ? wait + period : wait);
    }
}
