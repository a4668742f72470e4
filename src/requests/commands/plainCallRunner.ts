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
import { EndpointEvidence, PlainAnswer } from "../../endpoints/types.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { QuarantineLedger } from "../quarantineLedger.js";
import { listPossibleEndpoints } from "../queries/endpointSelector.js";
import { RequestHistory } from "../requestRecord.js";
import { RetryBudget } from "../retryBudget.js";
import { AttemptOutcome, PlainRequest, VersionObserver, VersionPolicy } from "../types.js";
import { AdmissionQueue } from "./admissionQueue.js";
import { ClaimOutcome, ClaimStore, HeldClaim } from "./claimStore.js";
import { EndpointProbe } from "./endpointProbe.js";

/** Most attempts at one call. */
const attemptLimit = 6;
/** Statuses by which a service says that it could not serve; an idempotent call is tried elsewhere. */
const retriableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** The answer of a call, and where it came from. */
export interface PlainCallResult {
    readonly answer: PlainAnswer;
    /** Whether the answer is that of an earlier call with the same key. */
    readonly isReplayed: boolean;
}

/** Hands a call to a node that reaches the platform. */
export interface CallForwarder {
    /** Returns undefined when no peer could take the call; the call was then not run. */
    forwardCall(request: PlainRequest, history: RequestHistory): Promise<Result<PlainCallResult, Failure> | undefined>;
}

/** The parts of a node that running a call needs. */
export interface PlainCallRunnerParts {
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
    readonly connectTimeout: number;
    readonly answerBytes: number;
}

interface CallAttempt {
    readonly answer?: PlainAnswer;
    readonly failure?: Failure;
}

/** Runs calls to plain services. Calls that may not be repeated are claimed first and dispatched at most once. */
export class PlainCallRunner {
    private constructor(private readonly parts: PlainCallRunnerParts) {}

    static create(parts: PlainCallRunnerParts): PlainCallRunner {
        return new PlainCallRunner(parts);
    }

