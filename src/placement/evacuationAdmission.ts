import { Evacuations } from "../fleet/evacuations.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointAdmission } from "./brittleEndpoints.js";
import { EndpointObstacle, PlacementQuery } from "./types.js";

/** Selects the endpoints whose failure domain is not evacuated. */
export class EvacuationAdmission implements EndpointAdmission {
    private constructor(private readonly evacuations: Pick<Evacuations, "isEvacuated">) {}

    static create(evacuations: Pick<Evacuations, "isEvacuated">): EvacuationAdmission {
        return new EvacuationAdmission(evacuations);
    }

    selectWithRoom(_query: PlacementQuery, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[] {
        return endpoints.filter(endpoint => !this.evacuations.isEvacuated(endpoint.entry.failureDomain));
    }

    findObstacle(): EndpointObstacle {
        return EndpointObstacle.Evacuated;
    }
}
