import { millisecondsPerSecond } from "../common/units.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointObstacle, PlacementQuery } from "./types.js";

/** Selects the endpoints of a service that may be sent another request. */
export interface EndpointAdmission {
    selectWithRoom(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[];
    /** Returns the time after which it may select one of the endpoints, in milliseconds; undefined if that is not known. */
    findRetryDelay?(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): number | undefined;
    /** Returns why an endpoint that it doesn't select gets no request. */
    findObstacle?(query: PlacementQuery, endpoint: FleetEndpoint): EndpointObstacle | undefined;
}

/** Admits requests to every endpoint. */
export const unlimitedAdmission: EndpointAdmission = { selectWithRoom: (_query, endpoints) => endpoints };

/**
 * Keeps nodes from overrunning brittle endpoints, which crash when they reject more than a stated number of requests in a second.
 * All endpoints of a service are brittle together. Requests are refused before they are sent instead of by the endpoint.
 */
export class BrittleEndpoints implements EndpointAdmission {
    /** Rejections in a second that an endpoint of a service survives, by the latest response of any of them. */
    private readonly rejectionLimits = new Map<string, number>();

    private constructor(private readonly getNodeCount: () => number) {}

    /** `getNodeCount` returns how many nodes send to the endpoints. */
    static create(getNodeCount: () => number): BrittleEndpoints {
        return new BrittleEndpoints(getNodeCount);
    }

    /** Records what an endpoint's response says of its service; undefined if it is not brittle. */
    recordRejectionLimit(service: string, limit: number | undefined): void {
        if (limit === undefined) {
            this.rejectionLimits.delete(service);
            return;
        }
        this.rejectionLimits.set(service, limit);
    }

    /**
     * Selects the endpoints that are likely to have a free slot; a brittle one is sent nothing that would have to wait. Each node
     * keeps to its part of the slots, since the counts of its peers are slightly old.
     */
    selectWithRoom(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[] {
        if (!this.rejectionLimits.has(query.service)) {
            return endpoints;
        }
        const nodeCount = this.getNodeCount();
        return endpoints.filter(endpoint => {
            const { slots } = endpoint.entry;
            const share = Math.max(1, Math.floor(slots / nodeCount));
            return endpoint.countRequests() < slots && endpoint.running < share;
        });
    }

    findObstacle(): EndpointObstacle {
        return EndpointObstacle.NoFreeSlot;
    }

    /** Returns the time for which a node sends nothing to an endpoint of a service that rejected a request, so that all nodes together stay within its limit. */
    computePauseAfterRejection(service: string): number | undefined {
        const limit = this.rejectionLimits.get(service);
        return limit === undefined ? undefined : millisecondsPerSecond * Math.max(1, this.getNodeCount() / Math.max(1, limit));
    }
}
