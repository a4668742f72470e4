import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { NetworkAddress } from "../config/types.js";
import { GenerationAttempt, GenerationEnd, LoadReport } from "./types.js";

/** Receives the tokens of an attempt in order. */
export interface TokenSink {
    /** Takes the next token. */
    appendToken(text: string): void;
}

/** An order to a model engine. Orders are declarative: each states the whole desired set. */
export interface EngineOrder {
    /** Fencing number of the lease under which the order is given. */
    readonly fencing: number;
    readonly models: readonly string[];
}

/** The interface to model engines. Another engine's shape is another class. */
export interface ModelEndpointClient {
    /** Runs an attempt to its end; tokens go to the sink as they come. Fails with a verdict. */
    runGeneration(
        address: NetworkAddress,
        attempt: GenerationAttempt,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<Result<GenerationEnd, Failure>>;
    /** Asks the engine to stop an attempt. Best effort. */
    cancelGeneration(address: NetworkAddress, attemptId: string): Promise<void>;
    /** Exports the KV cache of an attempt; returns a handle that other engines can import. */
    exportCache(address: NetworkAddress, attemptId: string, timeLimit: number): Promise<Result<string, Failure>>;
    /** Returns the load that the engine reports. */
    fetchLoad(address: NetworkAddress, timeLimit: number): Promise<Result<LoadReport, Failure>>;
    /** Returns the prefixes that the engine cached after a sequence number. Late, with gaps. */
    fetchCacheEvents(address: NetworkAddress, afterSequence: number, timeLimit: number): Promise<Result<CacheEvents, Failure>>;
    /** Sends an order; the time limit must be shorter than what remains of the lease. */
    sendOrder(address: NetworkAddress, order: EngineOrder, timeLimit: number): Promise<Result<void, Failure>>;
    /** Reads back the models that the engine serves or loads. */
    fetchModels(address: NetworkAddress, timeLimit: number): Promise<Result<EngineModels, Failure>>;
}

/** Prefix cache events of an engine. */
export interface CacheEvents {
    readonly sequence: number;
    readonly stored: readonly string[];
    readonly evicted: readonly string[];
}

/** The models of an engine, and the fencing number of the last order it accepted. */
export interface EngineModels {
    readonly fencing: number;
    readonly loaded: readonly string[];
    readonly loading: readonly string[];
}
