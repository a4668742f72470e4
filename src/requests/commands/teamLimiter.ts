import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { Verdict } from "../../common/verdict.js";
import { TeamDeclaration } from "../../config/types.js";

/** Time constant of the measured demand, in milliseconds. */
const demandWindowMilliseconds = 5_000;
/** Time after which another node's demand is no longer counted, in milliseconds. */
const demandAgeLimitMilliseconds = 15_000;
/** Seconds of its rate that a team may use at once. */
const burstSeconds = 2;
/** Least burst, so that slow teams can send at all. */
const leastBurst = 2;

interface TeamBucket {
    tokens: number;
    refilledAt: number;
    /** Requests a second, smoothed. */
    demand: number;
    demandAt: number;
    readonly others: Map<string, { demand: number; at: number; }>;
}

/**
 * Holds each team to its limit over all nodes without a central counter: a node allows the part of the limit
 * that its own share of the team's demand comes to, by what the nodes tell one another.
 */
export class TeamLimiter {
    private readonly buckets = new Map<string, TeamBucket>();
    private nodeCount = 1;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): TeamLimiter {
        return new TeamLimiter(clock);
    }

    /** Sets how many nodes serve callers. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /** Takes one request of a team's limit; returns the refusal when none is left. */
    takeRequest(team: TeamDeclaration): Failure | undefined {
        const now = this.clock.getMonotonicTime();
        const bucket = this.getBucket(team, now);
        this.recordDemand(bucket, now);
        const rate = team.requestsPerSecond * this.computeOwnShare(bucket, now);
        const burst = Math.max(leastBurst, rate * burstSeconds);
        bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.refilledAt) / millisecondsPerSecond * rate);
        bucket.refilledAt = now;
        if (bucket.tokens < 1) {
            const failure = Failure.create(
                Verdict.NotRun,
                Diagnostics.Team_0_is_over_its_limit_of_1_requests,
                team.name,
                team.requestsPerSecond,
            );
            return failure.setRetryAfter((1 - bucket.tokens) / rate);
        }
        bucket.tokens -= 1;
        return undefined;
    }

    /** Records the demand that another node sees, in requests a second. */
    recordOtherDemand(team: string, node: string, demand: number): void {
        this.buckets.get(team)?.others.set(node, { demand, at: this.clock.getMonotonicTime() });
    }

    /** Returns this node's demand by team, in requests a second. */
    listDemands(): { team: string; demand: number; }[] {
        const now = this.clock.getMonotonicTime();
        return [...this.buckets].map(([team, bucket]) => ({ team, demand: computeDemand(bucket, now) }));
    }

    private getBucket(team: TeamDeclaration, now: number): TeamBucket {
        const existing = this.buckets.get(team.name);
        if (existing !== undefined) {
            return existing;
        }
        const tokens = Math.max(leastBurst, team.requestsPerSecond * burstSeconds / this.nodeCount);
        const bucket: TeamBucket = { tokens, refilledAt: now, demand: 0, demandAt: now, others: new Map() };
        this.buckets.set(team.name, bucket);
        return bucket;
    }

    private recordDemand(bucket: TeamBucket, now: number): void {
        bucket.demand = computeDemand(bucket, now) + millisecondsPerSecond / demandWindowMilliseconds;
        bucket.demandAt = now;
    }

    /** Returns this node's share of the demand; nodes that nothing is known of count as the mean of the known ones. */
    private computeOwnShare(bucket: TeamBucket, now: number): number {
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

function computeDemand(bucket: TeamBucket, now: number): number {
    return bucket.demand * Math.exp(-(now - bucket.demandAt) / demandWindowMilliseconds);
}
