import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { createIdentifier, readIdentifierTime } from "../../common/identifiers.js";
import { Metrics } from "../../common/metrics.js";
import { Err, Ok, Result } from "../../common/results.js";
import { Span, Tracing } from "../../common/tracing.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { raiseVerdict, Verdict } from "../../common/verdict.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { ServiceDeclaration } from "../../config/types.js";
import { PlainEndpointClient } from "../../endpoints/plainEndpoint.js";
import { EndpointEvidence, PlainResponse } from "../../endpoints/types.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { QuarantineLedger } from "../quarantineLedger.js";
import { listPossibleEndpoints } from "../queries/endpointSelector.js";
import { RequestHistory } from "../requestRecord.js";
import { RetryBudget } from "../retryBudget.js";
import { AttemptOutcome, PlainRequest, VersionObserver, VersionPolicy } from "../types.js";
import { AdmissionQueue } from "./admissionQueue.js";
import { ClaimOutcome, ClaimStore, OwnedClaim } from "./claimStore.js";
import { CompetingAttempts } from "./competingAttempts.js";
import { EndpointProbe } from "./endpointProbe.js";
import { createStopFailure } from "./stopFailure.js";

/** Maximum number of attempts of one call. */
const attemptLimit = 6;
/** Number of endpoints to which a call cannot connect, after which a peer is asked: the node's own network paths may be lost. */
const connectFailuresUntilPeer = 2;
/** Time by which a timer may fire before the deadline on the wall clock. */
const deadlineSlackMilliseconds = 2;
/** HTTP statuses after which an idempotent call is retried at another endpoint. */
const retriableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Response of a call, and whether the call ran now or earlier. */
export interface PlainCallResult {
    readonly answer: PlainResponse;
    /** Whether the response is the stored response of an earlier call with the same key. */
    readonly isReplayed: boolean;
}

/** Forwards a call to a peer that can reach what this node cannot. */
export interface CallForwarder {
    /** Returns undefined if no peer accepted the call; the call has not run in that case. */
    forwardCall(request: PlainRequest, history: RequestHistory): Promise<Result<PlainCallResult, Failure> | undefined>;
}

/** Dependencies of the plain call runner. */
export interface PlainCallRunnerDependencies {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly registry: EndpointRegistry;
    readonly admission: AdmissionQueue;
    readonly client: PlainEndpointClient;
    readonly probe: EndpointProbe;
    readonly ledger: QuarantineLedger;
    readonly budget: RetryBudget;
    readonly claims: ClaimStore;
    readonly forwarder: CallForwarder;
    readonly versions: VersionPolicy;
    readonly observer: VersionObserver;
    /** In milliseconds. */
    readonly connectTimeout: number;
    /** Largest response body accepted from an endpoint, in bytes. */
    readonly answerBytes: number;
}

/** What all attempts of a call have in common. */
interface CallContext {
    readonly request: PlainRequest;
    readonly service: ServiceDeclaration;
    readonly version: string;
    readonly history: RequestHistory;
    readonly span: Span;
    /** Names of the endpoints that have been tried. */
    readonly excluded: Set<string>;
}

/** Result of one attempt: a response of any status, or the failure. */
interface CallAttempt {
    readonly response?: PlainResponse;
    readonly failure?: Failure;
}

/** Runs calls to plain services. A call that is not idempotent is claimed first and then dispatched at most once. */
export class PlainCallRunner {
    private readonly controllers = new Set<AbortController>();

    private constructor(private readonly dependencies: PlainCallRunnerDependencies) {}

    static create(dependencies: PlainCallRunnerDependencies): PlainCallRunner {
        return new PlainCallRunner(dependencies);
    }

    /** Runs a call to its end. A call that a peer forwarded is not forwarded again. */
    async runCall(
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
        isForwarded = false,
    ): Promise<Result<PlainCallResult, Failure>> {
        const controller = new AbortController();
        const abort = () => controller.abort();
        if (signal.aborted) {
            abort();
        }
        this.controllers.add(controller);
        signal.addEventListener("abort", abort);
        try {
            const result = await this.runAcceptedCall(request, service, history, span, controller.signal, isForwarded);
            return result.err && controller.signal.aborted && !signal.aborted ? Err(createStopFailure(result.val.verdict)) : result;
        }
        finally {
            this.controllers.delete(controller);
            signal.removeEventListener("abort", abort);
        }
    }

    /** Ends the running calls with a failure because the node stops. */
    endCalls(): void {
        this.controllers.forEach(controller => controller.abort());
    }

