import { EndpointEntry } from "../fleet/types.js";
import { PlacementQuery } from "../placement/types.js";
import { Route, RouteConfiguration, RouteKind } from "../routes/types.js";

/** Creates a route of a plain idempotent service, with some of its parts replaced. */
export function createRoute(parts: Partial<Route>): Route {
    return {
        name: "route",
        host: "desk.example",
        pathPrefix: "/",
        kind: RouteKind.Safe,
        timeLimit: 1_000,
        objective: 300,
        priority: 0,
        shares: [{ service: "desk", weight: 1 }],
        attempts: 2,
        isPublic: false,
        isResumable: false,
        homes: [],
        ...parts,
    };
}

/** Creates a configuration with the given routes and one plain service. */
export function createRouteConfiguration(version: number, routes: readonly Route[]): RouteConfiguration {
    return {
        version,
        routes: [...routes],
        services: [{ name: "desk", healthPath: "/healthz", connectionLimit: 100 }],
        teams: [],
        limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeout: 3_000, idleTimeout: 15_000 },
    };
}

/** Creates the entry of an endpoint, with some of its parts replaced. */
export function createEndpointEntry(parts: Partial<EndpointEntry>): EndpointEntry {
    return {
        id: "endpoint-1",
        incarnation: 1,
        service: "desk",
        address: { host: "127.0.0.1", port: 9 },
        failureDomain: "a",
        version: "v1",
        slots: 6,
        isDraining: false,
        isReclaimable: false,
        warmUpLeft: 0,
        ...parts,
    };
}

/** Creates the query of a request that needs an endpoint, with some of its parts replaced. */
export function createPlacementQuery(parts: Partial<PlacementQuery>): PlacementQuery {
    return {
        service: "desk",
        prompt: undefined,
        timeLeft: 15_000,
        objective: 1_500,
        rank: 1,
        triedEndpoints: new Set(),
        isNonResumableStream: false,
        allowedRegions: undefined,
        ...parts,
    };
}
