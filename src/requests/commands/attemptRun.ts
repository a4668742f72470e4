import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { createIdentifier } from "../../common/identifiers.js";
import { Err, Result } from "../../common/results.js";
import { Span } from "../../common/tracing.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { Verdict } from "../../common/verdict.js";
import { Priority, ServiceDeclaration } from "../../config/types.js";
import { TokenSink } from "../../endpoints/modelEndpoint.js";
import { GenerationEnd } from "../../endpoints/types.js";
import { ActiveAttempt, EndpointEntry } from "../endpointRegistry.js";
import { RequestRecord } from "../requestRecord.js";
import { probationTokenCount } from "../suspectLocks.js";
import { AttemptOutcome, AttemptRecord } from "../types.js";
import { charactersPerToken, exportTimeLimitMilliseconds, ModelRequestRunnerDependencies } from "./modelRequestDependencies.js";

/** Target for the time between two tokens. */
export const tokenIntervalTargetMilliseconds = 45;
const priorityNumbers: Record<Priority, number> = { [Priority.Lookup]: 0, [Priority.Effect]: 1, [Priority.Draft]: 2 };

/** Runs one attempt of a generation at one endpoint: passes its tokens to the request record and records its outcome. */
export class AttemptRun implements TokenSink, ActiveAttempt {
    readonly requestId: string;
    readonly fingerprint: string;
    readonly record: AttemptRecord;
    private readonly abortController = new AbortController();
    private readonly span: Span;
    private readonly startedAt: number;
    private readonly loadShareAtStart: number;
    private readonly tokenIntervalHistogram: { observe(value: number): void; };
    private exportedCache: Promise<string | undefined> | undefined;
    private emittedCount = 0;
    private firstTokenAt: number | undefined;
    private lastTokenAt: number | undefined;
    private readonly handleCancel = () => this.abortController.abort();

    private constructor(
        private readonly dependencies: ModelRequestRunnerDependencies,
        private readonly request: RequestRecord,
        private readonly service: ServiceDeclaration,
        readonly entry: EndpointEntry,
        version: string,
        private releaseLock: (() => void) | undefined,
    ) {
        this.requestId = request.request.id;
        this.fingerprint = request.request.fingerprint;
        this.tokenIntervalHistogram = dependencies.metrics.betweenTokens.labels({ service: service.name });
        this.loadShareAtStart = dependencies.registry.getLoadShare(entry);
        this.startedAt = dependencies.clock.getMonotonicTime();
        this.span = dependencies.tracing.startChildSpan("endpoint", request.span);
        this.span.setAttributes({ "corianderward.endpoint": entry.name, "corianderward.version": version });
        const offset = request.tokens.length;
        this.record = request.history.addAttempt(createIdentifier(), entry.name, version, dependencies.clock.getWallTime(), offset);
        request.startAttempt(this.record);
        request.cancellation.signal.addEventListener("abort", this.handleCancel, { once: true });
        entry.attempts.add(this);
    }

    static create(
        dependencies: ModelRequestRunnerDependencies,
        request: RequestRecord,
        service: ServiceDeclaration,
        entry: EndpointEntry,
        version: string,
        releaseLock: (() => void) | undefined,
    ): AttemptRun {
        return new AttemptRun(dependencies, request, service, entry, version, releaseLock);
    }

    get holdsSuspectLock(): boolean {
        return this.releaseLock !== undefined;
    }

