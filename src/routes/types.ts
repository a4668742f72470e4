import { z } from "zod";

/** What may be repeated on a route. */
export enum RouteKind {
    /** Idempotent calls: they may run more than once. */
    Safe = "safe",
    /** Calls with an effect: they may run at most once for each attempt of the caller. */
    Unsafe = "unsafe",
    /** Event streams; they run once unless the route is resumable. */
    Stream = "stream",
}

/** What a team's usage cap counts. */
export enum UsageUnit {
    Requests = "requests",
    Tokens = "tokens",
}

/** The part of a route's traffic that one service gets; only the proportions of the weights matter. */
const serviceShareSchema = z.object({ service: z.string().min(1), weight: z.number().min(0) });

/** How requests of one host and path prefix are served. Times are in milliseconds. */
export const routeSchema = z.object({
    name: z.string().min(1),
    host: z.string().min(1),
    /** Begins and ends with a slash. */
    pathPrefix: z.string().regex(/^\/(.*\/)?$/),
    kind: z.enum(RouteKind),
    /** Longest time that a caller is kept waiting for the end of its answer. */
    timeLimit: z.number().positive(),
    /** Latency objective: for a stream the time to its first event, otherwise to the whole answer. */
    objective: z.number().positive(),
    /** 0 is the most urgent. */
    priority: z.number().int().min(0),
    shares: z.array(serviceShareSchema).min(1),
    /** Most endpoints that may run one attempt of a caller. */
    attempts: z.number().int().min(1),
    /** Whether requests need no key. */
    isPublic: z.boolean(),
    /** Whether a stream may go on at another endpoint after its last event. */
    isResumable: z.boolean(),
});

/** What an operator declares of a model engine: requests in one batch, and tokens that its KV memory holds. */
const engineTraitsSchema = z.object({ slots: z.number().int().positive(), memoryTokens: z.number().positive() });

/** Bounds of the number of endpoints in each failure domain. */
const scalingBoundsSchema = z.object({
    minimum: z.number().int().min(0),
    maximum: z.number().int().min(0),
    /** Seconds from an order to a serving endpoint. */
    bootSeconds: z.number().min(0),
    /** Price of a reclaimable endpoint as a share of an on-demand one; absent where there are none. */
    reclaimablePrice: z.number().min(0).optional(),
    /** Price of an endpoint in each failure domain. */
    domainPrices: z.array(z.object({ failureDomain: z.string().min(1), price: z.number().min(0) })),
});

/** A service that routes lead to. */
export const routedServiceSchema = z.object({
    name: z.string().min(1),
    healthPath: z.string().min(1),
    /** Connections that one endpoint accepts from all nodes together. */
    connectionLimit: z.number().int().positive(),
    engine: engineTraitsSchema.optional(),
    scaling: scalingBoundsSchema.optional(),
});

/** A team whose members call with keys. */
export const routedTeamSchema = z.object({
    name: z.string().min(1),
    keys: z.array(z.string().min(1)),
    /** Goes before the route's priority where it is given. */
    priority: z.number().int().min(0).optional(),
    unit: z.enum(UsageUnit),
    /** What a request without token counts counts as. */
    plainTokens: z.number().min(0),
    /** Units a second over all nodes; 0 is no cap. */
    rate: z.number().min(0),
    burst: z.number().min(0),
});

/** Bounds of what a caller may send, in bytes and milliseconds. */
const callerLimitsSchema = z.object({
    headerBytes: z.number().int().positive(),
    bodyBytes: z.number().int().positive(),
    headerTimeout: z.number().positive(),
    idleTimeout: z.number().positive(),
});

/** Everything that the operator has put in force, as one version. */
export const routeConfigurationSchema = z.object({
    version: z.number().int().positive(),
    routes: z.array(routeSchema),
    services: z.array(routedServiceSchema),
    teams: z.array(routedTeamSchema),
    limits: callerLimitsSchema,
});

export type ServiceShare = z.infer<typeof serviceShareSchema>;
export type Route = z.infer<typeof routeSchema>;
export type EngineTraits = z.infer<typeof engineTraitsSchema>;
export type ScalingBounds = z.infer<typeof scalingBoundsSchema>;
export type RoutedService = z.infer<typeof routedServiceSchema>;
export type RoutedTeam = z.infer<typeof routedTeamSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type RouteConfiguration = z.infer<typeof routeConfigurationSchema>;
