import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Time constant of the measured demand, in milliseconds. */
const demandWindowMilliseconds = 5_000;
/** Time after which another node's demand is no longer counted, in milliseconds. */
const demandAgeLimitMilliseconds = 15_000;

/** Share of the slack that is used; the rest is for what is sent before a limit is lowered and arrives after. */
const usedSlackShare = 0.8;

/** A limit on all nodes together, in units a second and units at once. */
export interface SharedRate {
    readonly name: string;
    readonly rate: number;
    readonly burst: number;
}

/** The demand that a node sees for one limit, in units a second. */
export interface RateDemand {
    readonly name: string;
    readonly demand: number;
}

interface RateBucket {
    available: number;
    refilledAt: number;
    /** Units a second, smoothed. */
    demand: number;
    demandAt: number;
    readonly others: Map<string, { readonly demand: number; readonly at: number; }>;
}

/**
 * Holds limits over all nodes without a central counter: a node allows the part of a limit that its own share of
 * the demand comes to, by what the nodes tell one another.
 */
export class SharedRateLimiter {
    private readonly buckets = new Map<string, RateBucket>();
    private nodeCount = 1;
    private readonly createdAt: number;

    private constructor(private readonly clock: Clock, private readonly slack: number) {
        this.createdAt = clock.getMonotonicTime();
    }

    /** The slack, in units, is what all nodes together may pass beyond each limit; it covers what shares of the demand get wrong. */
    static create(clock: Clock, slack = 0): SharedRateLimiter {
        return new SharedRateLimiter(clock, slack);
    }

    /** Sets how many nodes serve callers. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /**
     * Takes units of a limit. Returns the seconds after which that many are there when there are too few now, and then
     * takes nothing. The least burst lets limits that are small against one request work at all.
     */
    takeUnits(limit: SharedRate, units: number, leastBurst: number): number | undefined {
        const now = this.clock.getMonotonicTime();
        const bucket = this.getBucket(limit, now);
        this.recordDemand(bucket, units, now);
        const share = this.computeOwnShare(bucket, now);
        const rate = limit.rate * share;
        const burst = Math.max(leastBurst, limit.burst * share + this.getOwnSlack());
        bucket.available = Math.min(burst, bucket.available + (now - bucket.refilledAt) / millisecondsPerSecond * rate);
        bucket.refilledAt = now;
        if (bucket.available < units) {
            return (units - bucket.available) / rate;
        }
        bucket.available -= units;
        return undefined;
    }

    /** Records the demand that another node sees, in units a second. */
    recordOtherDemand(name: string, node: string, demand: number): void {
        this.buckets.get(name)?.others.set(node, { demand, at: this.clock.getMonotonicTime() });
    }

    /** Returns this node's demand for each limit. */
    listDemands(): RateDemand[] {
        const now = this.clock.getMonotonicTime();
        return [...this.buckets].map(([name, bucket]) => ({ name, demand: computeDemand(bucket, now) }));
    }

    private getBucket(limit: SharedRate, now: number): RateBucket {
        const existing = this.buckets.get(limit.name);
        if (existing !== undefined) {
            return existing;
        }
        // What an earlier life of this node passed is not known, so a bucket fills from the start of the process on.
        const bucket: RateBucket = { available: 0, refilledAt: this.createdAt, demand: 0, demandAt: now, others: new Map() };
        this.buckets.set(limit.name, bucket);
        return bucket;
    }

    private getOwnSlack(): number {
        return this.slack * usedSlackShare / this.nodeCount;
    }

    private recordDemand(bucket: RateBucket, units: number, now: number): void {
        bucket.demand = computeDemand(bucket, now) + units * millisecondsPerSecond / demandWindowMilliseconds;
        bucket.demandAt = now;
    }

    /** Returns this node's share of the demand; nodes that nothing is known of count as the mean of the known ones. */
    private computeOwnShare(bucket: RateBucket, now: number): number {
        let known = 0;
        let sum = 0;
        for (const [node, other] of bucket.others) {
            if (now - other.at > demandAgeLimitMilliseconds) {
                bucket.others.delete(node);
                continue;
            }
            known += 1;
            sum += other.demand;
        }
        const own = Math.max(bucket.demand, Number.EPSILON);
        const unknown = Math.max(0, this.nodeCount - 1 - known);
        const mean = known > 0 ? sum / known : own;
        return own / (own + sum + unknown * mean);
    }
}

function computeDemand(bucket: RateBucket, now: number): number {
    return bucket.demand * Math.exp(-(now - bucket.demandAt) / demandWindowMilliseconds);
}
