import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptShape } from "../fleet/types.js";

/** Properties of a request by which its endpoint is chosen. Times are in milliseconds. */
export interface PlacementQuery {
    readonly service: string;
    /** Undefined when the request has no prompt. */
    readonly prompt: PromptShape | undefined;
    /** Time until the caller's deadline. */
    readonly timeLeft: number;
    /** Target for the time to the first event of a stream or to the whole response. */
    readonly objective: number;
    /** Urgency of the request; 0 is the most urgent. */
    readonly rank: number;
    /** Endpoints to which earlier attempts of this request were sent. */
    readonly triedEndpoints: ReadonlySet<FleetEndpoint>;
    /** Whether the request is a stream that cannot be resumed at another endpoint. */
    readonly isNonResumableStream: boolean;
    /** Regions whose endpoints may receive the request; undefined if all may. */
    readonly allowedRegions: readonly string[] | undefined;
    /** What its order goes by while its service is short of room; requests without one are placed whatever the room is. */
    readonly claim?: RoomClaim;
}

/** What the order of requests at a service that is short of room goes by. Times are in milliseconds. */
export interface RoomClaim {
    readonly team: string | undefined;
    /** Time since the caller's first attempt; 0 unless it comes back after a refusal. */
    readonly waited: number;
    /** Time limit of the route. */
    readonly timeLimit: number;
    /** Returns a hash of the request that is the same on all nodes and for each of its attempts. */
    getFingerprint(): string;
}

/** Refusal of a request for want of room. */
export interface RoomRefusal {
    /** Time after which the caller's place comes up, in milliseconds. */
    readonly wait: number;
    /** Share served of requests like this one, from 0 to 1. */
    readonly share: number;
}

/** Decides which requests get the room of a service that is short of it. */
export interface RoomDecision {
    /** Records a request that asks for room, admitted or not. */
    recordDemand(query: PlacementQuery): void;
    /** Returns why a request gets no room now; undefined if it may be placed. */
    findRefusal(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): RoomRefusal | undefined;
    /** Returns when a request that no endpoint could take may come back, in milliseconds; undefined if that is not known. */
    computeReturnDelay(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): number | undefined;
}

/** The endpoint chosen for a request, with the estimates behind the choice. */
export interface Placement {
    readonly endpoint: FleetEndpoint;
    /** Expected time to the first event of a stream or to the whole response, in milliseconds. */
    readonly expectedTime: number;
    /** Prompt tokens that the endpoint is expected to process because they are neither cached nor copied. */
    readonly tokensToRead: number;
    /** Endpoint from which cached prompt parts can be copied; undefined when copying is not worthwhile. */
    readonly cacheSource: FleetEndpoint | undefined;
}

/** Estimated cost of sending a request to an endpoint; the endpoint with the lowest cost is chosen. */
export interface PlacementCost {
    /** Total cost in milliseconds, the unit of all costs. */
    readonly cost: number;
    /** Part of the cost that does not depend on the endpoint's load: failure domain, cached prompt parts, health. */
    readonly fixedCost: number;
    readonly expectedTime: number;
    /**
     * Time that a request must be able to wait to be sent there. Where it need not queue this leaves out how slow the last responses
     * were: only further responses can show that the endpoint is fast again.
     */
    readonly requiredTime: number;
    readonly tokensToRead: number;
    readonly cacheSource: FleetEndpoint | undefined;
    /** Whether the endpoint is one of several homes of the prompt's shared part and can serve the request well before its objective. */
    readonly isSharedHome: boolean;
}

/** Estimates how well endpoints suit the requests of one kind of service. */
export interface PlacementPolicy {
    /** Returns the longest expected time, in milliseconds, with which a request is accepted. */
    computeLongestWait(query: PlacementQuery): number;
    /**
     * Returns the cost of each candidate, in the same order. Prompt parts may be copied from any of the service's endpoints in
     * `all`, including draining ones.
     */
    computeCosts(candidates: readonly FleetEndpoint[], query: PlacementQuery, all: readonly FleetEndpoint[]): PlacementCost[];
}

/** Why an endpoint does not get a request now. */
export enum EndpointObstacle {
    /** It was removed, or its address was taken by another one. */
    Removed = "removed",
    /** It is draining, or said that it is leaving. */
    Leaving = "leaving",
    /** Its version does not get the request while its service moves to another one. */
    OtherVersion = "other-version",
    /** It is in none of the regions to which the request is bound. */
    OtherRegion = "other-region",
    /** Its failure domain is evacuated. */
    Evacuated = "evacuated",
    /** It would crash by rejecting requests, and may have no free slot for this node. */
    NoFreeSlot = "no-free-slot",
    /** It warms up, and this node has no permit for it. */
    Warming = "warming",
    /** An earlier attempt of the request was sent there. */
    Tried = "tried",
    /** It asked for a pause. */
    Paused = "paused",
    /** It refused a request a moment ago. */
    Full = "full",
    /** This node has opened its part of the connections that the endpoint accepts. */
    ConnectionLimit = "connection-limit",
    /** It did not respond lately, and others do. */
    Excluded = "excluded",
    /** The request cannot wait for as long as it is expected to take there. */
    TooLongWait = "too-long-wait",
    /** Its service is short of room, and the request's place has not come up. */
    ShortOfRoom = "short-of-room",
}
