import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { Route, RoutedTeam } from "../routes/types.js";
import { EndpointAdmission } from "./brittleEndpoints.js";
import { EndpointObstacle, PlacementQuery } from "./types.js";

/** Keeps requests within the regions that are the homes of their routes and teams. A failure domain of no known region is in none of them. */
export class HomeRegions implements EndpointAdmission {
    private constructor(private readonly failureDomain: string, private readonly regions: ReadonlyMap<string, string>) {}

    /** `failureDomain` is that of this node, `regions` holds the region of each failure domain. */
    static create(failureDomain: string, regions: ReadonlyMap<string, string>): HomeRegions {
        return new HomeRegions(failureDomain, regions);
    }

    selectWithRoom(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[] {
        const { allowedRegions } = query;
        return allowedRegions === undefined
            ? endpoints
            : endpoints.filter(endpoint => this.isInRegions(endpoint.entry.failureDomain, allowedRegions));
    }

    findObstacle(): EndpointObstacle {
        return EndpointObstacle.OtherRegion;
    }

    /**
     * Returns whether the body of a request may be sent to a node in a failure domain. This node has it, so nodes of the same region
     * may have it too.
     */
    isNodeAllowed(failureDomain: string, allowedRegions: readonly string[] | undefined): boolean {
        if (allowedRegions === undefined || failureDomain === this.failureDomain) {
            return true;
        }
        const region = this.regions.get(failureDomain);
        const isOwnRegion = region !== undefined && region === this.regions.get(this.failureDomain);
        return isOwnRegion || this.isInRegions(failureDomain, allowedRegions);
    }

    private isInRegions(failureDomain: string, allowedRegions: readonly string[]): boolean {
        const region = this.regions.get(failureDomain);
        return region !== undefined && allowedRegions.includes(region);
    }
}

/** Returns the regions whose endpoints may receive a request, those that are homes of both its route and its team; undefined if any may. */
export function findAllowedRegions(route: Route, team: RoutedTeam | undefined): readonly string[] | undefined {
    const restrictions = [route.homes, team?.homes ?? []].filter(homes => homes.length > 0);
    const [first, second] = restrictions;
    return second === undefined ? first : first?.filter(region => second.includes(region));
}
