import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { selectByRendezvous } from "../../common/hashing.js";
import { Err, Ok, Result } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ServiceDeclaration } from "../../config/types.js";
import { EndpointEvidence, EndpointState, GenerationEnd } from "../../endpoints/types.js";
import { EndpointEntry } from "../endpointRegistry.js";
import { createPromptPrefixes, PromptPrefixes } from "../prefixIndex.js";
import { EndpointQuery, listPossibleEndpoints } from "../queries/endpointSelector.js";
import { RequestRecord } from "../requestRecord.js";
import { AttemptOutcome, RequestOutcome } from "../types.js";
import { AttemptRun } from "./attemptRun.js";
import { ProbeResult } from "./endpointProbe.js";
import { charactersPerToken, exportTimeLimitMilliseconds, ModelRequestRunnerParts } from "./modelRequestParts.js";

/** Most attempts at one request, whatever their reasons. */
const attemptLimit = 12;

/** Why an attempt did not finish the request. */
enum ContinueReason {
    Finished,
    /** The endpoint leaves or was lost; the stream goes on elsewhere without charge to the retry budget. */
    Resume,
    /** The attempt failed; another one needs the retry budget. */
    Retry,
    /** Nothing more is to be tried. */
    GiveUp,
}

interface AttemptResult {
    readonly reason: ContinueReason;
    readonly failure?: Failure;
    readonly generation?: GenerationEnd;
    readonly cacheHandle?: string;
}

interface Placement {
    readonly entry: EndpointEntry;
    readonly releaseLane: (() => void) | undefined;
}

/** The course of one request. */
export class RequestRun {
    private readonly prefixes: PromptPrefixes;
    private readonly excluded = new Set<string>();
    private readonly deadlineTimer: NodeJS.Timeout;
    readonly version: string;
    private readonly model: string;
    private readonly group: string;
    private isPastDeadline = false;
    private cacheHandle: string | undefined;
    private isContinuation: boolean;

    private constructor(
        private readonly parts: ModelRequestRunnerParts,
        private readonly record: RequestRecord,
        private readonly service: ServiceDeclaration,
    ) {
        this.prefixes = createPromptPrefixes(record.request.prompt);
        this.version = parts.versions.selectVersion(service, record.request.id);
        const declared = service.versions.find(version => version.name === this.version);
        this.model = declared?.model ?? this.version;
        this.group = declared?.group ?? service.group;
        this.isContinuation = record.tokens.length > 0;
        const remaining = record.request.deadline - parts.clock.getWallTime();
        this.deadlineTimer = setTimeout(() => {
            this.isPastDeadline = true;
            record.cancellation.abort();
        }, Math.max(0, remaining)).unref();
    }

    static create(parts: ModelRequestRunnerParts, record: RequestRecord, service: ServiceDeclaration): RequestRun {
        return new RequestRun(parts, record, service);
    }

    stop(): void {
        clearTimeout(this.deadlineTimer);
    }

    async runAttempts(): Promise<void> {
        const { record, parts } = this;
        let lastText = "";
        for (let count = 0; count < attemptLimit; count += 1) {
            const refusal = this.checkQuarantine();
            if (refusal !== undefined) {
                record.finishWithFailure(refusal);
                return;
            }
            const placement = await this.acquirePlacement();
            if (placement.err) {
                this.finishUnplaced(placement.val);
                return;
            }
            const result = await this.runPlacedAttempt(placement.val);
            if (result.reason === ContinueReason.Finished) {
                this.finishWithGeneration(result.generation as GenerationEnd);
                return;
            }
            if (result.reason === ContinueReason.GiveUp || this.isEnded()) {
                this.finishUnplaced(result.failure);
                return;
            }
            if (result.reason === ContinueReason.Retry && !parts.budget.takeRetry()) {
                record.finishWithFailure(result.failure ?? Failure.create(Verdict.MayHaveRun, Diagnostics.Retry_budget_is_spent));
                return;
            }
            this.cacheHandle = result.cacheHandle;
            this.isContinuation = true;
            lastText = result.failure?.text ?? lastText;
        }
        record.finishWithFailure(
            Failure.create(Verdict.MayHaveRun, Diagnostics.Request_failed_at_0_attempts_last_1, attemptLimit, lastText),
        );
    }

    private isEnded(): boolean {
        return this.record.cancellation.signal.aborted || this.record.getEnd() !== undefined;
    }

