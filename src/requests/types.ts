import { Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { ServiceDeclaration } from "../config/types.js";
import { GenerationEnd } from "../endpoints/types.js";

/** State of an attempt: running, or how it ended. */
export enum AttemptOutcome {
    Running = "running",
    Finished = "finished",
    Failed = "failed",
    /** Stopped because the endpoint was leaving; the request continues at another endpoint. */
    Moved = "moved",
    Cancelled = "cancelled",
}

/** One attempt of a request, as reported to operators. Times are Unix milliseconds. */
export interface AttemptRecord {
    readonly attemptId: string;
    readonly endpoint: string;
    readonly version: string;
    readonly startedAt: number;
    /** Tokens that the response had when the attempt started. */
    readonly startOffset: number;
    endedAt: number | undefined;
    outcome: AttemptOutcome;
    verdict: Verdict;
    text: string;
}

/** State of a request: running, or how it ended. */
export enum RequestOutcome {
    Running = "running",
    Finished = "finished",
    Refused = "refused",
    Failed = "failed",
    Cancelled = "cancelled",
    HandedOver = "handed-over",
}

/** End of a generation: its result, the failure that ended it, or neither if it was cancelled or handed over. */
export interface RequestEnd {
    readonly outcome: RequestOutcome;
    readonly generation: GenerationEnd | undefined;
    readonly failure: Failure | undefined;
}

/** A generation request of a caller. Times are Unix milliseconds. */
export interface ModelRequest {
    readonly id: string;
    readonly team: string;
    readonly service: string;
    readonly isChat: boolean;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly deadline: number;
    readonly arrivedAt: number;
    readonly fingerprint: string;
    readonly isAsync: boolean;
    /** Sampling parameters, passed to the engine as they are. */
    readonly sampling: Readonly<Record<string, unknown>>;
}

/** A caller's call to a plain service. Times are Unix milliseconds. */
export interface PlainRequest {
    readonly id: string;
    readonly team: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    readonly deadline: number;
    readonly arrivedAt: number;
    readonly fingerprint: string;
}

/** Chooses the version that serves a request. */
export interface VersionPolicy {
    /** Returns the name of the version for a request. */
    selectVersion(service: ServiceDeclaration, requestId: string): string;
}

/** Result and timing of one attempt, as evidence about a version. Times are in milliseconds. */
export interface VersionObservation {
    readonly service: string;
    readonly version: string;
    readonly team: string;
    /** Interface of the service that was called, such as "chat" or the first segment of the path. */
    readonly route: string;
    readonly endpoint: string;
    readonly succeeded: boolean;
    /** Whether the response has the maximum number of tokens; always true for a plain call. */
    readonly isComplete: boolean;
    readonly firstToken: number | undefined;
    readonly betweenTokens: number | undefined;
    /** Share of the endpoint's capacity in use when the attempt started. */
    readonly load: number;
}

/** Receives observations of attempts for the evaluation of versions. */
export interface VersionObserver {
    recordObservation(observation: VersionObservation): void;
}
