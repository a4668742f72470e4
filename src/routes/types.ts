import { z } from "zod";

/** Whether requests on a route may be retried. */
export enum RouteKind {
    /** Idempotent requests, which may run more than once. */
    Safe = "safe",
    /** Requests with side effects, which may run at most once for each attempt of the caller. */
    Unsafe = "unsafe",
    /** Event streams, which run once unless the route is resumable. */
    Stream = "stream",
}

/** What a team's usage cap counts. */
export enum UsageUnit {
    Requests = "requests",
    Tokens = "tokens",
}

/** Share of a route's traffic for one service; only the ratio of the weights matters. */
const serviceShareSchema = z.object({ service: z.string().min(1), weight: z.number().min(0) });

/** How requests of one host and path prefix are served. Times are in milliseconds. */
export const routeSchema = z.object({
    name: z.string().min(1),
    host: z.string().min(1),
    /** Begins and ends with a slash. */
    pathPrefix: z.string().regex(/^\/(.*\/)?$/),
    kind: z.enum(RouteKind),
    /** Maximum time until the end of the response. */
    timeLimit: z.number().positive(),
    /** Latency objective: the time to the first event of a stream, otherwise to the end of the response. */
    objective: z.number().positive(),
    /** 0 is the most urgent. */
    priority: z.number().int().min(0),
    shares: z.array(serviceShareSchema).min(1),
    /** Maximum number of endpoints that may run one attempt of a caller. */
    attempts: z.number().int().min(1),
    /** Whether requests are accepted without a key. */
    isPublic: z.boolean(),
    /** Whether a stream may resume at another endpoint after its last event. */
    isResumable: z.boolean(),
    /** Regions that its requests must not leave; empty if they may go anywhere. */
    homes: z.array(z.string().min(1)).default([]),
});

/** Declared capacity of a model engine: requests in one batch, and tokens in its KV memory. */
const engineTraitsSchema = z.object({ slots: z.number().int().positive(), memoryTokens: z.number().positive() });

/** Bounds on the number of endpoints in each failure domain, with boot time and prices. */
const scalingBoundsSchema = z.object({
    minimum: z.number().int().min(0),
    maximum: z.number().int().min(0),
    /** Seconds from an order until the endpoint serves requests. */
    bootSeconds: z.number().min(0),
    /** Price of a reclaimable endpoint as a share of the on-demand price; absent if none can be ordered. */
    reclaimablePrice: z.number().min(0).optional(),
    /** On-demand price of an endpoint in each failure domain. */
    domainPrices: z.array(z.object({ failureDomain: z.string().min(1), price: z.number().min(0) })),
});

/** What endpoints tolerate while they are cold. */
const warmUpTraitsSchema = z.object({
    /** Time for which an endpoint is cold after it starts during traffic. */
    milliseconds: z.number().min(0),
    /** Requests in a second that a cold endpoint is made for, from all nodes together. */
    requestsPerSecond: z.number().positive(),
});

/** A service to which routes send requests. */
export const routedServiceSchema = z.object({
    name: z.string().min(1),
    healthPath: z.string().min(1),
    /** Maximum number of connections that one endpoint accepts from all nodes together. */
    connectionLimit: z.number().int().positive(),
    engine: engineTraitsSchema.optional(),
    scaling: scalingBoundsSchema.optional(),
    /** Absent if cold endpoints may be sent any number of requests. */
    warmUp: warmUpTraitsSchema.optional(),
});

/** A team, whose callers authenticate with its keys. */
export const routedTeamSchema = z.object({
    name: z.string().min(1),
    keys: z.array(z.string().min(1)),
    /** Overrides the route's priority if present. */
    priority: z.number().int().min(0).optional(),
    unit: z.enum(UsageUnit),
    /** Tokens charged for a request without token counts. */
    plainTokens: z.number().min(0),
    /** Units per second over all nodes; 0 means no cap. */
    rate: z.number().min(0),
    burst: z.number().min(0),
    /** Regions that its requests must not leave; empty if they may go anywhere. */
    homes: z.array(z.string().min(1)).default([]),
});

/** Limits on a caller's request: sizes in bytes, timeouts in milliseconds. */
const callerLimitsSchema = z.object({
    headerBytes: z.number().int().positive(),
    bodyBytes: z.number().int().positive(),
    headerTimeout: z.number().positive(),
    idleTimeout: z.number().positive(),
});

/** One version of the operator's complete configuration. */
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
