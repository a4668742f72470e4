import { Clock } from "../../common/clock.js";

/** Largest difference to the other nodes' clocks at which deadlines can be kept, in milliseconds. */
export const clockDifferenceLimitMilliseconds = 1_000;
/** Observations that are kept of each node. */
const windowSize = 8;
/** Nodes needed before a verdict on the own clock. */
const leastNodes = 2;

/** Compares this node's wall clock with those of its peers. */
export class ClockMonitor {
    private readonly differences = new Map<string, number[]>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ClockMonitor {
        return new ClockMonitor(clock);
    }

    /** Records the time at which a peer sent a message that arrives now, in Unix milliseconds. */
    recordSendTime(node: string, sentAt: number): void {
        const window = this.differences.get(node) ?? [];
        window.push(this.clock.getWallTime() - sentAt);
        if (window.length > windowSize) {
            window.shift();
        }
        this.differences.set(node, window);
    }

    /** Returns the median difference to the peers, in milliseconds; 0 while too few are known. */
    getDifference(): number {
        if (this.differences.size < leastNodes) {
            return 0;
        }
        // The message that was fastest shows the difference best.
        const best = [...this.differences.values()].map(window => Math.min(...window));
        best.sort((left, right) => left - right);
        return best[Math.floor(best.length / 2)] as number;
    }

    /** Says whether the clock can be trusted with deadlines. */
    isWithinBounds(): boolean {
        return Math.abs(this.getDifference()) <= clockDifferenceLimitMilliseconds;
    }
}
