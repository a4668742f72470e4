import { Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { ServiceDeclaration } from "../config/types.js";
import { GenerationEnd } from "../endpoints/types.js";

/** How one attempt ended. */
export enum AttemptOutcome {
    Running = "running",
    Finished = "finished",
    Failed = "failed",
    /** Moved to another endpoint before its own left. */
    Moved = "moved",
    Cancelled = "cancelled",
}

/** One attempt at a request, as operators see it. Times are Unix milliseconds. */
export interface AttemptRecord {
    readonly attemptId: string;
    readonly endpoint: string;
    readonly version: string;
    readonly startedAt: number;
    readonly startOffset: number;
    endedAt: number | undefined;
    outcome: AttemptOutcome;
    verdict: Verdict;
    text: string;
}

/** How a request ended. */
export enum RequestOutcome {
    Running = "running",
    Finished = "finished",
    Refused = "refused",
    Failed = "failed",
    Cancelled = "cancelled",
    HandedOver = "handed-over",
}

/** The end of a generation or the failure that ended it. */
export interface RequestEnd {
    readonly outcome: RequestOutcome;
    readonly generation: GenerationEnd | undefined;
    readonly failure: Failure | undefined;
}

/** A generation that a caller asked for. Times are Unix milliseconds. */
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

/** A call to a plain service that a caller asked for. Times are Unix milliseconds. */
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

/** What one attempt showed of a version. Times are in milliseconds. */
export interface VersionObservation {
    readonly service: string;
    readonly version: string;
    readonly team: string;
    /** Which of the service's interfaces was used. */
    readonly route: string;
    readonly endpoint: string;
    readonly succeeded: boolean;
    /** Whether the answer held as many tokens as were asked for or ended by the engine's own stop. */
    readonly isComplete: boolean;
    readonly firstToken: number | undefined;
    readonly betweenTokens: number | undefined;
    /** Share of the endpoint's capacity in use when the attempt began. */
    readonly load: number;
}

/** Receives what attempts show of versions. */
export interface VersionObserver {
    recordObservation(observation: VersionObservation): void;
}
