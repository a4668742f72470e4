import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { DomainRoom } from "./domainRoom.js";
import { PlacementCost, PlacementPolicy, PlacementQuery } from "./types.js";

/** Weight of the latest call time in the exponential moving average of a service's call times. */
const callTimeSmoothingFactor = 0.05;
/** Cost added to an unhealthy endpoint, in milliseconds; large enough that any healthy endpoint is preferred. */
const unhealthyPenaltyMilliseconds = 1_000;

/** Settings of the cost estimate for calls to plain services. Times are in milliseconds. */
export interface CallCostSettings {
    /** Assumed time of a call to a service for which none has been measured yet. */
    readonly initialCallTime: number;
    /** Cost added to an endpoint in another failure domain than this node. */
    readonly domainPenalty: number;
}

/** Estimates costs for calls to plain services, so that calls go to endpoints with a free slot or the shortest queue. */
export class CallPlacementPolicy implements PlacementPolicy {
    private readonly callTimes = new Map<string, number>();

    private constructor(
        private readonly settings: CallCostSettings,
        private readonly failureDomain: string,
        private readonly getTime: () => number,
    ) {}

    static create(settings: CallCostSettings, failureDomain: string, getTime: () => number): CallPlacementPolicy {
        return new CallPlacementPolicy(settings, failureDomain, getTime);
    }

    /** Records the duration of a call that did not queue because its endpoint had a free slot. */
    recordCallTime(service: string, milliseconds: number): void {
        const average = this.getCallTime(service);
        this.callTimes.set(service, average + (milliseconds - average) * callTimeSmoothingFactor);
    }

    /** Returns the average time of a service's calls, in milliseconds. */
    getCallTime(service: string): number {
        return this.callTimes.get(service) ?? this.settings.initialCallTime;
    }

    /** A call occupies its slot equally long however long it queued, so it may queue for as long as its caller waits. */
    computeLongestWait(query: PlacementQuery): number {
        return query.timeLeft;
    }

    computeCosts(candidates: readonly FleetEndpoint[], query: PlacementQuery, all: readonly FleetEndpoint[]): PlacementCost[] {
        const now = this.getTime();
        const room = DomainRoom.create(all, this.failureDomain, endpoint => endpoint.countReportedRequests(now));
        return candidates.map(endpoint => this.computeCost(endpoint, query, room, now));
    }

    private computeCost(endpoint: FleetEndpoint, query: PlacementQuery, room: DomainRoom, now: number): PlacementCost {
        const callTime = this.getCallTime(query.service);
        const requestCount = endpoint.countReportedRequests(now);
        const waiting = Math.max(0, requestCount + 1 - endpoint.entry.slots);
        const expectedTime = (waiting / endpoint.entry.slots + 1) * callTime * endpoint.getLatencyRatio()
            * endpoint.slowness.computeFactor(now);
        let fixedCost = callTime * endpoint.getFailureShare()
            + this.settings.domainPenalty * room.computePenaltyShare(endpoint.entry.failureDomain);
        if (endpoint.isUnhealthy()) {
            fixedCost += unhealthyPenaltyMilliseconds;
        }
        // Below its slot count a busier endpoint costs slightly more: calls that other nodes are sending to it are not counted yet.
        const cost = fixedCost + expectedTime + callTime * requestCount / endpoint.entry.slots / 2;
        const requiredTime = waiting === 0 ? callTime : expectedTime;
        return { cost, fixedCost, expectedTime, requiredTime, tokensToRead: 0, cacheSource: undefined, isSharedHome: false };
    }
}
