import { Clock } from "./clock.js";

/** Interval of the timer whose lateness is measured, in milliseconds. */
const tickMilliseconds = 100;
/** Delay below which the event loop counts as keeping up, in milliseconds: timers are late by some of it on a calm process. */
const negligibleMilliseconds = 50;
/** Time after a delay for which the process counts as behind, in milliseconds: what has piled up meanwhile is worked off in many short turns. */
const catchUpMilliseconds = 2_000;

/** Measures by how much the event loop of the process is late, because of its own work or because the process stood still. */
export class LoopDelay {
    private timer: NodeJS.Timeout | undefined;
    private nextTickAt = Infinity;
    private lastDelay = 0;
    private behindUntil = -Infinity;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): LoopDelay {
        return new LoopDelay(clock);
    }

    /** Starts to measure; does not keep the process alive. */
    start(): void {
        this.nextTickAt = this.clock.getMonotonicTime() + tickMilliseconds;
        this.timer = setInterval(() => this.recordTick(), tickMilliseconds);
        this.timer.unref();
    }

    stop(): void {
        clearInterval(this.timer);
    }

    /** Records that the timer has fired. */
    recordTick(): void {
        const now = this.clock.getMonotonicTime();
        this.lastDelay = Math.max(0, now - this.nextTickAt);
        if (this.lastDelay >= negligibleMilliseconds) {
            this.behindUntil = now + catchUpMilliseconds;
        }
        this.nextTickAt = now + tickMilliseconds;
    }

    /** Returns the longest time, in milliseconds, for which data that is read now can have waited to be read; 0 if it is negligible. */
    getDelay(): number {
        const delay = Math.max(this.lastDelay, this.clock.getMonotonicTime() - this.nextTickAt);
        return delay < negligibleMilliseconds ? 0 : delay;
    }

    /** Returns whether the event loop is late, or was so a moment ago, so that connections may have waited to be accepted. */
    isBehind(): boolean {
        return this.getDelay() > 0 || this.clock.getMonotonicTime() < this.behindUntil;
    }
}

/** Waits until the event loop has polled its connections once more, so that what had arrived on them before has been read. */
export async function waitForNextPoll(): Promise<void> {
    await waitForImmediate();
    await waitForImmediate();
}

function waitForImmediate(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
