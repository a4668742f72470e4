/** Factor on the limit after the endpoint refused or slowed down. */
const decreaseFactor = 0.8;
/** Share of the target between two tokens above which the limit falls. */
const slowShare = 0.95;
/** Weight of a new observation of the time between tokens. */
const gapWeight = 0.2;
/** Shortest time between two decreases, in milliseconds. */
const decreaseIntervalMilliseconds = 500;

/** Bounds what a node runs at one endpoint at once: rises by one at a time while it goes well, falls by a share when it does not. */
export class ConcurrencyLimit {
    private limit: number;
    private gap: number | undefined;
    private lastDecreaseAt = -Infinity;

    private constructor(initial: number, private maximum: number) {
        this.limit = Math.min(initial, maximum);
    }

    static create(initial: number, maximum: number): ConcurrencyLimit {
        return new ConcurrencyLimit(initial, maximum);
    }

    getLimit(): number {
        return Math.max(1, Math.floor(this.limit));
    }

    /** Raises the limit to a first estimate, once the endpoint's capacity is known. */
    setInitial(estimate: number): void {
        this.limit = Math.max(this.limit, estimate);
    }

    /** Sets the most that the limit may become. */
    setMaximum(maximum: number): void {
        this.maximum = Math.max(1, maximum);
        this.limit = Math.min(this.limit, this.maximum);
    }

    /** Records an attempt that ended well; the limit rises only while it is in use. */
    recordSuccess(running: number): void {
        if (running + 1 >= this.getLimit()) {
            this.limit = Math.min(this.maximum, this.limit + 1 / Math.max(1, this.limit) + 0.5);
        }
    }

    /** Records that the endpoint refused for lack of room. The time is monotonic, in milliseconds. */
    recordRefusal(now: number): void {
        this.reduceLimit(now);
    }

    /** Records the mean time between two tokens of an attempt and its target, in milliseconds. */
    recordGap(gap: number, target: number, now: number): void {
        this.gap = this.gap === undefined ? gap : this.gap * (1 - gapWeight) + gap * gapWeight;
        if (this.gap > target * slowShare) {
            this.reduceLimit(now);
        }
    }

    private reduceLimit(now: number): void {
        if (now - this.lastDecreaseAt < decreaseIntervalMilliseconds) {
            return;
        }
        this.lastDecreaseAt = now;
        this.limit = Math.max(1, this.limit * decreaseFactor);
    }
}
