import { setTimeout as delay } from "node:timers/promises";

/** Reads time and waits; injected so that tests control it. */
export interface Clock {
    /** Returns the wall-clock time in Unix milliseconds. */
    getWallTime(): number;
    /** Returns a time in milliseconds that never goes backwards. */
    getMonotonicTime(): number;
    /** Waits for a number of milliseconds; returns early, without an error, when the signal aborts. */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the machine. */
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
            // The only error is the abort, which callers read from their own signal.
        }
    }
}
