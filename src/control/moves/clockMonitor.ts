import { Clock } from "../../common/clock.js";

/** Largest clock difference to the other nodes at which deadlines can still be met. */
export const clockDifferenceLimitMilliseconds = 1_000;
/** Latest differences that are kept for each node. */
const differencesPerNode = 8;
/** Peers that must have been observed before a difference is reported. */
const minimumPeers = 2;

/** Estimates how far this node's wall clock differs from its peers' clocks, so that a node with a wrong clock grants no traffic. */
export class ClockMonitor {
    private readonly differencesByNode = new Map<string, number[]>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ClockMonitor {
        return new ClockMonitor(clock);
    }

    /** Records the send time of a message that has just arrived from a peer, in Unix milliseconds of the peer's clock. */
    recordSendTime(node: string, sentAt: number): void {
        const window = this.differencesByNode.get(node) ?? [];
        window.push(this.clock.getWallTime() - sentAt);
        if (window.length > differencesPerNode) {
            window.shift();
        }
        this.differencesByNode.set(node, window);
    }

    /** Returns the median difference to the peers' clocks in milliseconds, positive when this clock is ahead; 0 with too few peers. */
    getDifference(): number {
        if (this.differencesByNode.size < minimumPeers) {
            return 0;
        }
        // The message with the shortest delay adds the least to the clock difference.
        const smallest = [...this.differencesByNode.values()].map(window => Math.min(...window));
        smallest.sort((left, right) => left - right);
        return smallest[Math.floor(smallest.length / 2)] as number;
    }

    /** Returns whether the clock is accurate enough to meet deadlines. */
    isWithinBounds(): boolean {
        return Math.abs(this.getDifference()) <= clockDifferenceLimitMilliseconds;
    }
}