    private async runAcceptedCall(
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
        isForwarded: boolean,
    ): Promise<Result<PlainCallResult, Failure>> {
        if (this.dependencies.ledger.isQuarantined(request.fingerprint)) {
            const crashCount = this.dependencies.ledger.countCrashes(request.fingerprint);
            this.dependencies.metrics.quarantines.inc({ service: service.name });
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Request_is_quarantined_after_0_endpoint_failures, crashCount));
        }
        this.dependencies.budget.recordRequest();
        if (service.idempotent) {
            return this.runAttempts(request, service, history, span, signal, isForwarded);
        }
        return this.runClaimedCall(request, service, history, span, signal, isForwarded);
    }

    private async runClaimedCall(
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
        isForwarded: boolean,
    ): Promise<Result<PlainCallResult, Failure>> {
        const refusal = this.checkIdempotencyKey(request, service);
        if (refusal !== undefined) {
            return Err(refusal);
        }
        const claimSpan = this.dependencies.tracing.startChildSpan("claim", span);
        const claimed = await this.dependencies.claims.claimKey({
            service: service.name,
            key: request.idempotencyKey as string,
            team: request.team,
            requestId: request.id,
            attemptId: createIdentifier(),
            bodyHash: request.fingerprint,
            retentionSeconds: service.retentionSeconds,
        });
        claimSpan.setAttribute("corianderward.outcome", claimed.outcome);
        claimSpan.end();
        switch (claimed.outcome) {
            case ClaimOutcome.ResponseStored:
                history.verdict = Verdict.Ran;
                return Ok({ answer: claimed.response as PlainResponse, isReplayed: true });
            case ClaimOutcome.Refused:
                return Err(claimed.failure as Failure);
            case ClaimOutcome.PlatformUnreachable:
                return this.forwardCall(request, history, isForwarded);
            case ClaimOutcome.Claimed:
                return this.runOwnedClaim(claimed.claim as OwnedClaim, request, service, history, span, signal, isForwarded);
        }
    }

    private checkIdempotencyKey(request: PlainRequest, service: ServiceDeclaration): Failure | undefined {
        if (request.idempotencyKey === undefined) {
            return Failure.create(Verdict.NotRun, Diagnostics.Idempotency_Key_is_required_by_service_0, service.name);
        }
        const keyTime = readIdentifierTime(request.idempotencyKey);
        const oldest = this.dependencies.clock.getWallTime() - service.retentionSeconds * millisecondsPerSecond;
        if (keyTime !== undefined && keyTime < oldest) {
            return Failure.create(Verdict.NotRun, Diagnostics.Key_is_older_than_the_retention_of_0_seconds, service.retentionSeconds);
        }
        return undefined;
    }

    private async forwardCall(
        request: PlainRequest,
        history: RequestHistory,
        isForwarded: boolean,
    ): Promise<Result<PlainCallResult, Failure>> {
        const forwarded = isForwarded ? undefined : await this.dependencies.forwarder.forwardCall(request, history);
        if (forwarded !== undefined) {
            return forwarded;
        }
        const failure = Failure.create(Verdict.NotRun, Diagnostics.Platform_is_not_reachable_0, "the call cannot be claimed");
        return Err(failure.setRetryAfter(1));
    }

    private async runOwnedClaim(
        claim: OwnedClaim,
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
        isForwarded: boolean,
    ): Promise<Result<PlainCallResult, Failure>> {
        // A peer would find the claim taken, so none is asked before the claim is released.
        const result = await this.runAttempts(request, service, history, span, signal, true);
        if (result.ok) {
            await this.dependencies.claims.storeResponse(claim, result.val.answer);
            return result;
        }
        if (result.val.verdict !== Verdict.NotRun) {
            return result;
        }
        await this.dependencies.claims.releaseClaim(claim);
        if (isForwarded || !isConnectFailure(result.val)) {
            return result;
        }
        return await this.dependencies.forwarder.forwardCall(request, history) ?? result;
    }

    private async runAttempts(
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
        isForwarded: boolean,
    ): Promise<Result<PlainCallResult, Failure>> {
        const version = this.dependencies.versions.selectVersion(service, request.id);
        const context = { request, service, version, history, span, excluded: new Set<string>() };
        let connectFailures = 0;
        while (history.attempts.length < attemptLimit) {
            const slot = await this.acquireSlot(context, service.queueTimeLimit, signal);
            if (slot.err) {
                return Err(slot.val.setVerdict(raiseVerdict(history.verdict, slot.val.verdict)));
            }
            const attempt = await this.runCompetingAttempts(context, slot.val, signal);
            const isLast = history.attempts.length >= attemptLimit || !this.canRetry(service, attempt, signal);
            if (attempt.response !== undefined && (isLast || !retriableStatuses.has(attempt.response.status))) {
                return Ok({ answer: attempt.response, isReplayed: false });
            }
            connectFailures += attempt.failure !== undefined && isConnectFailure(attempt.failure) ? 1 : 0;
            if (!isForwarded && connectFailures === connectFailuresUntilPeer && history.verdict === Verdict.NotRun) {
                const forwarded = await this.dependencies.forwarder.forwardCall(request, history);
                if (forwarded !== undefined) {
                    return forwarded;
                }
            }
            if (isLast) {
                const failure = attempt.failure as Failure;
                return Err(failure.setVerdict(raiseVerdict(history.verdict, failure.verdict)));
            }
        }
        return Err(Failure.create(history.verdict, Diagnostics.Retry_budget_is_spent));
    }

    /**
     * Runs an attempt. While an idempotent call is silent, another attempt runs beside it if a place is free and the retry budget allows
     * it: a connection that is silent for good cannot be told from an endpoint that stands still for a moment. The first response counts.
     */
    private runCompetingAttempts(context: CallContext, first: EndpointEntry, signal: AbortSignal): Promise<CallAttempt> {
        const competition = CompetingAttempts.create<CallAttempt>(isFinal, signal);
        const startAttempt = (entry: EndpointEntry, isBackup: boolean) => {
            context.excluded.add(entry.name);
            let mayHaveBackup = context.service.idempotent;
            const startBackup = async () => {
                if (!mayHaveBackup) {
                    return;
                }
                mayHaveBackup = false;
                const backup = await this.acquireBackup(context, competition, signal);
                mayHaveBackup = backup === undefined;
                if (backup !== undefined) {
                    startAttempt(backup, true);
                }
            };
            competition.startAttempt(attemptSignal => this.runAttempt(context, entry, isBackup, attemptSignal, () => void startBackup()));
        };
        startAttempt(first, false);
        return competition.getResult();
    }

    /** Returns an endpoint for an attempt beside a silent one, or undefined if no place is free or no retry is left. */
    private async acquireBackup(
        context: CallContext,
        competition: CompetingAttempts<CallAttempt>,
        signal: AbortSignal,
    ): Promise<EndpointEntry | undefined> {
        const { admission, budget, metrics } = this.dependencies;
        if (context.history.attempts.length >= attemptLimit || !budget.takeRetry()) {
            return undefined;
        }
        const slot = await this.acquireSlot(context, 0, signal);
        if (slot.err) {
            budget.releaseRetry();
            return undefined;
        }
        if (competition.isFinished()) {
            budget.releaseRetry();
            admission.releaseSlot(slot.val);
            return undefined;
        }
        metrics.silentConnections.inc({ hop: "endpoint" });
        return slot.val;
    }

    /**
     * Returns whether another attempt is allowed, and takes the retry from the budget. An endpoint that is leaving costs no retry, nor
     * does a connection that was never established, which puts no load on an endpoint.
     */
    private canRetry(service: ServiceDeclaration, attempt: CallAttempt, signal: AbortSignal): boolean {
        if (signal.aborted) {
            return false;
        }
        if (attempt.response !== undefined) {
            return service.idempotent && retriableStatuses.has(attempt.response.status) && this.dependencies.budget.takeRetry();
        }
        const failure = attempt.failure as Failure;
        const isPastDeadline = failure.message.code === Diagnostics.Deadline_passed.code;
        if (isPastDeadline || (failure.verdict !== Verdict.NotRun && !service.idempotent)) {
            return false;
        }
        const isLeaving = failure.message.code === Diagnostics.Endpoint_is_leaving.code;
        return isLeaving || isConnectFailure(failure) || this.dependencies.budget.takeRetry();
    }

    /** Waits for a place at an endpoint, at most for the queue time in milliseconds. */
    private async acquireSlot(context: CallContext, queueTime: number, signal: AbortSignal): Promise<Result<EndpointEntry, Failure>> {
        const { request, service, version, history, excluded } = context;
        const { dependencies } = this;
        const remaining = request.deadline - dependencies.clock.getWallTime();
        const query = {
            group: service.versions.find(candidate => candidate.name === version)?.group ?? service.group,
            model: undefined,
            priority: service.priority,
            weights: service.weights,
            prefixes: undefined,
            excluded,
            pinnedEndpoint: undefined,
            minimumStayMilliseconds: service.idempotent ? 0 : Math.max(1, remaining),
        };
        if (excluded.size > 0 && listPossibleEndpoints(dependencies.registry, query).length === 0) {
            excluded.clear();
        }
        return dependencies.admission.acquireSlot({
            requestId: request.id,
            service: service.name,
            team: request.team,
            teamShare: dependencies.configuration.findTeam(request.team)?.share ?? 1,
            query,
            queueDeadline: dependencies.clock.getMonotonicTime() + Math.min(queueTime, remaining),
            queueLimit: service.queueLimit,
            isContinuation: history.attempts.length > 0,
            expectedWork: 1,
            signal,
        });
    }

    private async runAttempt(
        context: CallContext,
        entry: EndpointEntry,
        isBackup: boolean,
        signal: AbortSignal,
        handleSilence: () => void,
    ): Promise<CallAttempt> {
        const { request, service, version, history, span } = context;
        const { dependencies } = this;
        const startedAt = dependencies.clock.getMonotonicTime();
        const load = dependencies.registry.getLoadShare(entry);
        const record = history.addAttempt(createIdentifier(), entry.name, version, dependencies.clock.getWallTime(), 0);
        const endpointSpan = dependencies.tracing.startChildSpan("endpoint", span);
        endpointSpan.setAttribute("corianderward.endpoint", entry.name);
        // A suspended process may resume long after the deadline, so the deadline is checked directly before the dispatch.
        const remaining = request.deadline - dependencies.clock.getWallTime();
        const result = remaining <= 0
            ? Err(Failure.create(Verdict.NotRun, Diagnostics.Deadline_passed))
            : await dependencies.client.sendCall(
                entry.description.address,
                {
                    requestId: request.id,
                    attemptId: record.attemptId,
                    version,
                    method: request.method,
                    path: request.path,
                    contentType: request.contentType,
                    idempotencyKey: request.idempotencyKey,
                    body: request.body,
                    timeLimit: remaining,
                    silenceLimit: service.silenceLimit,
                    connectTimeout: dependencies.connectTimeout,
                    answerBytes: dependencies.answerBytes,
                    mayReuseConnection: service.idempotent && !isBackup,
                    traceHeaders: dependencies.tracing.createHeaders(endpointSpan),
                },
                signal,
                handleSilence,
            );
        const verdict = result.ok ? Verdict.Ran : result.val.verdict;
        const failedOutcome = signal.aborted ? AttemptOutcome.Cancelled : AttemptOutcome.Failed;
        const outcome = result.ok ? AttemptOutcome.Finished : failedOutcome;
        history.finishAttempt(record, outcome, verdict, result.ok ? "" : result.val.text, dependencies.clock.getWallTime());
        dependencies.metrics.attempts.inc({ service: service.name, outcome });
        if (result.err) {
            dependencies.tracing.recordFailure(endpointSpan, result.val.text);
        }
        endpointSpan.end();
        dependencies.admission.releaseSlot(entry);
        if (result.err) {
            await this.handleFailure(entry, result.val, signal);
            const isPastDeadline = request.deadline - dependencies.clock.getWallTime() <= deadlineSlackMilliseconds;
            return { failure: isPastDeadline ? Failure.create(verdict, Diagnostics.Deadline_passed) : result.val };
        }
        dependencies.registry.recordSuccess(entry);
        dependencies.observer.recordObservation({
            service: service.name,
            version,
            team: request.team,
            route: request.path.split(/[/?]/)[0] ?? "",
            endpoint: entry.name,
            succeeded: result.val.status < 500,
            isComplete: true,
            firstToken: dependencies.clock.getMonotonicTime() - startedAt,
            betweenTokens: undefined,
            load,
        });
        return { response: result.val };
    }

    private async handleFailure(entry: EndpointEntry, failure: Failure, signal: AbortSignal): Promise<void> {
        const { registry, probe } = this.dependencies;
        switch (failure.message.code) {
            case Diagnostics.Endpoint_is_leaving.code:
                registry.markLeaving(entry.name, EndpointEvidence.LocalRefusal, undefined);
                return;
            case Diagnostics.Endpoint_refused_the_connection_0.code:
                if (!signal.aborted) {
                    registry.recordFailure(entry, EndpointEvidence.ConnectionFailure);
                }
                return;
            case Diagnostics.Endpoint_refused_before_running_0.code:
                registry.recordRefusal(entry);
                return;
            case Diagnostics.Connection_was_lost_after_the_request_was_sent_0.code:
                if (!signal.aborted) {
                    await probe.checkEndpoint(entry);
                }
                return;
        }
    }
}

/** Returns whether an attempt decides its call: it has a response after which the call is not retried. */
function isFinal(attempt: CallAttempt): boolean {
    return attempt.response !== undefined && !retriableStatuses.has(attempt.response.status);
}

/** Returns whether no connection to the endpoint was established. */
function isConnectFailure(failure: Failure): boolean {
    return failure.message.code === Diagnostics.Endpoint_refused_the_connection_0.code;
}
