import { z } from "zod";

/** What stands behind a service. */
export enum ServiceKind {
    Model = "model",
    Plain = "plain",
}

/** Order in which queued requests get an endpoint, the most urgent first. */
export enum Priority {
    Lookup = "lookup",
    Effect = "effect",
    Draft = "draft",
}

/** The shape of names in files and in the platform. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;

const nameSchema = z.string().regex(namePattern);

/** One version of a service as endpoints know it. */
export const versionSchema = z.object({
    name: nameSchema,
    /** Name under which engines serve the version. */
    model: z.string().min(1),
    /** Endpoint group of the version, where it differs from the service's. */
    group: nameSchema.optional(),
});

/** How much a service's routing weighs each concern; only the proportions matter. */
export const routingWeightsSchema = z.object({
    latency: z.number().min(0),
    cost: z.number().min(0),
    prefix: z.number().min(0),
});

/** A service as its team declares it. Times are in milliseconds unless the name says otherwise. */
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
    /** Longest wait for an endpoint before the request is refused. */
    queueTimeLimit: z.number().int().positive(),
    silenceLimit: z.number().int().positive(),
    retentionSeconds: z.number().int().positive(),
    maxTokens: z.number().int().positive(),
    queueLimit: z.number().int().positive(),
    requestsPerHour: z.number().positive(),
    callers: z.array(nameSchema),
    weights: routingWeightsSchema,
});

/** A team: who may call, with which token, how much. */
export const teamSchema = z.object({
    name: nameSchema,
    tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
    requestsPerSecond: z.number().positive(),
    share: z.number().positive(),
});

/** A version move as its team declares it. */
export const moveSchema = z.object({
    service: nameSchema,
    to: nameSchema,
    /** Unix milliseconds by which the move is completed or taken back. */
    deadline: z.number().int(),
});

/** The object that holds everything one team declares. */
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

/** An address to listen on or to connect to. */
export interface NetworkAddress {
    readonly host: string;
    readonly port: number;
}

/** Another node, as the settings name it. */
export interface PeerSettings {
    readonly name: string;
    readonly failureDomain: string;
    readonly address: NetworkAddress;
}

/** Files of the certificates for connections between nodes. */
export interface TlsSettings {
    readonly certificateFile: string;
    readonly keyFile: string;
    readonly authorityFile: string;
}

/** An endpoint group whose endpoints behave alike. */
export interface EndpointGroupSettings {
    readonly name: string;
    /** Whether the group's endpoints refuse an order that carries an old fencing number. */
    readonly checksFencing: boolean;
}

/** Bounds of a node. Times are in milliseconds. */
export interface LimitSettings {
    readonly bodyBytes: number;
    readonly answerBytes: number;
    readonly headerBytes: number;
    readonly openRequests: number;
    readonly endpointConcurrency: number;
}

/** Waits of a node, in milliseconds. */
export interface TimingSettings {
    readonly readinessGrace: number;
    readonly drainLimit: number;
    readonly exchangeInterval: number;
    readonly peerSilence: number;
    readonly platformTimeout: number;
    readonly watchSilence: number;
    readonly hostListInterval: number;
    readonly loadInterval: number;
    readonly leaseTerm: number;
    readonly quarantineTerm: number;
    readonly connectTimeout: number;
}

/** The settings of one daemon. */
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