    private finishUnplaced(failure: Failure | undefined): void {
        if (this.isPastDeadline) {
            this.record.finishWithFailure(Failure.create(Verdict.NotRun, Diagnostics.Deadline_passed));
            return;
        }
        if (this.record.isHandedOver) {
            this.record.finishWithoutAnswer(RequestOutcome.HandedOver);
            return;
        }
        if (this.record.cancellation.signal.aborted) {
            this.record.finishWithoutAnswer(RequestOutcome.Cancelled);
            return;
        }
        this.record.finishWithFailure(
            failure ?? Failure.create(Verdict.NotRun, Diagnostics.No_endpoint_is_available_for_service_0, this.service.name),
        );
    }

    private finishWithGeneration(generation: GenerationEnd): void {
        this.parts.metrics.tokensRecomputed.inc({ service: this.service.name }, generation.recomputedTokens);
        this.record.finish(generation);
    }

    private checkQuarantine(): Failure | undefined {
        const { ledger, metrics } = this.parts;
        const { fingerprint } = this.record.request;
        if (!ledger.isQuarantined(fingerprint)) {
            return undefined;
        }
        metrics.quarantines.inc({ service: this.service.name });
        return Failure.create(
            Verdict.NotRun,
            Diagnostics.Request_is_quarantined_after_0_endpoint_failures,
            ledger.countDeaths(fingerprint),
        );
    }

    private createQuery(pinned: string | undefined): EndpointQuery {
        const query: EndpointQuery = {
            group: this.group,
            model: this.model,
            priority: this.service.priority,
            weights: this.service.weights,
            prefixes: this.prefixes,
            excluded: this.excluded,
            pinned,
            mustStay: 0,
        };
        if (this.excluded.size > 0 && listPossibleEndpoints(this.parts.registry, query).length === 0) {
            // Every endpoint has failed once; any of them is better than none.
            this.excluded.clear();
        }
        return query;
    }

    private async acquirePlacement(): Promise<Result<Placement, Failure>> {
        const { parts, record } = this;
        if (!parts.ledger.isSuspect(record.request.fingerprint)) {
            const slot = await this.acquireSlot(undefined);
            return slot.map(entry => ({ entry, releaseLane: undefined }));
        }
        return this.acquireSuspectPlacement();
    }

    /** Gives a request under suspicion the one endpoint that every node chooses for it, alone among suspects. */
    private async acquireSuspectPlacement(): Promise<Result<Placement, Failure>> {
        const { parts, record } = this;
        for (;;) {
            const possible = listPossibleEndpoints(parts.registry, this.createQuery(undefined));
            const chosen = selectByRendezvous(record.request.fingerprint, possible, entry => entry.name)[0];
            if (chosen === undefined) {
                const slot = await this.acquireSlot(undefined);
                return slot.map(entry => ({ entry, releaseLane: undefined }));
            }
            const releaseLane = await parts.lanes.acquireLane(chosen.name);
            const refusal = this.checkQuarantine();
            if (refusal !== undefined || this.isEnded()) {
                releaseLane();
                return Err(refusal ?? Failure.create(Verdict.NotRun, Diagnostics.Caller_closed_the_connection));
            }
            if (chosen.state === EndpointState.Leaving || chosen.state === EndpointState.Gone || this.excluded.has(chosen.name)) {
                releaseLane();
                continue;
            }
            const slot = await this.acquireSlot(chosen.name);
            if (slot.err) {
                releaseLane();
                return slot;
            }
            return Ok({ entry: slot.val, releaseLane });
        }
    }

    private async acquireSlot(pinned: string | undefined): Promise<Result<EndpointEntry, Failure>> {
        const { parts, record, service } = this;
        const { request } = record;
        const remaining = request.deadline - parts.clock.getWallTime();
        const now = parts.clock.getMonotonicTime();
        const queueTime = this.isContinuation || request.isAsync ? remaining : Math.min(service.queueTimeLimit, remaining);
        return parts.admission.acquireSlot({
            requestId: request.id,
            service: service.name,
            team: request.team,
            teamShare: parts.configuration.findTeam(request.team)?.share ?? 1,
            query: this.createQuery(pinned),
            queueDeadline: now + queueTime,
            queueLimit: service.queueLimit,
            isContinuation: this.isContinuation,
            expectedWork: request.maxTokens + request.prompt.length / charactersPerToken,
            signal: record.cancellation.signal,
        });
    }

