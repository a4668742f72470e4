/** Age at which a stated slowness says nothing any more, in milliseconds: hosts that are shared change their speed several times a second. */
const statementLifeMilliseconds = 500;
/** Bounds of a stated slowness, so that one wrong statement neither draws all work to an endpoint nor bars it. */
const leastSlowness = 0.5;
const largestSlowness = 10;

/**
 * How long work takes on an endpoint's host at this moment, as the endpoint last stated it: 1 is the usual time, 2 is twice as long.
 * A statement loses its weight with its age.
 */
export class EndpointSlowness {
    private slowness = 1;
    private statedAt = -Infinity;

    private constructor() {}

    static create(): EndpointSlowness {
        return new EndpointSlowness();
    }

    /** Records a statement of the endpoint. Times are monotonic milliseconds. */
    recordSlowness(slowness: number, now: number): void {
        this.slowness = Math.min(largestSlowness, Math.max(leastSlowness, slowness));
        this.statedAt = now;
    }

    /** Returns whether the endpoint has ever stated its slowness. */
    isKnown(): boolean {
        return this.statedAt !== -Infinity;
    }

    /** Returns the factor by which work is expected to take longer than usual: the statement while fresh, and 1 when it is old. */
    computeFactor(now: number): number {
        const weight = Math.max(0, 1 - (now - this.statedAt) / statementLifeMilliseconds);
        return 1 + (this.slowness - 1) * weight;
    }
}
