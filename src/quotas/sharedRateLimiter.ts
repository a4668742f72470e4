import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Time constant of the moving average of demand, in milliseconds. */
const demandTimeConstantMilliseconds = 5_000;
/** Age up to which a peer's reported demand is counted, in milliseconds. */
const peerDemandAgeLimitMilliseconds = 15_000;

/** Share of the slack that nodes add to their bursts; the rest covers requests sent before a limit is lowered that arrive after it. */
const burstSlackShare = 0.8;

/** A token bucket limit on all nodes together: units per second and units at once. */
export interface SharedRateLimit {
    readonly name: string;
    readonly rate: number;
    readonly burst: number;
}

/** Demand for one limit at a node or at a group of nodes. */
export interface RateDemand {
    readonly name: string;
    /** Requested units per second, as a moving average. */
    readonly demand: number;
    /** Units admitted in the last window. */
    readonly passed: number;
    /** Number of nodes whose demand and admitted units are added up here. */
    readonly nodes: number;
}

/** Demand reported by a peer or a group of nodes, and the monotonic time at which the report arrived. */
interface PeerDemand extends RateDemand {
    readonly at: number;
    /** Units that the limit allowed in a window at that time. */
    readonly allowed: number;
}

/** Units that this node admitted at a time, in monotonic milliseconds. */
interface Admission {
    readonly units: number;
    readonly at: number;
    /** Units that the limit allowed in a window at that time. */
    readonly allowed: number;
}

/** Share of a limit up to which units are admitted whatever this node's part is; the rest allows for slightly outdated peer counts. */
const unconditionalShareOfLimit = 0.85;
/** Share of the slack added to the units allowed in a window; the rest covers units that nodes admit before they receive peer counts. */
const admittedSlackShare = 0.35;
/** Shortest wait suggested to a refused caller, in seconds: by then newer peer counts have arrived. */
const minimumRetryAfterSeconds = 0.5;
/** Age up to which a peer's count of admitted units is used as it is, in milliseconds: two gossip exchanges. */
const freshCountAgeLimitMilliseconds = 1_500;

/** Reason and figures of a refusal. */
export interface RateRefusal {
    /** Seconds after which the units are likely to be available. */
    readonly wait: number;
    /** Estimate of the units that all nodes admitted in the window. */
    readonly passed: number;
    /** Units that the limit allows all nodes together in the window. */
    readonly allowed: number;
}

/** State of one limit at this node: its token bucket, its demand and the demand that peers report. */
interface RateBucket {
    /** Units allowed in a window, as computed when units were last taken. */
    allowed: number;
    available: number;
    refilledAt: number;
    /** Moving average of the requested units per second, valid at `demandAt`. */
    demand: number;
    demandAt: number;
    readonly admissions: Admission[];
    readonly peerDemands: Map<string, PeerDemand>;
}

/** Settings that apply to all limits. */
export interface SharedRateLimiterOptions {
    /** Units that all nodes together may admit beyond each limit, to cover errors of the nodes' estimated shares. */
    readonly slack: number;
    /** Length of the sliding window in which a limit is enforced, in milliseconds. */
    readonly window: number;
}

const defaultOptions: SharedRateLimiterOptions = { slack: 0, window: 8_000 };

/**
 * Enforces rate limits over all nodes without a central counter: each node admits the part of a limit that corresponds to
 * its share of the total demand, which the nodes exchange by gossip.
 */
export class SharedRateLimiter {
    private readonly buckets = new Map<string, RateBucket>();
    private nodeCount = 1;
    private readonly createdAt: number;

    private constructor(private readonly clock: Clock, private readonly options: SharedRateLimiterOptions) {
        this.createdAt = clock.getMonotonicTime();
    }

    static create(clock: Clock, options = defaultOptions): SharedRateLimiter {
        return new SharedRateLimiter(clock, options);
    }

    /** Sets the number of nodes that serve callers, this one included. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /**
     * Takes units of a limit; returns the refusal, taking nothing, when too few are available. The minimum burst lets this node
     * admit single requests that are larger than its part of the limit's burst.
     */
    takeUnits(limit: SharedRateLimit, units: number, minimumBurst: number): RateRefusal | undefined {
        const now = this.clock.getMonotonicTime();
        const bucket = this.getBucket(limit.name, now);
        this.recordDemand(bucket, units, now);
        const share = this.computeLocalShare(bucket, now);
        const rate = limit.rate * share;
        const burst = Math.max(minimumBurst, limit.burst * share + this.getLocalSlack());
        bucket.available = Math.min(burst, bucket.available + (now - bucket.refilledAt) / millisecondsPerSecond * rate);
        bucket.refilledAt = now;
        const allowedWithoutSlack = limit.rate * this.options.window / millisecondsPerSecond + limit.burst;
        bucket.allowed = allowedWithoutSlack + this.options.slack * admittedSlackShare;
        const passed = this.estimateAdmitted(bucket, now);
        const isFarBelowLimit = passed + units <= bucket.allowed * unconditionalShareOfLimit;
        const isWithinShare = bucket.available >= units && passed + units <= Math.max(units, bucket.allowed);
        if (!isFarBelowLimit && !isWithinShare) {
            return { wait: Math.max(minimumRetryAfterSeconds, (units - bucket.available) / rate), passed, allowed: bucket.allowed };
        }
        bucket.available = Math.max(0, bucket.available - units);
        bucket.admissions.push({ units, at: now, allowed: bucket.allowed });
        return undefined;
    }

