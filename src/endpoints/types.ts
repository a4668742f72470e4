import { z } from "zod";
import { NetworkAddress } from "../config/types.js";
import { HostState, PurchaseKind } from "../provider/types.js";

/** What a node believes of an endpoint. */
export enum EndpointState {
    Live = "live",
    /** It failed lately; it gets no work until a probe succeeds or time passes. */
    Suspect = "suspect",
    /** It will be taken away; it gets no new work. */
    Leaving = "leaving",
    Gone = "gone",
}

/** What made a node believe it. */
export enum EndpointEvidence {
    HostList = "host-list",
    Notice = "notice",
    OwnRefusal = "own-refusal",
    ConnectionFailure = "connection-failure",
    Death = "death",
    Operator = "operator",
    Probe = "probe",
}

/** An endpoint as the host list describes it. */
export interface EndpointDescription {
    readonly name: string;
    readonly address: NetworkAddress;
    readonly failureDomain: string;
    readonly region: string;
    readonly group: string;
    readonly purchase: PurchaseKind;
    readonly pricePerHour: number;
    readonly state: HostState;
    readonly leavesAt: number | undefined;
}

/** The load that an endpoint reports. */
export const loadReportSchema = z.object({
    running: z.number().int().min(0),
    waiting: z.number().int().min(0),
    tokens_per_second: z.number().min(0).default(0),
    capacity: z.number().int().min(1).default(1),
    leaving: z.boolean().default(false),
    models: z.array(z.string()).default([]),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Why a generation ended. */
export enum FinishReason {
    Stop = "stop",
    Length = "length",
}

/** One attempt at a generation. */
export interface GenerationAttempt {
    readonly requestId: string;
    readonly attemptId: string;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly sampling: Readonly<Record<string, unknown>>;
    /** Smaller is more urgent. */
    readonly priority: number;
    /** Tokens that earlier attempts emitted; the engine goes on after them. */
    readonly emittedTokens: readonly string[];
    /** Handle of an exported KV cache that holds the prompt and the emitted tokens. */
    readonly cacheHandle: string | undefined;
    /** Longest silence between two events, in milliseconds. */
    readonly silenceLimit: number;
    readonly connectTimeout: number;
    readonly traceHeaders: { readonly traceparent?: string; readonly tracestate?: string; };
}

/** How a generation ended, with the engine's own counts. */
export interface GenerationEnd {
    readonly finishReason: FinishReason;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Tokens of earlier attempts that the engine computed again. */
    readonly recomputedTokens: number;
}

/** A call to a plain service. */
export interface PlainCall {
    readonly requestId: string;
    readonly attemptId: string;
    /** Version of the service that is asked for. */
    readonly version: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    readonly timeLimit: number;
    readonly connectTimeout: number;
    readonly answerBytes: number;
    /** Whether a pooled connection may be used; calls that may not be repeated use a fresh one. */
    readonly mayReuseConnection: boolean;
    readonly traceHeaders: { readonly traceparent?: string; readonly tracestate?: string; };
}

/** The whole answer of a plain service. */
export interface PlainAnswer {
    readonly status: number;
    readonly contentType: string | undefined;
    readonly body: Buffer;
}
