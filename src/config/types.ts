import { z } from "zod";

/** Kind of the endpoints that serve a service: model engines or plain HTTP services. */
export enum ServiceKind {
    Model = "model",
    Plain = "plain",
}

/** Priority class of queued requests, in the order in which they are assigned to endpoints. */
export enum Priority {
    Lookup = "lookup",
    Effect = "effect",
    Draft = "draft",
}

/** Pattern of the names of nodes, teams, services, versions and groups, in files and in the platform. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;

const nameSchema = z.string().regex(namePattern);

/** Schema of one version of a service. */
export const versionSchema = z.object({
    name: nameSchema,
    /** Model name under which engines serve the version. */
    model: z.string().min(1),
    /** Endpoint group that serves the version; undefined means the group of the service. */
    group: nameSchema.optional(),
});

/** Schema of the weights of latency, cost and prefix reuse in the routing of a service; only their ratios matter. */
export const routingWeightsSchema = z.object({
    latency: z.number().min(0),
    cost: z.number().min(0),
    prefix: z.number().min(0),
});

/** Schema of a service declaration. Times are in milliseconds unless the name has another unit. */
export const serviceSchema = z.object({
    name: nameSchema,
    kind: z.enum(ServiceKind),
    group: nameSchema,
    version: nameSchema,
    versions: z.array(versionSchema),
    priority: z.enum(Priority),
    idempotent: z.boolean(),
    acceptsAsync: z.boolean(),
    timeLimit: z.number().int().positive(),
    /** Time that a request may wait for an endpoint before it is refused. */
    queueTimeLimit: z.number().int().positive(),
    /** Idle timeout of a running request. */
    silenceLimit: z.number().int().positive(),
    retentionSeconds: z.number().int().positive(),
    maxTokens: z.number().int().positive(),
    queueLimit: z.number().int().positive(),
    requestsPerHour: z.number().positive(),
    callers: z.array(nameSchema),
    weights: routingWeightsSchema,
});

/** Schema of a team declaration: the hashes of its bearer tokens, its rate limit and its weight in the fair queueing of requests. */
export const teamSchema = z.object({
    name: nameSchema,
    tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
    requestsPerSecond: z.number().positive(),
    share: z.number().positive(),
});

/** Schema of a version move declaration. */
export const moveSchema = z.object({
    service: nameSchema,
    to: nameSchema,
    /** Time by which the move is completed or rolled back, in Unix milliseconds. */
    deadline: z.number().int(),
});

/** Schema of a configuration object: the declarations of one team. */
export const teamConfigurationSchema = z.object({
    team: teamSchema,
    services: z.array(serviceSchema),
    moves: z.array(moveSchema),
});

export type VersionDeclaration = z.infer<typeof versionSchema>;
export type RoutingWeights = z.infer<typeof routingWeightsSchema>;
export type ServiceDeclaration = z.infer<typeof serviceSchema>;
export type TeamDeclaration = z.infer<typeof teamSchema>;
export type MoveDeclaration = z.infer<typeof moveSchema>;
export type TeamConfiguration = z.infer<typeof teamConfigurationSchema>;

/** Address to listen on or to connect to; the host is an IP number. */
export interface NetworkAddress {
    readonly host: string;
    readonly port: number;
}

/** A peer node that is listed in the settings. */
export interface PeerSettings {
    readonly name: string;
    readonly failureDomain: string;
    readonly address: NetworkAddress;
}

/** Paths of the TLS files for connections between nodes. */
export interface TlsSettings {
    readonly certificateFile: string;
    readonly keyFile: string;
    readonly authorityFile: string;
}

/** Settings of an endpoint group. */
export interface EndpointGroupSettings {
    readonly name: string;
    /** Whether the endpoints of the group refuse an order with an outdated fencing number. */
    readonly checksFencing: boolean;
}

/** Limits of a node: sizes in bytes, counts of open requests and of concurrent requests per endpoint. */
export interface LimitSettings {
    readonly bodyBytes: number;
    readonly answerBytes: number;
    readonly headerBytes: number;
    readonly openRequests: number;
    readonly endpointConcurrency: number;
    /** Memory that the process may use. */
    readonly memoryBytes: number;
    /** Connections of callers that are kept open. */
    readonly callerConnections: number;
}

/** Timeouts and intervals of a node, in milliseconds. */
export interface TimingSettings {
    /** Delay at shutdown between reporting the node as not ready and refusing new requests. */
    readonly readinessGrace: number;
    /** Time from the start of the shutdown that open requests may take to finish. */
    readonly drainLimit: number;
    readonly exchangeInterval: number;
    /** Time without an update after which a peer is considered unreachable. */
    readonly peerSilence: number;
    readonly platformTimeout: number;
    /** Idle timeout of the connection that watches objects of the platform. */
    readonly watchSilence: number;
    readonly hostListInterval: number;
    /** Interval at which the load of engines is polled. */
    readonly loadInterval: number;
    readonly leaseTerm: number;
    readonly quarantineTerm: number;
    readonly connectTimeout: number;
}

/** Settings of one node daemon. */
export interface NodeSettings {
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly callers: NetworkAddress;
    readonly peersListen: NetworkAddress;
    readonly operators: NetworkAddress;
    readonly peers: readonly PeerSettings[];
    readonly objectsUrl: string;
    readonly hostListUrl: string;
    readonly cloudUrl: string | undefined;
    readonly weightStoreUrl: string | undefined;
    readonly platformToken: string | undefined;
    readonly operatorTokenHash: string | undefined;
    readonly tls: TlsSettings | undefined;
    readonly groups: readonly EndpointGroupSettings[];
    readonly limits: LimitSettings;
    readonly timing: TimingSettings;
    readonly logLevel: string;
    readonly collectorUrl: string | undefined;
    readonly traceSampleRatio: number;
    readonly webhookUrl: string | undefined;
}
