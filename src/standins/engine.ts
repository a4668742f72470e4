import { Request, Response } from "express";
import { RandomSource, SeededRandom } from "../common/random.js";
import { CacheExchange, defaultEngineOptions, EngineAttempt, EngineOptions, killerText, VersionBehaviour } from "./engineTypes.js";
import { countTokens, createGenerationSeed, generateToken } from "./generation.js";
import { StandInServer } from "./httpServer.js";

interface RunningAttempt {
    readonly record: EngineAttempt;
    readonly seed: Buffer;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly priority: number;
    readonly response: Response;
    readonly order: number;
    prefillLeft: number;
    next: number;
    endsAt: number;
    isSlow: number;
    cachedTokens: number;
    promptTokens: number;
    closed: boolean;
}

const blockCharacters = 64;
const eventLagMilliseconds = 300;
const eventGapShare = 0.1;
const loadLagMilliseconds = 200;

/** A model engine with continuous batching, a prefix cache, orders and scriptable faults. */
export class StandInEngine {
    readonly attempts: EngineAttempt[] = [];
    readonly acceptedOrders: { fencing: number; models: readonly string[]; at: number; }[] = [];
    readonly behaviours = new Map<string, VersionBehaviour>();
    canExport = true;
    isLeaving = false;
    isDead = false;
    /** Set when a request ended the engine. */
    diedOfRequest = false;
    /** Unix milliseconds at which the last generation arrived, accepted or not; 0 for none. */
    lastArrivalAt = 0;
    refusesNewWork = false;
    tokensRecomputed = 0;
    tokensPrefilled = 0;
    private readonly running: RunningAttempt[] = [];
    private readonly waiting: RunningAttempt[] = [];
    private readonly blocks = new Map<string, number>();
    private readonly cacheEvents: { sequence: number; at: number; stored: string; }[] = [];
    private readonly loadHistory: { at: number; running: number; waiting: number; }[] = [];
    private readonly loaded = new Set<string>();
    private readonly loading = new Set<string>();
    private readonly requestsByModel = new Map<string, number>();
    private sequence = 0;
    private order = 0;
    private fencing = 0;
    private stepTimer: NodeJS.Timeout | undefined;
    private lastStepAt = 0;
    private tokensInSecond = 0;
    private secondStartedAt = 0;
    private tokensPerSecond = 0;

    private constructor(
        private readonly server: StandInServer,
        readonly options: EngineOptions,
        private readonly exchange: CacheExchange,
        private readonly random: RandomSource,
    ) {
        options.models.forEach(model => this.loaded.add(model));
        this.addRoutes();
    }

    static create(options: Partial<EngineOptions> = {}, exchange = CacheExchange.create()): StandInEngine {
        const all = { ...defaultEngineOptions, ...options };
        return new StandInEngine(StandInServer.create(), all, exchange, SeededRandom.create(all.seed));
    }

    async start(host?: string, port?: number): Promise<void> {
        await this.server.start(host, port);
    }

    getAddress(): { host: string; port: number; } {
        return this.server.getAddress();
    }

    getUrl(): string {
        return this.server.getUrl();
    }

    getRunningCount(): number {
        return this.running.length;
    }

    listLoadedModels(): string[] {
        return [...this.loaded];
    }

    /** Dies at once, as a reclaimed or crashed host does. */
    async kill(): Promise<void> {
        if (this.isDead) {
            return;
        }
        this.isDead = true;
        clearTimeout(this.stepTimer);
        this.running.length = 0;
        this.waiting.length = 0;
        await this.server.kill();
    }

    /** Makes the open connections silent for good; the engine goes on. */
    silenceConnections(): void {
        this.server.silenceConnections();
    }