    async runGeneration(model: string, cacheHandle: string | undefined): Promise<Result<GenerationEnd, Failure>> {
        const { request } = this.request;
        if (this.request.cancellation.signal.aborted) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Caller_closed_the_connection));
        }
        const attempt = {
            requestId: request.id,
            attemptId: this.record.attemptId,
            model,
            prompt: request.prompt,
            maxTokens: request.maxTokens,
            sampling: request.sampling,
            priority: priorityNumbers[this.service.priority],
            emittedTokens: [...this.request.tokens],
            cacheHandle,
            silenceLimit: this.service.silenceLimit,
            connectTimeout: this.dependencies.connectTimeout,
            traceHeaders: this.dependencies.tracing.createHeaders(this.span),
        };
        return this.dependencies.client.runGeneration(this.entry.description.address, attempt, this, this.abortController.signal);
    }

    appendToken(text: string): void {
        const now = this.dependencies.clock.getMonotonicTime();
        if (!this.request.appendToken(this.record.attemptId, text)) {
            this.dependencies.metrics.staleResponses.inc({ service: this.service.name });
            return;
        }
        this.emittedCount += 1;
        if (this.firstTokenAt === undefined) {
            this.recordFirstToken(now);
        }
        else {
            this.tokenIntervalHistogram.observe((now - (this.lastTokenAt as number)) / millisecondsPerSecond);
        }
        this.lastTokenAt = now;
        if (this.emittedCount === probationTokenCount && this.releaseLock !== undefined) {
            this.finishProbation();
        }
    }

    countTokensToRecompute(): number {
        return this.request.tokens.length + this.request.request.prompt.length / charactersPerToken;
    }

    countEmittedTokens(): number {
        return this.emittedCount;
    }

    countRemainingTokens(): number {
        return this.request.request.maxTokens - this.request.tokens.length;
    }

    getTokenInterval(): number {
        return this.getMeanTokenInterval() ?? tokenIntervalTargetMilliseconds;
    }

    /** Prepares the move to another endpoint: exports the KV cache, then aborts the attempt. Later calls have no effect. */
    startMove(): void {
        if (this.exportedCache !== undefined) {
            return;
        }
        this.exportedCache = this.exportCache();
        void this.exportedCache.then(() => this.abortController.abort());
    }

    isMoved(): boolean {
        return this.exportedCache !== undefined && !this.request.cancellation.signal.aborted;
    }

    async getExportedCache(): Promise<string | undefined> {
        return this.exportedCache;
    }

    /** Records the attempt's outcome in the request history, the metrics and the trace. */
    finish(outcome: AttemptOutcome, verdict: Verdict, text: string): void {
        this.request.history.finishAttempt(this.record, outcome, verdict, text, this.dependencies.clock.getWallTime());
        this.dependencies.metrics.attempts.inc({ service: this.service.name, outcome });
        this.dependencies.metrics.tokens.inc({ service: this.service.name }, this.emittedCount);
        if (outcome === AttemptOutcome.Failed) {
            this.dependencies.tracing.recordFailure(this.span, text);
        }
        this.span.end();
    }

    /** Reports the attempt's result and timing to the concurrency limit and the version observer. */
    recordObservation(succeeded: boolean, dependencies: ModelRequestRunnerDependencies): void {
        const meanTokenInterval = this.getMeanTokenInterval();
        if (meanTokenInterval !== undefined) {
            this.entry.limit.recordTokenInterval(meanTokenInterval, tokenIntervalTargetMilliseconds, dependencies.clock.getMonotonicTime());
        }
        dependencies.observer.recordObservation({
            service: this.service.name,
            version: this.record.version,
            team: this.request.request.team,
            route: this.request.request.isChat ? "chat" : "completions",
            endpoint: this.entry.name,
            succeeded,
            isComplete: this.request.tokens.length >= this.request.request.maxTokens,
            firstToken: this.firstTokenAt === undefined ? undefined : this.firstTokenAt - this.startedAt,
            betweenTokens: meanTokenInterval,
            load: this.loadShareAtStart,
        });
    }

    /** Releases the slot and the suspect lock. Must be the last call on an attempt. */
    stop(): void {
        this.request.cancellation.signal.removeEventListener("abort", this.handleCancel);
        this.entry.attempts.delete(this);
        this.releaseLock?.();
        this.releaseLock = undefined;
        this.dependencies.admission.releaseSlot(this.entry);
    }

    private async exportCache(): Promise<string | undefined> {
        const exported = await this.dependencies.client.exportCache(
            this.entry.description.address,
            this.record.attemptId,
            exportTimeLimitMilliseconds,
        );
        return exported.ok ? exported.val : undefined;
    }

    private recordFirstToken(now: number): void {
        this.firstTokenAt = now;
        if (this.request.firstTokenAt !== undefined) {
            return;
        }
        this.request.firstTokenAt = this.dependencies.clock.getWallTime();
        const wait = (this.request.firstTokenAt - this.request.request.arrivedAt) / millisecondsPerSecond;
        this.dependencies.metrics.firstToken.observe({ service: this.service.name }, wait);
    }

    /** Clears the request of the earlier crash and releases the suspect lock. */
    private finishProbation(): void {
        this.dependencies.ledger.removeSuspicion(this.fingerprint);
        this.releaseLock?.();
        this.releaseLock = undefined;
    }

    private getMeanTokenInterval(): number | undefined {
        if (this.firstTokenAt === undefined || this.lastTokenAt === undefined || this.emittedCount < 2) {
            return undefined;
        }
        return (this.lastTokenAt - this.firstTokenAt) / (this.emittedCount - 1);
    }
}