    /** Runs a call to its end. A forwarded call is not forwarded again. */
    async runCall(
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
        isForwarded = false,
    ): Promise<Result<PlainCallResult, Failure>> {
        if (this.parts.ledger.isQuarantined(request.fingerprint)) {
            const deaths = this.parts.ledger.countDeaths(request.fingerprint);
            this.parts.metrics.quarantines.inc({ service: service.name });
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Request_is_quarantined_after_0_endpoint_failures, deaths));
        }
        this.parts.budget.recordRequest();
        if (service.idempotent) {
            const answer = await this.runAttempts(request, service, history, span, signal);
            return answer.map(val => ({ answer: val, isReplayed: false }));
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
        const refusal = this.checkKey(request, service);
        if (refusal !== undefined) {
            return Err(refusal);
        }
        const claimSpan = this.parts.tracing.startChildSpan("claim", span);
        const claimed = await this.parts.claims.claimKey({
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
            case ClaimOutcome.AnswerStored:
                history.verdict = Verdict.Ran;
                return Ok({ answer: claimed.answer as PlainAnswer, isReplayed: true });
            case ClaimOutcome.Refused:
                return Err(claimed.failure as Failure);
            case ClaimOutcome.PlatformUnreachable:
                return this.forwardCall(request, history, isForwarded);
            case ClaimOutcome.Claimed:
                return this.runHeldClaim(claimed.claim as HeldClaim, request, service, history, span, signal);
        }
    }

    private checkKey(request: PlainRequest, service: ServiceDeclaration): Failure | undefined {
        if (request.idempotencyKey === undefined) {
            return Failure.create(Verdict.NotRun, Diagnostics.Idempotency_Key_is_required_by_service_0, service.name);
        }
        const keyTime = readIdentifierTime(request.idempotencyKey);
        const oldest = this.parts.clock.getWallTime() - service.retentionSeconds * millisecondsPerSecond;
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
        const forwarded = isForwarded ? undefined : await this.parts.forwarder.forwardCall(request, history);
        if (forwarded !== undefined) {
            return forwarded;
        }
        const failure = Failure.create(Verdict.NotRun, Diagnostics.Platform_is_not_reachable_0, "the call cannot be claimed");
        return Err(failure.setRetryAfter(1));
    }

    private async runHeldClaim(
        claim: HeldClaim,
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
    ): Promise<Result<PlainCallResult, Failure>> {
        const result = await this.runAttempts(request, service, history, span, signal);
        if (result.ok) {
            await this.parts.claims.storeAnswer(claim, result.val);
            return Ok({ answer: result.val, isReplayed: false });
        }
        if (result.val.verdict === Verdict.NotRun) {
            await this.parts.claims.releaseClaim(claim);
        }
        return result;
    }

    private async runAttempts(
        request: PlainRequest,
        service: ServiceDeclaration,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
    ): Promise<Result<PlainAnswer, Failure>> {
        const excluded = new Set<string>();
        const version = this.parts.versions.selectVersion(service, request.id);
        for (let count = 0; count < attemptLimit; count += 1) {
            const slot = await this.acquireSlot(request, service, version, excluded, count > 0, signal);
            if (slot.err) {
                return Err(slot.val.setVerdict(raiseVerdict(history.verdict, slot.val.verdict)));
            }
            const attempt = await this.runAttempt(request, service, slot.val, version, history, span, signal);
            const isLast = count === attemptLimit - 1 || !this.mayRetry(service, attempt, signal);
            if (attempt.answer !== undefined && (isLast || !retriableStatuses.has(attempt.answer.status))) {
                return Ok(attempt.answer);
            }
            if (isLast) {
                const failure = attempt.failure as Failure;
                return Err(failure.setVerdict(raiseVerdict(history.verdict, failure.verdict)));
            }
            excluded.add(slot.val.name);
        }
        return Err(Failure.create(history.verdict, Diagnostics.Retry_budget_is_spent));
    }

    /** Says whether another attempt is allowed: the call was not run, or may be repeated, and the budget has a retry left. */
    private mayRetry(service: ServiceDeclaration, attempt: CallAttempt, signal: AbortSignal): boolean {
        if (signal.aborted) {
            return false;
        }
        if (attempt.answer !== undefined) {
            return service.idempotent && retriableStatuses.has(attempt.answer.status) && this.parts.budget.takeRetry();
        }
        const failure = attempt.failure as Failure;
        if (failure.verdict !== Verdict.NotRun && !service.idempotent) {
            return false;
        }
        const isLeaving = failure.message.code === Diagnostics.Endpoint_is_leaving.code;
        return isLeaving || this.parts.budget.takeRetry();
    }

    private async acquireSlot(
        request: PlainRequest,
        service: ServiceDeclaration,
        version: string,
        excluded: Set<string>,
        isContinuation: boolean,
        signal: AbortSignal,
    ): Promise<Result<EndpointEntry, Failure>> {
        const { parts } = this;
        const remaining = request.deadline - parts.clock.getWallTime();
        const query = {
            group: service.versions.find(candidate => candidate.name === version)?.group ?? service.group,
            model: undefined,
            priority: service.priority,
            weights: service.weights,
            prefixes: undefined,
            excluded,
            pinned: undefined,
            mustStay: service.idempotent ? 0 : Math.max(1, remaining),
        };
        if (excluded.size > 0 && listPossibleEndpoints(parts.registry, query).length === 0) {
            excluded.clear();
        }
        return parts.admission.acquireSlot({
            requestId: request.id,
            service: service.name,
            team: request.team,
            teamShare: parts.configuration.findTeam(request.team)?.share ?? 1,
            query,
            queueDeadline: parts.clock.getMonotonicTime() + Math.min(service.queueTimeLimit, remaining),
            queueLimit: service.queueLimit,
            isContinuation,
            expectedWork: 1,
            signal,
        });
    }

    private async runAttempt(
        request: PlainRequest,
        service: ServiceDeclaration,
        entry: EndpointEntry,
        version: string,
        history: RequestHistory,
        span: Span,
        signal: AbortSignal,
    ): Promise<CallAttempt> {
        const { parts } = this;
        const startedAt = parts.clock.getMonotonicTime();
        const load = parts.registry.getLoadShare(entry);
        const record = history.addAttempt(createIdentifier(), entry.name, version, parts.clock.getWallTime(), 0);
        const hop = parts.tracing.startChildSpan("endpoint", span);
        hop.setAttribute("corianderward.endpoint", entry.name);
        // A node that was paused may wake long after the deadline: the check stands right before the dispatch.
        const remaining = request.deadline - parts.clock.getWallTime();
        const result = remaining <= 0
            ? Err(Failure.create(Verdict.NotRun, Diagnostics.Deadline_passed))
            : await parts.client.sendCall(entry.description.address, {
                requestId: request.id,
                attemptId: record.attemptId,
                version,
                method: request.method,
                path: request.path,
                contentType: request.contentType,
                idempotencyKey: request.idempotencyKey,
                body: request.body,
                timeLimit: remaining,
                connectTimeout: parts.connectTimeout,
                answerBytes: parts.answerBytes,
                mayReuseConnection: service.idempotent,
                traceHeaders: parts.tracing.createHeaders(hop),
            }, signal);
        const verdict = result.ok ? Verdict.Ran : result.val.verdict;
        const outcome = result.ok ? AttemptOutcome.Finished : AttemptOutcome.Failed;
        history.finishAttempt(record, outcome, verdict, result.ok ? "" : result.val.text, parts.clock.getWallTime());
        parts.metrics.attempts.inc({ service: service.name, outcome });
        if (result.err) {
            parts.tracing.recordFailure(hop, result.val.text);
        }
        hop.end();
        parts.admission.releaseSlot(entry);
        if (result.err) {
            await this.settleFailure(entry, result.val, signal);
            return { failure: result.val };
        }
        parts.registry.recordSuccess(entry);
        parts.observer.recordObservation({
            service: service.name,
            version,
            team: request.team,
            route: request.path.split(/[/?]/)[0] ?? "",
            endpoint: entry.name,
            succeeded: result.val.status < 500,
            isComplete: true,
            firstToken: parts.clock.getMonotonicTime() - startedAt,
            betweenTokens: undefined,
            load,
        });
        return { answer: result.val };
    }

    private async settleFailure(entry: EndpointEntry, failure: Failure, signal: AbortSignal): Promise<void> {
        const { registry, probe } = this.parts;
        switch (failure.message.code) {
            case Diagnostics.Endpoint_is_leaving.code:
                registry.markLeaving(entry.name, EndpointEvidence.OwnRefusal, undefined);
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