    private addRoutes(): void {
        const app = this.server.app;
        app.post("/v1/completions", (request, response) => this.handleCompletion(request, response));
        app.delete("/v1/attempts/:id", (request, response) => this.handleCancel(request, response));
        app.post("/v1/attempts/:id/export", (request, response) => this.handleExport(request, response));
        app.get("/load", (_request, response) => this.handleLoad(response));
        app.get("/cache-events", (request, response) => this.handleCacheEvents(request, response));
        app.put("/orders/models", (request, response) => this.handleOrder(request, response));
        app.get("/orders/models", (_request, response) => {
            response.json({ fencing: this.fencing, loaded: [...this.loaded], loading: [...this.loading] });
        });
    }

    private handleCompletion(request: Request, response: Response): void {
        const body = request.body as {
            model: string;
            prompt: string;
            max_tokens: number;
            priority?: number;
            attempt_id: string;
            resume_tokens?: string[];
            cache_handle?: string;
        };
        this.lastArrivalAt = Date.now();
        response.set("x-attempt-id", body.attempt_id);
        if (body.prompt.includes(killerText) && this.options.tokensBeforeCrash === 0) {
            this.crashOfRequest();
            return;
        }
        if (this.isLeaving) {
            response.status(503).set("x-endpoint-leaving", "1").set("x-request-not-run", "1").end();
            return;
        }
        const isFull = this.running.length >= this.options.capacity && this.waiting.length >= this.options.waitingLimit;
        if (isFull || this.refusesNewWork || !this.loaded.has(body.model)) {
            response.status(503).set("x-request-not-run", "1").end();
            return;
        }
        const behaviour = this.findBehaviour(body.model, body.prompt);
        if (behaviour !== undefined && this.random.pickFraction() < behaviour.failShare) {
            response.status(500).json({ error: "version failed" });
            return;
        }
        this.addAttempt(String(request.headers["x-request-id"] ?? ""), body, behaviour, response);
    }

    private crashOfRequest(): void {
        this.diedOfRequest = true;
        void this.kill();
    }

    private findBehaviour(model: string, prompt: string): VersionBehaviour | undefined {
        const count = (this.requestsByModel.get(model) ?? 0) + 1;
        this.requestsByModel.set(model, count);
        const behaviour = this.behaviours.get(model);
        if (behaviour === undefined || count <= behaviour.afterRequests || this.running.length < behaviour.aboveBatchSize) {
            return undefined;
        }
        return prompt.includes(behaviour.onlyForText) ? behaviour : undefined;
    }

    private addAttempt(
        requestId: string,
        body: {
            model: string;
            prompt: string;
            max_tokens: number;
            priority?: number;
            attempt_id: string;
            resume_tokens?: string[];
            cache_handle?: string;
        },
        behaviour: VersionBehaviour | undefined,
        response: Response,
    ): void {
        const resumed = body.resume_tokens ?? [];
        const fullText = body.prompt + resumed.join("");
        const promptTokens = countTokens(body.prompt);
        const imported = body.cache_handle === undefined ? undefined : this.exchange.getCache(body.cache_handle);
        const importedTokens = imported?.prompt === body.prompt ? promptTokens + Math.min(imported.tokens, resumed.length) : 0;
        const cachedTokens = Math.max(importedTokens, this.countCachedTokens(fullText, promptTokens + resumed.length));
        const toCompute = Math.max(0, promptTokens + resumed.length - cachedTokens);
        const recomputed = Math.min(resumed.length, toCompute);
        this.tokensRecomputed += recomputed;
        this.tokensPrefilled += toCompute;
        const truncates = behaviour !== undefined && this.random.pickFraction() < behaviour.truncateShare;
        const record: EngineAttempt = {
            requestId,
            attemptId: body.attempt_id,
            model: body.model,
            startOffset: resumed.length,
            startedAt: Date.now(),
            emitted: 0,
            firstTokenAt: undefined,
            finished: false,
            recomputed,
        };
        this.attempts.push(record);
        this.order += 1;
        const attempt: RunningAttempt = {
            record,
            seed: createGenerationSeed(body.prompt),
            prompt: body.prompt,
            maxTokens: body.max_tokens,
            priority: body.priority ?? 0,
            response,
            order: this.order,
            prefillLeft: toCompute / this.options.prefillRate,
            next: resumed.length,
            endsAt: truncates ? Math.max(resumed.length, Math.floor(body.max_tokens / 2)) : body.max_tokens,
            isSlow: behaviour?.slowFactor ?? 1,
            cachedTokens,
            promptTokens,
            closed: false,
        };
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.flushHeaders();
        response.on("error", () => {});
        response.on("close", () => this.removeAttempt(attempt));
        this.waiting.push(attempt);
        this.waiting.sort((left, right) => left.priority - right.priority || left.order - right.order);
        this.startSteps();
    }

