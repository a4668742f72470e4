import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointAdmission } from "./brittleEndpoints.js";
import { EndpointObstacle, PlacementQuery } from "./types.js";

/** Selects the endpoints that each of several admissions selects. */
export class CombinedAdmission implements EndpointAdmission {
    private constructor(private readonly admissions: readonly EndpointAdmission[]) {}

    static create(admissions: readonly EndpointAdmission[]): CombinedAdmission {
        return new CombinedAdmission(admissions);
    }

    selectWithRoom(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[] {
        return this.admissions.reduce((selected, admission) => admission.selectWithRoom(query, selected), endpoints);
    }

    /** Returns the obstacle of the first admission that does not select an endpoint. */
    findObstacle(query: PlacementQuery, endpoint: FleetEndpoint): EndpointObstacle | undefined {
        const refusing = this.admissions.find(admission => admission.selectWithRoom(query, [endpoint]).length === 0);
        return refusing?.findObstacle?.(query, endpoint);
    }

    /** Returns the delay of the admission that leaves none of the endpoints which those before it select. */
    findRetryDelay(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): number | undefined {
        let selected = endpoints;
        for (const admission of this.admissions) {
            const remaining = admission.selectWithRoom(query, selected);
            if (remaining.length === 0) {
                return admission.findRetryDelay?.(query, selected);
            }
            selected = remaining;
        }
        return undefined;
    }
}
