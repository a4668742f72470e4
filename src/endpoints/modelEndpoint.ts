import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { NetworkAddress } from "../config/types.js";
import { GenerationAttempt, GenerationEnd, LoadReport } from "./types.js";

/** Receives the tokens of an attempt in the order in which the engine generates them. */
export interface TokenSink {
    /** Appends the next token. */
    appendToken(text: string): void;
}

/** An order to a model engine. Orders are declarative: each lists all models that the engine should serve. */
export interface EngineOrder {
    /** Fencing number of the lease under which the order is sent. */
    readonly fencing: number;
    readonly models: readonly string[];
}

/** Client interface to model engines. An engine with another protocol gets its own implementation. */
export interface ModelEndpointClient {
    /** Runs an attempt until it ends and passes each token to the sink as it arrives. A failure carries a verdict. */
    runGeneration(
        address: NetworkAddress,
        attempt: GenerationAttempt,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<Result<GenerationEnd, Failure>>;
    /** Requests that the engine stop an attempt. Best effort: errors are ignored. */
    cancelGeneration(address: NetworkAddress, attemptId: string): Promise<void>;
    /** Exports the KV cache of an attempt; returns a handle that other engines can import. */
    exportCache(address: NetworkAddress, attemptId: string, timeLimit: number): Promise<Result<string, Failure>>;
    /** Fetches the load that the engine reports. The time limit of this and the other methods is in milliseconds. */
    fetchLoad(address: NetworkAddress, timeLimit: number): Promise<Result<LoadReport, Failure>>;
    /** Fetches the prefix cache events after a sequence number. Events may arrive late and some may be missing. */
    fetchCacheEvents(address: NetworkAddress, afterSequence: number, timeLimit: number): Promise<Result<CacheEvents, Failure>>;
    /** Sends an order; the time limit must be shorter than the remaining term of the lease. */
    sendOrder(address: NetworkAddress, order: EngineOrder, timeLimit: number): Promise<Result<void, Failure>>;
    /** Fetches the models that the engine serves or is loading. */
    fetchModels(address: NetworkAddress, timeLimit: number): Promise<Result<EngineModels, Failure>>;
}

/** Prefixes that an engine stored in or evicted from its cache, up to a sequence number. */
export interface CacheEvents {
    readonly sequence: number;
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** The models of an engine, and the fencing number of the last order that it accepted. */
export interface EngineModels {
    readonly fencing: number;
    readonly loaded: readonly string[];
    readonly loading: readonly string[];
}