    private countCachedTokens(text: string, totalTokens: number): number {
        let cachedCharacters = 0;
        for (let end = blockCharacters; end <= text.length; end += blockCharacters) {
            const block = text.slice(0, end);
            if (!this.blocks.has(block)) {
                break;
            }
            cachedCharacters = end;
        }
        return Math.floor(totalTokens * cachedCharacters / Math.max(1, text.length));
    }

    private storePrefix(prompt: string): void {
        for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
            const block = prompt.slice(0, end);
            if (!this.blocks.has(block)) {
                this.sequence += 1;
                if (this.random.pickFraction() >= eventGapShare) {
                    this.cacheEvents.push({ sequence: this.sequence, at: Date.now(), stored: block });
                }
            }
            this.blocks.delete(block);
            this.blocks.set(block, Date.now());
        }
        while (this.blocks.size > this.options.cacheBlocks) {
            this.blocks.delete(this.blocks.keys().next().value as string);
        }
        this.cacheEvents.splice(0, Math.max(0, this.cacheEvents.length - this.options.cacheBlocks));
    }

    private startSteps(): void {
        if (this.stepTimer === undefined && !this.isDead) {
            this.lastStepAt = performance.now();
            this.stepTimer = setTimeout(() => this.runStep(), this.getStepTime());
        }
    }

    private getStepTime(): number {
        return this.options.stepTime * (1 + this.options.stepGrowth * this.running.length);
    }

    private runStep(): void {
        const now = performance.now();
        const elapsed = now - this.lastStepAt;
        this.lastStepAt = now;
        this.stepTimer = undefined;
        while (this.running.length < this.options.capacity && this.waiting.length > 0) {
            this.running.push(this.waiting.shift() as RunningAttempt);
        }
        for (const attempt of [...this.running]) {
            this.runAttemptStep(attempt, elapsed);
        }
        this.recordLoad();
        if (this.running.length + this.waiting.length > 0) {
            this.startSteps();
        }
    }

    private runAttemptStep(attempt: RunningAttempt, elapsed: number): void {
        if (attempt.prefillLeft > 0) {
            attempt.prefillLeft -= elapsed / attempt.isSlow;
            if (attempt.prefillLeft > 0) {
                return;
            }
            this.storePrefix(attempt.prompt);
        }
        if (attempt.isSlow > 1 && this.random.pickFraction() > 1 / attempt.isSlow) {
            return;
        }
        if (attempt.next < attempt.endsAt) {
            const text = generateToken(attempt.seed, attempt.next);
            attempt.next += 1;
            attempt.record.emitted += 1;
            attempt.record.firstTokenAt ??= Date.now();
            this.countToken();
            attempt.response.write(
                `data: {"id":"${attempt.record.attemptId}","object":"text_completion","choices":[{"index":0,"text":${
                    JSON.stringify(text)
                },"finish_reason":null}]}\n\n`,
            );
            if (attempt.prompt.includes(killerText) && attempt.record.emitted >= this.options.tokensBeforeCrash) {
                this.crashOfRequest();
                return;
            }
        }
        if (attempt.next >= attempt.endsAt) {
            this.finishAttempt(attempt);
        }
    }

    private finishAttempt(attempt: RunningAttempt): void {
        attempt.record.finished = true;
        const usage = {
            prompt_tokens: attempt.promptTokens,
            completion_tokens: attempt.next,
            prompt_tokens_details: { cached_tokens: Math.min(attempt.cachedTokens, attempt.promptTokens) },
            recomputed_tokens: attempt.record.recomputed,
        };
        const chunk = { id: attempt.record.attemptId, choices: [{ index: 0, text: "", finish_reason: "stop" }], usage };
        attempt.response.end(`data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`);
        this.removeAttempt(attempt);
    }

    private removeAttempt(attempt: RunningAttempt): void {
        attempt.closed = true;
        for (const list of [this.running, this.waiting]) {
            const index = list.indexOf(attempt);
            if (index >= 0) {
                list.splice(index, 1);
            }
        }
    }

    private countToken(): void {
        const now = Date.now();
        if (now - this.secondStartedAt >= 1_000) {
            this.tokensPerSecond = this.tokensInSecond;
            this.tokensInSecond = 0;
            this.secondStartedAt = now;
        }
        this.tokensInSecond += 1;
    }

    private recordLoad(): void {
        this.loadHistory.push({ at: Date.now(), running: this.running.length, waiting: this.waiting.length });
        if (this.loadHistory.length > 100) {
            this.loadHistory.shift();
        }
    }

    private handleLoad(response: Response): void {
        const bound = Date.now() - loadLagMilliseconds;
        const lagged = this.loadHistory.filter(entry => entry.at <= bound).at(-1) ?? { running: 0, waiting: 0 };
        response.json({
            running: lagged.running,
            waiting: lagged.waiting,
            tokens_per_second: this.tokensPerSecond,
            capacity: this.options.capacity,
            leaving: this.isLeaving,
            models: [...this.loaded],
        });
    }

    private handleCancel(request: Request, response: Response): void {
        const attempt = this.findAttempt(String(request.params["id"]));
        if (attempt !== undefined) {
            this.removeAttempt(attempt);
            attempt.response.destroy();
        }
        response.json({ cancelled: attempt !== undefined });
    }

    private handleExport(request: Request, response: Response): void {
        const attempt = this.findAttempt(String(request.params["id"]));
        if (attempt === undefined || !this.canExport) {
            response.status(404).json({ error: "no cache to export" });
            return;
        }
        const handle = `kv-${this.options.name}-${attempt.record.attemptId}`;
        this.exchange.putCache(handle, attempt.prompt, attempt.next);
        response.json({ handle });
    }

    private findAttempt(attemptId: string): RunningAttempt | undefined {
        return [...this.running, ...this.waiting].find(attempt => attempt.record.attemptId === attemptId);
    }

    private handleCacheEvents(request: Request, response: Response): void {
        const after = Number(request.query["after"] ?? 0);
        const bound = Date.now() - eventLagMilliseconds;
        const events = this.cacheEvents.filter(event => event.sequence > after && event.at <= bound);
        response.json({ sequence: events.at(-1)?.sequence ?? after, stored: events.map(event => event.stored), evicted: [] });
    }

    private handleOrder(request: Request, response: Response): void {
        const order = request.body as { fencing: number; models: string[]; };
        if (this.options.checksFencing && order.fencing < this.fencing) {
            response.status(409).set("x-request-not-run", "1").json({ error: "old fencing number" });
            return;
        }
        this.fencing = order.fencing;
        this.acceptedOrders.push({ fencing: order.fencing, models: order.models, at: Date.now() });
        for (const model of order.models) {
            this.startLoading(model);
        }
        for (const model of this.loaded) {
            if (!order.models.includes(model)) {
                this.loaded.delete(model);
            }
        }
        response.json({ accepted: true });
    }

    private startLoading(model: string): void {
        if (this.loaded.has(model) || this.loading.has(model)) {
            return;
        }
        this.loading.add(model);
        setTimeout(() => {
            this.loading.delete(model);
            this.loaded.add(model);
        }, this.options.modelLoadTime).unref();
    }
}
