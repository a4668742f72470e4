import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Verdict } from "../../common/verdict.js";
import { TeamDeclaration } from "../../config/types.js";
import { SharedRateLimiter } from "../../quotas/sharedRateLimiter.js";

/** Burst capacity of a team, in seconds of its rate. */
const burstSeconds = 2;
/** Minimum burst in requests, so that a team with a low rate can send at all. */
const minimumBurst = 2;

/** Enforces each team's limit of requests per second over all nodes. */
export class TeamLimiter {
    private constructor(private readonly limiter: SharedRateLimiter) {}

    static create(clock: Clock): TeamLimiter {
        return new TeamLimiter(SharedRateLimiter.create(clock));
    }

    /** Sets the number of nodes that serve callers and share the limits. */
    setNodeCount(count: number): void {
        this.limiter.setNodeCount(count);
    }

    /** Takes one request from a team's limit; returns a failure with the retry delay if the limit is reached, otherwise undefined. */
    takeRequest(team: TeamDeclaration): Failure | undefined {
        const rate = team.requestsPerSecond;
        const refusal = this.limiter.takeUnits({ name: team.name, rate, burst: rate * burstSeconds }, 1, minimumBurst);
        if (refusal === undefined) {
            return undefined;
        }
        return Failure.create(Verdict.NotRun, Diagnostics.Team_0_is_over_its_limit_of_1_requests, team.name, rate).setRetryAfter(
            refusal.wait,
        );
    }

    /** Records the demand for a team that another node reported, in requests per second. */
    recordPeerDemand(team: string, node: string, demand: number): void {
        this.limiter.recordPeerDemand({ name: team, demand, passed: 0, nodes: 1, recent: [], leaving: 0, age: 0 }, node);
    }

    /** Returns the demand that this node measured for each team, in requests per second. */
    listDemands(): { team: string; demand: number; }[] {
        return this.limiter.listDemands().map(({ name, demand }) => ({ team: name, demand }));
    }
}