    /** Estimates the units that all nodes admitted in the window; a node without a recent count is assumed to have admitted its whole part. */
    private estimateAdmitted(bucket: RateBucket, now: number): number {
        const nodePart = bucket.allowed / this.nodeCount;
        let passed = this.countLocalAdmitted(bucket, now);
        let reportedNodes = 0;
        for (const other of bucket.peerDemands.values()) {
            const age = now - other.at;
            if (age > this.options.window) {
                continue;
            }
            reportedNodes += other.nodes;
            const otherPassed = other.passed * getCountedShare(bucket, other.allowed);
            passed += age <= freshCountAgeLimitMilliseconds ? otherPassed : Math.max(otherPassed, nodePart * other.nodes);
        }
        return passed + Math.max(0, this.nodeCount - 1 - reportedNodes) * nodePart;
    }

    /** Counts the units that this node admitted; for the time before its start, its whole part of the limit is counted as admitted. */
    private countLocalAdmitted(bucket: RateBucket, now: number): number {
        const unknownShare = Math.max(0, 1 - (now - this.createdAt) / this.options.window);
        return this.countRecordedAdmissions(bucket, now) + unknownShare * bucket.allowed / this.nodeCount;
    }

    /** Counts the units admitted since this node started, after removing admissions older than the window. */
    private countRecordedAdmissions(bucket: RateBucket, now: number): number {
        const oldest = now - this.options.window;
        while (bucket.admissions[0] !== undefined && bucket.admissions[0].at < oldest) {
            bucket.admissions.shift();
        }
        return bucket.admissions.reduce((sum, pass) => sum + pass.units * getCountedShare(bucket, pass.allowed), 0);
    }

    /** Replaces the demand for a limit that a peer, or a group of nodes, reports. */
    recordPeerDemand(demand: RateDemand, source: string): void {
        const now = this.clock.getMonotonicTime();
        const bucket = this.getBucket(demand.name, now);
        bucket.peerDemands.set(source, { ...demand, at: now, allowed: bucket.allowed });
    }

    /** Removes the sources that the predicate rejects, because another source's sum includes their nodes. */
    removeSources(isKept: (source: string) => boolean): void {
        for (const { peerDemands } of this.buckets.values()) {
            [...peerDemands.keys()].filter(source => !isKept(source)).forEach(source => peerDemands.delete(source));
        }
    }

    /** Returns, for each limit, the demand at this node plus that of the sources that the predicate accepts. */
    listSums(isCounted: (source: string) => boolean): RateDemand[] {
        const now = this.clock.getMonotonicTime();
        return this.listDemands().map(local => {
            const sum = { ...local };
            for (const [source, other] of this.getBucket(local.name, now).peerDemands) {
                if (isCounted(source) && now - other.at <= this.options.window) {
                    sum.demand += other.demand;
                    sum.passed += other.passed;
                    sum.nodes += other.nodes;
                }
            }
            return sum;
        });
    }

    /** Returns the demand at this node for each limit. */
    listDemands(): RateDemand[] {
        const now = this.clock.getMonotonicTime();
        return [...this.buckets].map(([name, bucket]) => ({
            name,
            demand: computeDemand(bucket, now),
            passed: this.countLocalAdmitted(bucket, now),
            nodes: 1,
        }));
    }

    private getBucket(name: string, now: number): RateBucket {
        const existing = this.buckets.get(name);
        if (existing !== undefined) {
            return existing;
        }
        // The admissions of this node's previous incarnation are not known, so a bucket starts empty when the process starts.
        const bucket: RateBucket = {
            allowed: 0,
            available: 0,
            refilledAt: this.createdAt,
            demand: 0,
            demandAt: now,
            admissions: [],
            peerDemands: new Map(),
        };
        this.buckets.set(name, bucket);
        return bucket;
    }

    /** Returns the units of slack that this node adds to its part of a limit's burst. */
    private getLocalSlack(): number {
        return this.options.slack * burstSlackShare / this.nodeCount;
    }

    private recordDemand(bucket: RateBucket, units: number, now: number): void {
        bucket.demand = computeDemand(bucket, now) + units * millisecondsPerSecond / demandTimeConstantMilliseconds;
        bucket.demandAt = now;
    }

    /** Returns this node's share of the total demand, from 0 to 1; nodes without a report count with the mean of the reported nodes. */
    private computeLocalShare(bucket: RateBucket, now: number): number {
        let reportedNodes = 0;
        let peerDemand = 0;
        for (const [node, other] of bucket.peerDemands) {
            if (now - other.at > peerDemandAgeLimitMilliseconds) {
                bucket.peerDemands.delete(node);
                continue;
            }
            reportedNodes += other.nodes;
            peerDemand += other.demand;
        }
        const localDemand = Math.max(bucket.demand, Number.EPSILON);
        const unreportedNodes = Math.max(0, this.nodeCount - 1 - reportedNodes);
        const mean = reportedNodes > 0 ? peerDemand / reportedNodes : localDemand;
        return localDemand / (localDemand + peerDemand + unreportedNodes * mean);
    }
}

/**
 * Returns the share of units admitted earlier that counts against a limit: where it has been lowered since, they count as the same part
 * of the lower limit. They were within the limit of their time, and a team within the new one must not wait until they leave the window.
 */
function getCountedShare(bucket: RateBucket, allowedThen: number): number {
    return allowedThen > bucket.allowed ? bucket.allowed / allowedThen : 1;
}

/** Returns a bucket's demand, decayed to the given monotonic time. */
function computeDemand(bucket: RateBucket, now: number): number {
    return bucket.demand * Math.exp(-(now - bucket.demandAt) / demandTimeConstantMilliseconds);
}
