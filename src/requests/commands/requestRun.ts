import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { listByRendezvousRank } from "../../common/hashing.js";
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
import { charactersPerToken, exportTimeLimitMilliseconds, ModelRequestRunnerDependencies } from "./modelRequestDependencies.js";
import { createStopFailure } from "./stopFailure.js";

/** Maximum number of attempts of one request, including those that cost no retry. */
const attemptLimit = 12;

/** How a request continues after an attempt. */
enum ContinueReason {
    Finished,
    /** The endpoint is leaving or was lost: continue at another endpoint, without a charge to the retry budget. */
    Resume,
    /** The attempt failed: another attempt takes a retry from the retry budget. */
    Retry,
    /** The request was cancelled or has ended: start no further attempt. */
    GiveUp,
}

/** Result of one attempt, with the handle of the exported KV cache that the next attempt may import. */
interface AttemptResult {
    readonly reason: ContinueReason;
    readonly failure?: Failure;
    readonly generation?: GenerationEnd;
    readonly cacheHandle?: string;
}

/** The endpoint slot of the next attempt and, for a suspect request, the release of the endpoint's suspect lock. */
interface Placement {
    readonly entry: EndpointEntry;
    readonly releaseLock: (() => void) | undefined;
}

/** Runs one generation: chooses endpoints, runs attempts and ends the request record. */
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
        private readonly dependencies: ModelRequestRunnerDependencies,
        private readonly record: RequestRecord,
        private readonly service: ServiceDeclaration,
    ) {
        this.prefixes = createPromptPrefixes(record.request.prompt);
        this.version = dependencies.versions.selectVersion(service, record.request.id);
        const declared = service.versions.find(version => version.name === this.version);
        this.model = declared?.model ?? this.version;
        this.group = declared?.group ?? service.group;
        this.isContinuation = record.tokens.length > 0;
        const remaining = record.request.deadline - dependencies.clock.getWallTime();
        this.deadlineTimer = setTimeout(() => {
            this.isPastDeadline = true;
            record.cancellation.abort();
        }, Math.max(0, remaining)).unref();
    }

    static create(dependencies: ModelRequestRunnerDependencies, record: RequestRecord, service: ServiceDeclaration): RequestRun {
        return new RequestRun(dependencies, record, service);
    }

    stop(): void {
        clearTimeout(this.deadlineTimer);
    }

    async runAttempts(): Promise<void> {
        const { record, dependencies } = this;
        let lastFailureText = "";
        for (let count = 0; count < attemptLimit; count += 1) {
            const refusal = this.checkQuarantine();
            if (refusal !== undefined) {
                record.finishWithFailure(refusal);
                return;
            }
            const placement = await this.acquirePlacement();
            if (placement.err) {
                this.finishWithoutGeneration(placement.val);
                return;
            }
            const result = await this.runPlacedAttempt(placement.val);
            if (result.reason === ContinueReason.Finished) {
                this.finishWithGeneration(result.generation as GenerationEnd);
                return;
            }
            if (result.reason === ContinueReason.GiveUp || this.isEnded()) {
                this.finishWithoutGeneration(result.failure);
                return;
            }
            if (result.reason === ContinueReason.Retry && !dependencies.budget.takeRetry()) {
                record.finishWithFailure(result.failure ?? Failure.create(Verdict.MayHaveRun, Diagnostics.Retry_budget_is_spent));
                return;
            }
            this.cacheHandle = result.cacheHandle;
            this.isContinuation = true;
            lastFailureText = result.failure?.text ?? lastFailureText;
        }
        record.finishWithFailure(
            Failure.create(Verdict.MayHaveRun, Diagnostics.Request_failed_at_0_attempts_last_1, attemptLimit, lastFailureText),
        );
    }

    private isEnded(): boolean {
        return this.record.cancellation.signal.aborted || this.record.getEnd() !== undefined;
    }

    /** Ends the request after its deadline, a handover, the stop of the node, a cancellation or a failure, in this order of precedence. */
    private finishWithoutGeneration(failure: Failure | undefined): void {
        if (this.isPastDeadline) {
            this.record.finishWithFailure(Failure.create(Verdict.NotRun, Diagnostics.Deadline_passed));
            return;
        }
        if (this.record.isHandedOver) {
            this.record.finishWithoutResponse(RequestOutcome.HandedOver);
            return;
        }
        if (this.record.isEndedByStop) {
            this.record.finishWithFailure(createStopFailure(this.record.history.verdict));
            return;
        }
        if (this.record.cancellation.signal.aborted) {
            this.record.finishWithoutResponse(RequestOutcome.Cancelled);
            return;
        }
        this.record.finishWithFailure(
            failure ?? Failure.create(Verdict.NotRun, Diagnostics.No_endpoint_is_available_for_service_0, this.service.name),
        );
    }

    private finishWithGeneration(generation: GenerationEnd): void {
        this.dependencies.metrics.tokensRecomputed.inc({ service: this.service.name }, generation.recomputedTokens);
        this.record.finish(generation);
    }

    private checkQuarantine(): Failure | undefined {
        const { ledger, metrics } = this.dependencies;
        const { fingerprint } = this.record.request;
        if (!ledger.isQuarantined(fingerprint)) {
            return undefined;
        }
        metrics.quarantines.inc({ service: this.service.name });
        return Failure.create(
            Verdict.NotRun,
            Diagnostics.Request_is_quarantined_after_0_endpoint_failures,
            ledger.countCrashes(fingerprint),
        );
    }

    private createQuery(pinnedEndpoint: string | undefined): EndpointQuery {
        const query: EndpointQuery = {
            group: this.group,
            model: this.model,
            priority: this.service.priority,
            weights: this.service.weights,
            prefixes: this.prefixes,
            excluded: this.excluded,
            pinnedEndpoint,
            minimumStayMilliseconds: 0,
        };
        if (this.excluded.size > 0 && listPossibleEndpoints(this.dependencies.registry, query).length === 0) {
            // Every endpoint is excluded after a failure; allow all of them again rather than fail the request.
            this.excluded.clear();
        }
        return query;
    }

    /** Acquires the slot of the next attempt, and the suspect lock if an endpoint crashed while it ran the same request. */
    private async acquirePlacement(): Promise<Result<Placement, Failure>> {
        const { dependencies, record } = this;
        if (!dependencies.ledger.isSuspect(record.request.fingerprint)) {
            const slot = await this.acquireSlot(undefined);
            return slot.map(entry => ({ entry, releaseLock: undefined }));
        }
        return this.acquireSuspectPlacement();
    }

    /** Acquires the endpoint that rendezvous hashing gives a suspect request on every node, and that endpoint's suspect lock. */
    private async acquireSuspectPlacement(): Promise<Result<Placement, Failure>> {
        const { dependencies, record } = this;
        for (;;) {
            const possible = listPossibleEndpoints(dependencies.registry, this.createQuery(undefined));
            const chosen = listByRendezvousRank(record.request.fingerprint, possible, entry => entry.name)[0];
            if (chosen === undefined) {
                const slot = await this.acquireSlot(undefined);
                return slot.map(entry => ({ entry, releaseLock: undefined }));
            }
            const releaseLock = await dependencies.suspectLocks.acquireLock(chosen.name);
            const refusal = this.checkQuarantine();
            if (refusal !== undefined || this.isEnded()) {
                releaseLock();
                return Err(refusal ?? Failure.create(Verdict.NotRun, Diagnostics.Caller_closed_the_connection));
            }
            if (chosen.state === EndpointState.Leaving || chosen.state === EndpointState.Removed || this.excluded.has(chosen.name)) {
                releaseLock();
                continue;
            }
            const slot = await this.acquireSlot(chosen.name);
            if (slot.err) {
                releaseLock();
                return slot;
            }
            return Ok({ entry: slot.val, releaseLock });
        }
    }

    /** Waits for an endpoint slot. Continuations and asynchronous requests may wait until the deadline, others up to the service's limit. */
    private async acquireSlot(pinnedEndpoint: string | undefined): Promise<Result<EndpointEntry, Failure>> {
        const { dependencies, record, service } = this;
        const { request } = record;
        const timeToDeadline = request.deadline - dependencies.clock.getWallTime();
        const now = dependencies.clock.getMonotonicTime();
        const queueTime = this.isContinuation || request.isAsync ? timeToDeadline : Math.min(service.queueTimeLimit, timeToDeadline);
        return dependencies.admission.acquireSlot({
            requestId: request.id,
            service: service.name,
            team: request.team,
            teamShare: dependencies.configuration.findTeam(request.team)?.share ?? 1,
            query: this.createQuery(pinnedEndpoint),
            queueDeadline: now + queueTime,
            queueLimit: service.queueLimit,
            isContinuation: this.isContinuation,
            expectedWork: request.maxTokens + request.prompt.length / charactersPerToken,
            signal: record.cancellation.signal,
        });
    }

    private async runPlacedAttempt(placement: Placement): Promise<AttemptResult> {
        const { dependencies, record } = this;
        const { entry } = placement;
        const attempt = AttemptRun.create(dependencies, record, this.service, entry, this.version, placement.releaseLock);
        const expectedCachedShare = dependencies.prefixIndex.getCachedShare(this.prefixes, entry.name);
        dependencies.prefixIndex.addPrompt(this.prefixes, entry.name);
        dependencies.metrics.running.inc({ service: this.service.name });
        let result: Result<GenerationEnd, Failure>;
        try {
            result = await attempt.runGeneration(this.model, this.cacheHandle);
        }
        finally {
            dependencies.metrics.running.dec({ service: this.service.name });
        }
        if (result.ok) {
            const cachedShare = result.val.cachedTokens / Math.max(1, result.val.promptTokens);
            dependencies.prefixIndex.recordCachedShare(entry.name, expectedCachedShare, cachedShare);
        }
        const ended = await this.finishAttempt(attempt, result);
        attempt.stop();
        return ended;
    }

    private async finishAttempt(attempt: AttemptRun, result: Result<GenerationEnd, Failure>): Promise<AttemptResult> {
        const { dependencies } = this;
        if (result.ok) {
            dependencies.registry.recordSuccess(attempt.entry);
            attempt.finish(AttemptOutcome.Finished, Verdict.Ran, "");
            attempt.recordObservation(true, dependencies);
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
            void dependencies.client.cancelGeneration(attempt.entry.description.address, attempt.record.attemptId);
            return { reason: ContinueReason.GiveUp, failure: result.val };
        }
        attempt.finish(AttemptOutcome.Failed, result.val.verdict, result.val.text);
        return this.handleFailure(attempt, result.val);
    }

    private async handleFailure(attempt: AttemptRun, failure: Failure): Promise<AttemptResult> {
        const { entry } = attempt;
        const { registry, metrics, logger } = this.dependencies;
        logger.debug("attempt failed", { request: this.record.request.id, endpoint: entry.name, text: failure.text });
        switch (failure.message.code) {
            case Diagnostics.Endpoint_is_leaving.code:
                registry.markLeaving(entry.name, EndpointEvidence.LocalRefusal, undefined);
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
                attempt.recordObservation(false, this.dependencies);
                this.excluded.add(entry.name);
                return { reason: ContinueReason.Retry, failure };
            case Diagnostics.Endpoint_sent_nothing_for_0_milliseconds.code:
                metrics.silentConnections.inc({ hop: "endpoint" });
                return this.handleLostConnection(attempt, failure);
            case Diagnostics.Connection_was_lost_after_the_request_was_sent_0.code:
                return this.handleLostConnection(attempt, failure);
            default:
                this.excluded.add(entry.name);
                return { reason: ContinueReason.Retry, failure };
        }
    }

    /** Probes the endpoint after a lost connection; if it is still reachable, exports the cache for the next attempt. */
    private async handleLostConnection(attempt: AttemptRun, failure: Failure): Promise<AttemptResult> {
        const { entry } = attempt;
        const probe = await this.dependencies.probe.checkEndpoint(entry);
        if (probe !== ProbeResult.Reachable) {
            this.excluded.add(entry.name);
            this.recordResume(undefined);
            return { reason: ContinueReason.Resume, failure };
        }
        const exported = await this.dependencies.client.exportCache(
            entry.description.address,
            attempt.record.attemptId,
            exportTimeLimitMilliseconds,
        );
        const cacheHandle = exported.ok ? exported.val : undefined;
        await this.dependencies.client.cancelGeneration(entry.description.address, attempt.record.attemptId);
        this.recordResume(cacheHandle);
        return { reason: ContinueReason.Resume, failure, cacheHandle };
    }

    private recordResume(cacheHandle: string | undefined): void {
        const way = this.record.tokens.length === 0 ? "restart" : cacheHandle === undefined ? "prompt" : "cache";
        this.dependencies.metrics.resumes.inc({ service: this.service.name, way });
    }
}
