import { Clock } from "../common/clock.js";

/** Number of windows whose counts are retained; reports are due well before a window is removed. */
const retainedWindows = 8;

/** Number of requests of one team that started to run in one window. */
export interface TeamUsage {
    readonly team: string;
    readonly requests: number;
}

/** Counts the requests of each team that this node started to run, by wall-clock window, for the usage reports. */
export class UsageCounter {
    private readonly windows = new Map<number, Map<string, number>>();

    private constructor(private readonly clock: Clock, readonly windowLength: number) {}

    /** The window length is in milliseconds; windows start at its multiples since the Unix epoch. */
    static create(clock: Clock, windowLength: number): UsageCounter {
        return new UsageCounter(clock, windowLength);
    }

    /** Returns the number of the window that contains a wall-clock time in Unix milliseconds. */
    getWindow(wallTime: number): number {
        return Math.floor(wallTime / this.windowLength);
    }

    /** Returns the wall-clock time at which a window ends, in Unix milliseconds. */
    getWindowEnd(window: number): number {
        return (window + 1) * this.windowLength;
    }

    /** Counts a request that started to run at the given monotonic time. */
    recordStartedRequest(team: string, startedAt: number): void {
        const age = this.clock.getMonotonicTime() - startedAt;
        const window = this.getWindow(this.clock.getWallTime() - age);
        const counts = this.windows.get(window) ?? new Map<string, number>();
        counts.set(team, (counts.get(team) ?? 0) + 1);
        this.windows.set(window, counts);
        this.removeOldWindows(window);
    }

    /** Returns the counts of this node for a window; empty when it counted nothing or the window was removed. */
    listUsage(window: number): TeamUsage[] {
        return [...this.windows.get(window) ?? []].map(([team, requests]) => ({ team, requests }));
    }

    private removeOldWindows(newest: number): void {
        for (const window of this.windows.keys()) {
            if (window <= newest - retainedWindows) {
                this.windows.delete(window);
            }
        }
    }
}
