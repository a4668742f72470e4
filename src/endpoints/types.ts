import { z } from "zod";
import { NetworkAddress } from "../config/types.js";
import { HostState, PurchaseKind } from "../provider/types.js";

/** State of an endpoint as a node records it. */
export enum EndpointState {
    Live = "live",
    /** The endpoint failed recently; it receives no work until a probe succeeds or the suspicion expires. */
    Suspect = "suspect",
    /** The endpoint will be removed; it receives no new work. */
    Leaving = "leaving",
    Removed = "gone",
}

/** Evidence on which a node bases the recorded state of an endpoint. */
export enum EndpointEvidence {
    HostList = "host-list",
    Notice = "notice",
    LocalRefusal = "own-refusal",
    ConnectionFailure = "connection-failure",
    Crash = "death",
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

/** Schema of the load report of an endpoint. */
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

/** One attempt to run a generation on an engine. */
export interface GenerationAttempt {
    readonly requestId: string;
    readonly attemptId: string;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly sampling: Readonly<Record<string, unknown>>;
    /** Smaller values are more urgent. */
    readonly priority: number;
    /** Tokens that earlier attempts emitted; the engine resumes after them. */
    readonly emittedTokens: readonly string[];
    /** Handle of an exported KV cache that holds the prompt and the emitted tokens. */
    readonly cacheHandle: string | undefined;
    /** Longest time between two events, in milliseconds. */
    readonly silenceLimit: number;
    readonly connectTimeout: number;
    readonly traceHeaders: { readonly traceparent?: string; readonly tracestate?: string; };
}

/** Finish reason of a generation and the token counts that the engine reported. */
export interface GenerationEnd {
    readonly finishReason: FinishReason;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Tokens of earlier attempts that the engine had to recompute. */
    readonly recomputedTokens: number;
}

/** A call to a plain service. Times are in milliseconds. */
export interface PlainCall {
    readonly requestId: string;
    readonly attemptId: string;
    /** Requested version of the service. */
    readonly version: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    readonly timeLimit: number;
    /** Time without a byte after which the call is reported as silent; it goes on until its time limit. */
    readonly silenceLimit: number;
    readonly connectTimeout: number;
    /** Largest response body that is accepted, in bytes. */
    readonly answerBytes: number;
    /** Whether a pooled connection may be used; calls that must not be retried, and repeats of silent ones, use a new connection. */
    readonly mayReuseConnection: boolean;
    readonly traceHeaders: { readonly traceparent?: string; readonly tracestate?: string; };
}

/** The complete response of a plain service. */
export interface PlainResponse {
    readonly status: number;
    readonly contentType: string | undefined;
    readonly body: Buffer;
}
