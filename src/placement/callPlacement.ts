import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PlacementCost, PlacementPolicy, PlacementQuery } from "./types.js";

/** Weight of the newest time in the mean time of a service's calls. */
const timeWeight = 0.05;
/** Cost of an endpoint that fails often, in milliseconds: any healthy one is better. */
const unhealthyPenaltyMilliseconds = 1_000;
/** How long a load told by an endpoint counts beside the node's own counts, in milliseconds: about the time of one call. */
const reportedLoadAgeLimitMilliseconds = 200;

/** Speeds of plain services and what routing weighs, in milliseconds. */
export interface CallSpeeds {
    /** Time of a call before any was measured. */
    readonly initialCallTime: number;
    /** What sending to another failure domain is worth avoiding. */
    readonly domainPenalty: number;
}

/** Places calls to plain services where a slot is free or the queue is shortest. */
export class CallPlacement implements PlacementPolicy {
    private readonly callTimes = new Map<string, number>();

    private constructor(
        private readonly speeds: CallSpeeds,
        private readonly failureDomain: string,
        private readonly getTime: () => number,
    ) {}

    static create(speeds: CallSpeeds, failureDomain: string, getTime: () => number): CallPlacement {
        return new CallPlacement(speeds, failureDomain, getTime);
    }

    /** Records how long a call took at an endpoint that had a free slot. */
    recordCallTime(service: string, milliseconds: number): void {
        const known = this.getCallTime(service);
        this.callTimes.set(service, known + (milliseconds - known) * timeWeight);
    }

    getCallTime(service: string): number {
        return this.callTimes.get(service) ?? this.speeds.initialCallTime;
    }

    /** A call holds its slot for the same time whenever it runs, so it may wait for as long as its caller does. */
    computeLongestWait(query: PlacementQuery): number {
        return query.timeLeft;
    }

    computeCosts(candidates: readonly FleetEndpoint[], query: PlacementQuery): PlacementCost[] {
        return candidates.map(endpoint => this.computeCost(endpoint, query));
    }

    private computeCost(endpoint: FleetEndpoint, query: PlacementQuery): PlacementCost {
        const callTime = this.getCallTime(query.service);
        const before = this.countRequests(endpoint);
        const waiting = Math.max(0, before + 1 - endpoint.entry.slots);
        const expectedTime = (waiting / endpoint.entry.slots + 1) * callTime * endpoint.getLatencyRatio();
        let fixedCost = callTime * endpoint.getFailureShare();
        if (endpoint.entry.failureDomain !== this.failureDomain) {
            fixedCost += this.speeds.domainPenalty;
        }
        if (endpoint.isUnhealthy()) {
            fixedCost += unhealthyPenaltyMilliseconds;
        }
        // Below its slots a busier endpoint is a little worse: what other nodes send there now is not known yet.
        const cost = fixedCost + expectedTime + callTime * before / endpoint.entry.slots / 2;
        return { cost, fixedCost, expectedTime, tokensToRead: 0, cacheSource: undefined };
    }

    private countRequests(endpoint: FleetEndpoint): number {
        const counted = endpoint.countRequests();
        const isFresh = this.getTime() - endpoint.reportedAt < reportedLoadAgeLimitMilliseconds;
        if (!isFresh || endpoint.reportedLoad === undefined) {
            return counted;
        }
        return Math.max(counted, endpoint.reportedLoad.running + endpoint.reportedLoad.waiting);
    }
}
