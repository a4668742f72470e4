import { setTimeout as delay } from "node:timers/promises";

/** Source of time and delays; injected so that tests control time. */
export interface Clock {
    /** Returns the wall-clock time in Unix milliseconds. */
    getWallTime(): number;
    /** Returns the monotonic time in milliseconds, which never goes backwards. */
    getMonotonicTime(): number;
    /** Waits for a number of milliseconds; returns early, without an error, when the signal aborts. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
    private constructor() {}

    static create(): SystemClock {
        return new SystemClock();
    }

    getWallTime(): number {
        return Date.now();
    }

    getMonotonicTime(): number {
        return performance.now();
    }

    async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        try {
            await delay(milliseconds, undefined, { signal });
        }
        catch {
            // The only possible error is the abort, which callers detect through their own signal.
        }
    }
}
