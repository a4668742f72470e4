/** How an engine behaves. Times are in milliseconds. */
export interface EngineOptions {
    readonly name: string;
    readonly capacity: number;
    /** Time of one step with an empty batch. */
    readonly stepTime: number;
    /** Share by which a step grows for each request in the batch. */
    readonly stepGrowth: number;
    /** Prompt tokens computed a millisecond. */
    readonly prefillRate: number;
    /** Requests that may wait before the engine refuses. */
    readonly waitingLimit: number;
    readonly checksFencing: boolean;
    readonly models: readonly string[];
    readonly modelLoadTime: number;
    readonly cacheBlocks: number;
    readonly seed: number;
    /** Tokens that an attempt of a request with the killer text emits before the engine crashes; 0 for a crash at its arrival. */
    readonly tokensBeforeCrash: number;
}

/** How a version is bad. */
export interface VersionBehaviour {
    /** Share of the requests that fail with status 500. */
    failShare: number;
    /** Factor on the step time. */
    slowFactor: number;
    /** Share of the answers that end early, with a finish reason all the same. */
    truncateShare: number;
    /** The badness shows after this many requests. */
    afterRequests: number;
    /** The badness shows only above this batch size. */
    aboveBatchSize: number;
    /** The badness shows only for prompts that contain this text. */
    onlyForText: string;
}

/** What the engine itself saw of an attempt. */
export interface EngineAttempt {
    readonly requestId: string;
    readonly attemptId: string;
    readonly model: string;
    readonly startOffset: number;
    readonly startedAt: number;
    emitted: number;
    /** Unix milliseconds of the first token, or undefined before it. */
    firstTokenAt: number | undefined;
    finished: boolean;
    recomputed: number;
}

/** Text that makes an engine die when a prompt holds it. */
export const killerText = "<<crash-engine>>";

/** Default behaviour of a stand-in engine. */
export const defaultEngineOptions: EngineOptions = {
    name: "engine",
    capacity: 16,
    stepTime: 20,
    stepGrowth: 0.03,
    prefillRate: 10,
    waitingLimit: 64,
    checksFencing: true,
    models: ["desk-1", "desk-2"],
    modelLoadTime: 300,
    cacheBlocks: 2_000,
    seed: 1,
    tokensBeforeCrash: 0,
};

/** KV caches that engines exported; shared by the engines of one stand-in deployment. */
export class CacheExchange {
    private readonly exported = new Map<string, { prompt: string; tokens: number; }>();

    private constructor() {}

    static create(): CacheExchange {
        return new CacheExchange();
    }

    putCache(handle: string, prompt: string, tokens: number): void {
        this.exported.set(handle, { prompt, tokens });
    }

    getCache(handle: string): { prompt: string; tokens: number; } | undefined {
        return this.exported.get(handle);
    }
}
