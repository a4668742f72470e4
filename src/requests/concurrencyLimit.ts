/** Factor applied to the limit after the endpoint refused an attempt or slowed down. */
const decreaseFactor = 0.8;
/** The limit decreases if the mean token interval exceeds this share of its target. */
const slowIntervalShare = 0.95;
/** Weight of a new value in the exponential moving average of the token interval. */
const tokenIntervalWeight = 0.2;
/** Minimum time between two decreases. */
const decreaseIntervalMilliseconds = 500;

/**
 * Limits the attempts that a node runs concurrently at one endpoint. Increases in small steps after successes and decreases
 * by a factor after refusals or slow tokens (additive increase, multiplicative decrease).
 */
export class ConcurrencyLimit {
    private limit: number;
    private meanTokenInterval: number | undefined;
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

    /** Raises the limit to an estimate, once the endpoint's capacity is known. */
    raiseToEstimate(estimate: number): void {
        this.limit = Math.max(this.limit, estimate);
    }

    /** Sets the upper bound of the limit. */
    setMaximum(maximum: number): void {
        this.maximum = Math.max(1, maximum);
        this.limit = Math.min(this.limit, this.maximum);
    }

    /** Records a successful attempt. The limit increases only if nearly all of it was in use. */
    recordSuccess(running: number): void {
        if (running + 1 >= this.getLimit()) {
            this.limit = Math.min(this.maximum, this.limit + 1 / Math.max(1, this.limit) + 0.5);
        }
    }

    /** Records that the endpoint is overloaded. The time is monotonic, in milliseconds. */
    recordRefusal(now: number): void {
        this.reduceLimit(now);
    }

    /** Records an attempt's mean token interval and its target, in milliseconds. */
    recordTokenInterval(tokenInterval: number, target: number, now: number): void {
        this.meanTokenInterval = this.meanTokenInterval === undefined
            ? tokenInterval
            : this.meanTokenInterval * (1 - tokenIntervalWeight) + tokenInterval * tokenIntervalWeight;
        if (this.meanTokenInterval > target * slowIntervalShare) {
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
