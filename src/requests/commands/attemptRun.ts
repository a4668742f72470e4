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
import { AttemptOutcome, AttemptRecord } from "../types.js";
import { charactersPerToken, exportTimeLimitMilliseconds, ModelRequestRunnerParts } from "./modelRequestParts.js";

/** Tokens that a request under suspicion must emit past the point of the death to be cleared. */
const probationTokens = 8;
/** Target of the time between two tokens, in milliseconds. */
export const tokenGapTargetMilliseconds = 45;
const priorityNumbers: Record<Priority, number> = { [Priority.Lookup]: 0, [Priority.Effect]: 1, [Priority.Draft]: 2 };

/** One attempt at one endpoint. */
export class AttemptRun implements TokenSink, ActiveAttempt {
    readonly requestId: string;
    readonly fingerprint: string;
    readonly record: AttemptRecord;
    private readonly abort = new AbortController();
    private readonly span: Span;
    private readonly startedAt: number;
    private readonly startLoad: number;
    private readonly betweenTokens: { observe(value: number): void; };
    private exportedCache: Promise<string | undefined> | undefined;
    private emitted = 0;
    private firstTokenAt: number | undefined;
    private lastTokenAt: number | undefined;
    private readonly handleCancel = () => this.abort.abort();

    private constructor(
        private readonly parts: ModelRequestRunnerParts,
        private readonly request: RequestRecord,
        private readonly service: ServiceDeclaration,
        readonly entry: EndpointEntry,
        version: string,
        private releaseLane: (() => void) | undefined,
    ) {
        this.requestId = request.request.id;
        this.fingerprint = request.request.fingerprint;
        this.betweenTokens = parts.metrics.betweenTokens.labels({ service: service.name });
        this.startLoad = parts.registry.getLoadShare(entry);
        this.startedAt = parts.clock.getMonotonicTime();
        this.span = parts.tracing.startChildSpan("endpoint", request.span);
        this.span.setAttributes({ "corianderward.endpoint": entry.name, "corianderward.version": version });
        const offset = request.tokens.length;
        this.record = request.history.addAttempt(createIdentifier(), entry.name, version, parts.clock.getWallTime(), offset);
        request.startAttempt(this.record);
        request.cancellation.signal.addEventListener("abort", this.handleCancel, { once: true });
        entry.attempts.add(this);
    }

    static create(
        parts: ModelRequestRunnerParts,
        request: RequestRecord,
        service: ServiceDeclaration,
        entry: EndpointEntry,
        version: string,
        releaseLane: (() => void) | undefined,
    ): AttemptRun {
        return new AttemptRun(parts, request, service, entry, version, releaseLane);
    }

    get holdsSuspectLane(): boolean {
        return this.releaseLane !== undefined;
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
            connectTimeout: this.parts.connectTimeout,
            traceHeaders: this.parts.tracing.createHeaders(this.span),
        };
        return this.parts.client.runGeneration(this.entry.description.address, attempt, this, this.abort.signal);
    }

    appendToken(text: string): void {
        const now = this.parts.clock.getMonotonicTime();
        if (!this.request.appendToken(this.record.attemptId, text)) {
            this.parts.metrics.lateAnswers.inc({ service: this.service.name });
            return;
        }
        this.emitted += 1;
        if (this.firstTokenAt === undefined) {
            this.recordFirstToken(now);
        }
        else {
            this.betweenTokens.observe((now - (this.lastTokenAt as number)) / millisecondsPerSecond);
        }
        this.lastTokenAt = now;
        if (this.emitted === probationTokens && this.releaseLane !== undefined) {
            this.finishProbation();
        }
    }

    countTokens(): number {
        return this.request.tokens.length + this.request.request.prompt.length / charactersPerToken;
    }

    countEmitted(): number {
        return this.emitted;
    }

    countRemainingTokens(): number {
        return this.request.request.maxTokens - this.request.tokens.length;
    }

    getTokenTime(): number {
        return this.getMeanGap() ?? tokenGapTargetMilliseconds;
    }

    startMove(): void {
        if (this.exportedCache !== undefined) {
            return;
        }
        this.exportedCache = this.exportCache();
        void this.exportedCache.then(() => this.abort.abort());
    }

    isMoved(): boolean {
        return this.exportedCache !== undefined && !this.request.cancellation.signal.aborted;
    }

    async getExportedCache(): Promise<string | undefined> {
        return this.exportedCache;
    }

    /** Records how the attempt ended. */
    finish(outcome: AttemptOutcome, verdict: Verdict, text: string): void {
        this.request.history.finishAttempt(this.record, outcome, verdict, text, this.parts.clock.getWallTime());
        this.parts.metrics.attempts.inc({ service: this.service.name, outcome });
        this.parts.metrics.tokens.inc({ service: this.service.name }, this.emitted);
        if (outcome === AttemptOutcome.Failed) {
            this.parts.tracing.recordFailure(this.span, text);
        }
        this.span.end();
    }

    /** Tells the judge of versions what the attempt showed. */
    recordObservation(succeeded: boolean, parts: ModelRequestRunnerParts): void {
        const gap = this.getMeanGap();
        if (gap !== undefined) {
            this.entry.limit.recordGap(gap, tokenGapTargetMilliseconds, parts.clock.getMonotonicTime());
        }
        parts.observer.recordObservation({
            service: this.service.name,
            version: this.record.version,
            team: this.request.request.team,
            route: this.request.request.isChat ? "chat" : "completions",
            endpoint: this.entry.name,
            succeeded,
            isComplete: this.request.tokens.length >= this.request.request.maxTokens,
            firstToken: this.firstTokenAt === undefined ? undefined : this.firstTokenAt - this.startedAt,
            betweenTokens: gap,
            load: this.startLoad,
        });
    }

    /** Gives back the slot and the lane; the last step of an attempt. */
    stop(): void {
        this.request.cancellation.signal.removeEventListener("abort", this.handleCancel);
        this.entry.attempts.delete(this);
        this.releaseLane?.();
        this.releaseLane = undefined;
        this.parts.admission.releaseSlot(this.entry);
    }

    private async exportCache(): Promise<string | undefined> {
        const exported = await this.parts.client.exportCache(
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
        this.request.firstTokenAt = this.parts.clock.getWallTime();
        const wait = (this.request.firstTokenAt - this.request.request.arrivedAt) / millisecondsPerSecond;
        this.parts.metrics.firstToken.observe({ service: this.service.name }, wait);
    }

    private finishProbation(): void {
        this.parts.ledger.removeSuspicion(this.fingerprint);
        this.releaseLane?.();
        this.releaseLane = undefined;
    }

    private getMeanGap(): number | undefined {
        if (this.firstTokenAt === undefined || this.lastTokenAt === undefined || this.emitted < 2) {
            return undefined;
        }
        return (this.lastTokenAt - this.firstTokenAt) / (this.emitted - 1);
    }
}