    private async runPlacedAttempt(placement: Placement): Promise<AttemptResult> {
        const { parts, record } = this;
        const { entry } = placement;
        const attempt = AttemptRun.create(parts, record, this.service, entry, this.version, placement.releaseLane);
        const expectedShare = parts.prefixIndex.getCachedShare(this.prefixes, entry.name);
        parts.prefixIndex.addPrompt(this.prefixes, entry.name);
        parts.metrics.running.inc({ service: this.service.name });
        let result: Result<GenerationEnd, Failure>;
        try {
            result = await attempt.runGeneration(this.model, this.cacheHandle);
        }
        finally {
            parts.metrics.running.dec({ service: this.service.name });
        }
        if (result.ok) {
            const cachedShare = result.val.cachedTokens / Math.max(1, result.val.promptTokens);
            parts.prefixIndex.recordCachedShare(entry.name, expectedShare, cachedShare);
        }
        const ended = await this.settleAttempt(attempt, result);
        attempt.stop();
        return ended;
    }

    private async settleAttempt(attempt: AttemptRun, result: Result<GenerationEnd, Failure>): Promise<AttemptResult> {
        const { parts } = this;
        if (result.ok) {
            parts.registry.recordSuccess(attempt.entry);
            attempt.finish(AttemptOutcome.Finished, Verdict.Ran, "");
            attempt.recordObservation(true, parts);
            return { reason: ContinueReason.Finished, generation: result.val };
        }
        if (attempt.isMoved()) {
            attempt.finish(AttemptOutcome.Moved, Verdict.MayHaveRun, "the endpoint is leaving");
            const cacheHandle = await attempt.getExportedCache();
            this.recordResume(cacheHandle);
            this.excluded.add(attempt.entry.name);
            return { reason: ContinueReason.Resume, cacheHandle };
        }
        if (this.isEnded()) {
            attempt.finish(AttemptOutcome.Cancelled, result.val.verdict, result.val.text);
            void parts.client.cancelGeneration(attempt.entry.description.address, attempt.record.attemptId);
            return { reason: ContinueReason.GiveUp, failure: result.val };
        }
        attempt.finish(AttemptOutcome.Failed, result.val.verdict, result.val.text);
        return this.settleFailure(attempt, result.val);
    }

    private async settleFailure(attempt: AttemptRun, failure: Failure): Promise<AttemptResult> {
        const { entry } = attempt;
        const { registry, metrics, logger } = this.parts;
        logger.debug("attempt failed", { request: this.record.request.id, endpoint: entry.name, text: failure.text });
        switch (failure.message.code) {
            case Diagnostics.Endpoint_is_leaving.code:
                registry.markLeaving(entry.name, EndpointEvidence.OwnRefusal, undefined);
                return { reason: ContinueReason.Resume, failure };
            case Diagnostics.Endpoint_refused_the_connection_0.code:
                registry.recordFailure(entry, EndpointEvidence.ConnectionFailure);
                this.excluded.add(entry.name);
                return { reason: ContinueReason.Resume, failure };
            case Diagnostics.Endpoint_refused_before_running_0.code:
                registry.recordRefusal(entry);
                this.excluded.add(entry.name);
                return { reason: ContinueReason.Retry, failure };
            case Diagnostics.Endpoint_failed_with_status_0.code:
                attempt.recordObservation(false, this.parts);
                this.excluded.add(entry.name);
                return { reason: ContinueReason.Retry, failure };
            case Diagnostics.Endpoint_sent_nothing_for_0_milliseconds.code:
                metrics.silences.inc({ hop: "endpoint" });
                return this.settleLostConnection(attempt, failure);
            case Diagnostics.Connection_was_lost_after_the_request_was_sent_0.code:
                return this.settleLostConnection(attempt, failure);
            default:
                this.excluded.add(entry.name);
                return { reason: ContinueReason.Retry, failure };
        }
    }

    private async settleLostConnection(attempt: AttemptRun, failure: Failure): Promise<AttemptResult> {
        const { entry } = attempt;
        const probe = await this.parts.probe.checkEndpoint(entry);
        if (probe !== ProbeResult.Alive) {
            this.excluded.add(entry.name);
            this.recordResume(undefined);
            return { reason: ContinueReason.Resume, failure };
        }
        const exported = await this.parts.client.exportCache(
            entry.description.address,
            attempt.record.attemptId,
            exportTimeLimitMilliseconds,
        );
        const cacheHandle = exported.ok ? exported.val : undefined;
        await this.parts.client.cancelGeneration(entry.description.address, attempt.record.attemptId);
        this.recordResume(cacheHandle);
        return { reason: ContinueReason.Resume, failure, cacheHandle };
    }

    private recordResume(cacheHandle: string | undefined): void {
        const way = this.record.tokens.length === 0 ? "restart" : cacheHandle === undefined ? "prompt" : "cache";
        this.parts.metrics.resumes.inc({ service: this.service.name, way });
    }
}
