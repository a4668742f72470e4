import { Clock } from "../common/clock.js";

/** Windows that are kept: reports are due well before they are dropped. */
const keptWindows = 8;

/** Requests that began to run in one window, for one team. */
export interface TeamUsage {
    readonly team: string;
    readonly requests: number;
}

/** Counts, by window of the wall clock, the requests of each team that began to run. */
export class UsageCounter {
    private readonly windows = new Map<number, Map<string, number>>();

    private constructor(private readonly clock: Clock, readonly windowLength: number) {}

    /** The length of a window is in milliseconds; windows begin at its multiples since 1970. */
    static create(clock: Clock, windowLength: number): UsageCounter {
        return new UsageCounter(clock, windowLength);
    }

    /** Returns the number of the window that a wall-clock time lies in. */
    getWindow(wallTime: number): number {
        return Math.floor(wallTime / this.windowLength);
    }

    /** Returns the wall-clock time at which a window ends, in Unix milliseconds. */
    getWindowEnd(window: number): number {
        return (window + 1) * this.windowLength;
    }

    /** Records a request that began to run at a monotonic time. */
    recordRun(team: string, startedAt: number): void {
        const age = this.clock.getMonotonicTime() - startedAt;
        const window = this.getWindow(this.clock.getWallTime() - age);
        const counts = this.windows.get(window) ?? new Map<string, number>();
        counts.set(team, (counts.get(team) ?? 0) + 1);
        this.windows.set(window, counts);
        this.removeOldWindows(window);
    }

    /** Returns the counts of a window. */
    listUsage(window: number): TeamUsage[] {
        return [...this.windows.get(window) ?? []].map(([team, requests]) => ({ team, requests }));
    }

    private removeOldWindows(newest: number): void {
        for (const window of this.windows.keys()) {
            if (window <= newest - keptWindows) {
                this.windows.delete(window);
            }
        }
    }
}
