import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptShape } from "../fleet/types.js";

/** A request that needs an endpoint. Times are in milliseconds. */
export interface PlacementQuery {
    readonly service: string;
    readonly prompt: PromptShape | undefined;
    /** How long the caller still waits. */
    readonly timeLeft: number;
    readonly objective: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    /** Endpoints that have had this request already. */
    readonly tried: ReadonlySet<FleetEndpoint>;
    /** Whether it is a stream that cannot go on at another endpoint. */
    readonly isBoundStream: boolean;
}

/** Where a request goes. */
export interface Placement {
    readonly endpoint: FleetEndpoint;
    /** Expected time to the first event or the whole answer, in milliseconds. */
    readonly expectedTime: number;
    /** Tokens that the endpoint is expected to read for it. */
    readonly tokensToRead: number;
    /** An endpoint from which it can copy parts of the prompt that it does not hold. */
    readonly cacheSource: FleetEndpoint | undefined;
}

/** Says how well an endpoint suits a request; the lowest cost wins. */
export interface PlacementCost {
    /** In milliseconds of the caller's time; other costs are given in the same unit. */
    readonly cost: number;
    /** The part of it that does not depend on what others have sent there: distance, what is cached, health. */
    readonly fixedCost: number;
    readonly expectedTime: number;
    readonly tokensToRead: number;
    readonly cacheSource: FleetEndpoint | undefined;
}

/** A way to judge endpoints. */
export interface PlacementPolicy {
    /** Returns the longest expected time, in milliseconds, with which a request is still accepted. */
    computeLongestWait(query: PlacementQuery): number;
    /** Returns the cost of each candidate. All endpoints of the service, those that leave included, may have parts to copy. */
    computeCosts(candidates: readonly FleetEndpoint[], query: PlacementQuery, all: readonly FleetEndpoint[]): PlacementCost[];
}
