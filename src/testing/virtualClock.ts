import { Clock } from "../common/clock.js";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly wake: () => void;
}

/** A clock whose time moves only when a test says so. */
export class VirtualClock implements Clock {
    private now = 0;
    private order = 0;
    private timers: Timer[] = [];

    private constructor(private readonly epoch: number) {}

    /** The epoch is the wall-clock time at the start, in Unix milliseconds. */
    static create(epoch = 1_800_000_000_000): VirtualClock {
        return new VirtualClock(epoch);
    }

    getWallTime(): number {
        return Math.floor(this.epoch + this.now);
    }

    getMonotonicTime(): number {
        return this.now;
    }

    sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.order += 1;
            const wake = () => {
                signal?.removeEventListener("abort", handleAbort);
                resolve();
            };
            const timer: Timer = { at: this.now + Math.max(0, milliseconds), order: this.order, wake };
            const handleAbort = () => {
                this.timers = this.timers.filter(other => other !== timer);
                resolve();
            };
            this.timers.push(timer);
            signal?.addEventListener("abort", handleAbort, { once: true });
        });
    }

    /** Moves time on, waking every sleeper in its turn. */
    async runUntil(time: number): Promise<void> {
        await settlePromises();
        for (;;) {
            this.timers.sort((left, right) => left.at - right.at || left.order - right.order);
            const next = this.timers[0];
            if (next === undefined || next.at > time) {
                break;
            }
            this.timers.shift();
            this.now = Math.max(this.now, next.at);
            next.wake();
            await settlePromises();
        }
        this.now = time;
    }
}

/** Lets every promise that can go on do so. */
async function settlePromises(): Promise<void> {
    // Every microtask that is due runs before the next turn of the event loop.
    await new Promise(resolve => setImmediate(resolve));
}

/** A node's own clock in a test: it can be paused while the others go on. */
export class PausableClock implements Clock {
    private pausedUntil = 0;

    private constructor(private readonly inner: VirtualClock, private readonly wallOffset: number) {}

    /** The wall offset is in milliseconds. */
    static create(inner: VirtualClock, wallOffset = 0): PausableClock {
        return new PausableClock(inner, wallOffset);
    }

    getWallTime(): number {
        return this.inner.getWallTime() + this.wallOffset;
    }

    getMonotonicTime(): number {
        return this.inner.getMonotonicTime();
    }

    /** Pauses the process behind this clock for a time, in milliseconds. */
    addPause(milliseconds: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, this.inner.getMonotonicTime() + milliseconds);
    }

    /** Waits while the process is paused; calls of the process pass through here on their way out and back. */
    async waitWhilePaused(): Promise<void> {
        while (this.inner.getMonotonicTime() < this.pausedUntil) {
            await this.inner.sleep(this.pausedUntil - this.inner.getMonotonicTime());
        }
    }

    async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
        await this.inner.sleep(milliseconds, signal);
        await this.waitWhilePaused();
    }
}
