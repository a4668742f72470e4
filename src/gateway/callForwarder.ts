import { DiagnosticMessage, Diagnostics } from "../common/diagnostics.js";
import { EventLog } from "../common/eventLog.js";
import { describeError, Failure } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { Result } from "../common/results.js";
import { raiseVerdict, Verdict } from "../common/verdict.js";
import { ResponseFraming } from "../endpoints/responseEnd.js";
import { DirectoryFreshness } from "../fleet/directoryFreshness.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { GatewayPeer } from "../gossip/types.js";
import { EndpointChooser } from "../placement/endpointChooser.js";
import { findAllowedRegions } from "../placement/homeRegions.js";
import { Placement } from "../placement/types.js";
import { FleetRetryBudget } from "../quotas/fleetRetryBudget.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { RouteKind } from "../routes/types.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { CallAttempt } from "./callAttempt.js";
import { CallerResponse } from "./callerResponse.js";
import { CallHedge, CallHedgeDependencies } from "./callHedge.js";
import { OverlappingAttempts, RunnableAttempt } from "./overlappingAttempts.js";
import { PeerAttemptResult, PeerCallAttempt } from "./peerCallAttempt.js";
import { PeerForwarder } from "./peerForwarder.js";
import { Admission } from "./poisonRequestDetector.js";
import { EventStreamRelay } from "./responseRelay.js";
import { computeWaitedTime } from "./returnOrder.js";
import { AttemptResult, CallAttemptDependencies, CallOutcome, IncomingCall } from "./types.js";

/** Time before the caller's deadline at which a call fails: the response still has to reach the caller. */
const responseMarginMilliseconds = 25;
/** Largest number of endpoints that one call is sent to, including those that refuse it. */
const sendLimit = 4;

/** Failures that concern the peer alone, so that another one may forward the call. */
const peerFailures: ReadonlySet<DiagnosticMessage> = new Set([
    Diagnostics.Node_at_0_did_not_answer_1,
    Diagnostics.Node_is_shutting_down,
    Diagnostics.Configuration_is_not_loaded,
    Diagnostics.No_endpoint_is_available_for_service_0,
    Diagnostics.No_endpoint_is_available_for_service_0_in_regions_1,
]);
/** Number of endpoints to which a call cannot connect, after which it is handed to a peer. */
const connectFailuresUntilPeer = 3;
/** Largest number of peers to which one call is handed in turn. */
const peerLimit = 3;

/** Where a call comes from, if not from its caller. */
export interface CallOrigin {
    /** Name of the peer that handed it over. */
    readonly peer: string;
    /** Number of endpoints that may have run it for the peer. */
    readonly runs: number;
}

/** Dependencies of the call forwarder. */
export interface CallForwarderDependencies extends CallAttemptDependencies, CallHedgeDependencies {
    readonly log: EventLog;
    readonly chooser: EndpointChooser;
    readonly retryBudget: FleetRetryBudget;
    readonly freshness: DirectoryFreshness;
    readonly usage: UsageCounter;
    readonly peers: PeerForwarder;
    readonly configuration: ConfigurationHolder;
}

/** Outcome of a call, for the response to the caller, metrics and the log. */
export interface CallReport {
    readonly outcome: CallOutcome;
    readonly failure: Failure | undefined;
    /** Number of endpoints that the request may have reached. */
    readonly sends: number;
    /** Number of endpoints that may have run the request, those of earlier nodes included. */
    readonly runs: number;
    /** The endpoint of the last attempt; undefined when there was none. */
    readonly endpoint: string | undefined;
    /** The peer to which the call was handed; undefined if this node forwarded it. */
    readonly peer: string | undefined;
    /** How the response of the last attempt marked its end; undefined when there was none. */
    readonly framing: ResponseFraming | undefined;
    /** Time of the first event of a stream, in monotonic milliseconds; undefined for other calls. */
    readonly firstByteAt: number | undefined;
    /** Expected time of the last attempt at an endpoint, in milliseconds; undefined when there was none. */
    readonly expectedTime: number | undefined;
    /** Time of the last placement at an endpoint, in monotonic milliseconds; undefined when there was none. */
    readonly placedAt: number | undefined;
}

/** Forwards calls to endpoints and retries failed attempts at other endpoints where the route allows it. */
export class CallForwarder {
    private constructor(private readonly dependencies: CallForwarderDependencies) {}

    static create(dependencies: CallForwarderDependencies): CallForwarder {
        return new CallForwarder(dependencies);
    }

    /** Forwards a call until it is served or has failed. The caller of this method sends the failure of the report, if there is one. */
    async forwardCall(call: IncomingCall, caller: CallerResponse, origin?: CallOrigin): Promise<CallReport> {
        try {
            return await ForwardedCall.create(this.dependencies, call, caller, origin).run();
        }
        finally {
            this.dependencies.poisonRequestDetector.endTrial(call);
        }
    }
}

/** Runs the attempts of one call and keeps their combined verdict. */
class ForwardedCall {
    private readonly tried = new Set<FleetEndpoint>();
    private readonly triedPeers = new Set<string>();
    /** The tried peers, but for those whose session was lost. */
    private readonly failedPeers = new Set<string>();
    private readonly isIdempotent: boolean;
    private readonly deadline: number;
    /** Regions whose endpoints may receive it; undefined if all may. */
    private readonly allowedRegions: readonly string[] | undefined;
    private readonly stream: EventStreamRelay;
    private verdict = Verdict.NotRun;
    /** Number of endpoints that the request may have reached. */
    private sends = 0;
    /** Number of endpoints that may have run the request. */
    private runs: number;
    private connectFailures = 0;
    private firstByteAt: number | undefined;
    private expectedTime: number | undefined;
    private placedAt: number | undefined;
    private readonly attempts: OverlappingAttempts<CallReport>;
    /** The attempt whose response is relayed; undefined before the first response. */
    private servingAttempt: CallAttempt | undefined;
    private lastEndpoint: string | undefined;
    private lastPeer: string | undefined;
    private framing: ResponseFraming | undefined;
    private readonly hedge: CallHedge;
    private hasRecordedRun = false;

    private constructor(
        private readonly dependencies: CallForwarderDependencies,
        private readonly call: IncomingCall,
        private readonly caller: CallerResponse,
        private readonly origin: CallOrigin | undefined,
    ) {
        const { route } = call;
        this.runs = origin?.runs ?? 0;
        this.isIdempotent = route.kind === RouteKind.Safe || (route.kind === RouteKind.Stream && route.isResumable);
        this.deadline = call.deadline - responseMarginMilliseconds;
        this.allowedRegions = findAllowedRegions(route, call.team);
        this.attempts = OverlappingAttempts.create(error => {
            dependencies.log.log(LogEvents.TaskFailed, { task: "end an aborted attempt", request: call.id, cause: describeError(error) });
        });
        this.hedge = CallHedge.create(dependencies, call, () => dependencies.clock.getMonotonicTime());
        this.stream = EventStreamRelay.create(caller, call.lastEventId, () => this.handleFirstEvent());
    }

    static create(
        dependencies: CallForwarderDependencies,
        call: IncomingCall,
        caller: CallerResponse,
        origin: CallOrigin | undefined,
    ): ForwardedCall {
        return new ForwardedCall(dependencies, call, caller, origin);
    }

    /** Runs attempts until the call is served or has failed. */
    async run(): Promise<CallReport> {
        let report: CallReport | undefined;
        try {
            report = await this.runAttempts();
            return report;
        }
        finally {
            this.hedge.recordEnd(report?.outcome === CallOutcome.Completed ? report.endpoint : undefined);
        }
    }

    private async runAttempts(): Promise<CallReport> {
        const { call, dependencies, caller } = this;
        if (this.origin === undefined) {
            dependencies.retryBudget.recordRequest(call.service);
        }
        for (;;) {
            if (dependencies.freshness.isStale()) {
                await dependencies.freshness.waitUntilFresh();
            }
            if (caller.isCallerDisconnected()) {
                return this.createReport(CallOutcome.CallerDisconnected, undefined);
            }
            const admission = dependencies.poisonRequestDetector.getAdmission(call);
            if (admission === Admission.Refused) {
                return this.createQuarantineReport();
            }
            const placement = this.choosePlacement();
            const peer = this.hasLostPaths(placement) ? this.pickPeer() : undefined;
            if (peer === undefined && this.hasExhaustedPaths()) {
                const failure = Failure.create(Verdict.NotRun, Diagnostics.No_endpoint_is_available_for_service_0, call.service);
                return this.createFailureReport(failure);
            }
            if (peer === undefined && placement.err) {
                this.recordUnplacedDemand();
                dependencies.hedging.recordRefusal(call.service);
                return this.createFailureReport(placement.val);
            }
            if (peer === undefined && admission === Admission.NeedsTrial) {
                if (await dependencies.poisonRequestDetector.claimTrial(call)) {
                    continue;
                }
                return this.createQuarantineReport();
            }
            if (this.sends > 0 && !dependencies.retryBudget.takeRetry(call.service)) {
                return this.createFailureReport(Failure.create(this.verdict, Diagnostics.Retry_budget_is_spent));
            }
            const target = peer ?? placement.val as Placement;
            if (this.sends === 0 && "endpoint" in target) {
                this.startHedgeWait(target);
            }
            const report = await this.attempts.run(this.createAttempt(target));
            if (report !== undefined) {
                return report;
            }
        }
    }

    /**
     * Starts another attempt beside one whose endpoint is silent, if the call may run once more and something can take it. The first
     * one goes on: its endpoint may be sound.
     */
    private startBackupAttempt(): void {
        const { call, caller, dependencies } = this;
        const isPartlySent = caller.hasStarted() && call.route.kind !== RouteKind.Stream;
        const mayRunAgain = this.isIdempotent && this.runs + this.attempts.count() < call.route.attempts;
        if (this.attempts.count() > 1 || !mayRunAgain || isPartlySent || this.tried.size >= sendLimit || caller.isCallerDisconnected()) {
            return;
        }
        if (dependencies.poisonRequestDetector.getAdmission(call) !== Admission.Allowed) {
            return;
        }
        const placement = this.choosePlacement();
        const target = (this.hasLostPaths(placement) ? this.pickPeer() : undefined) ?? (placement.ok ? placement.val : undefined);
        if (target !== undefined && dependencies.retryBudget.takeRetry(call.service)) {
            this.attempts.add(this.createAttempt(target));
        }
    }

    /** Prepares a second attempt for a call that may be repeated, in case that the first one is late. */
    private startHedgeWait(first: Placement): void {
        if (this.isIdempotent && this.origin === undefined && this.call.route.attempts > 1) {
            this.hedge.start(first, () => this.chooseHedgePlacement(), placement => this.attempts.add(this.createAttempt(placement)));
        }
    }

    /** Returns where the call may be sent once more beside its first attempt; undefined if it may not or nothing takes it. */
    private chooseHedgePlacement(): Placement | undefined {
        const { call, caller, dependencies } = this;
        const isFirstWaiting = this.attempts.count() === 1 && !caller.hasStarted() && !caller.isCallerDisconnected();
        if (!isFirstWaiting || this.runs + 1 >= call.route.attempts) {
            return undefined;
        }
        if (dependencies.poisonRequestDetector.getAdmission(call) !== Admission.Allowed) {
            return undefined;
        }
        const placement = this.choosePlacement();
        return placement.ok && !this.hasLostPaths(placement) ? placement.val : undefined;
    }

    /** A response may end without any data that would have shown that its endpoint is no longer silent. */
    private abortOthersIfServed(attempt: RunnableAttempt<CallReport>, failure: Failure | undefined): void {
        if (failure === undefined) {
            this.attempts.abortOthers(attempt);
        }
    }

    private createAttempt(target: Placement | GatewayPeer): RunnableAttempt<CallReport> {
        return "endpoint" in target ? this.createEndpointAttempt(target) : this.createPeerAttempt(target);
    }

    /** Returns whether this node's own network paths are why the call cannot be placed here. */
    private hasLostPaths(placement: Result<Placement, Failure>): boolean {
        return this.dependencies.paths.isUnreachable(this.call.service)
            || this.connectFailures >= connectFailuresUntilPeer
            || (placement.err && this.connectFailures > 0);
    }

    /** Returns whether further attempts would only wait for connections that are not established; asked when no peer takes the call. */
    private hasExhaustedPaths(): boolean {
        return this.connectFailures >= connectFailuresUntilPeer && this.dependencies.paths.isUnreachable(this.call.service);
    }

    /** Picks a peer for the call, one that was not tried if there is any. A call that came from a peer stays here, so that no two nodes pass it to and fro. */
    private pickPeer(): GatewayPeer | undefined {
        if (this.origin !== undefined || this.triedPeers.size >= peerLimit) {
            return undefined;
        }
        const { peers } = this.dependencies;
        const { service } = this.call;
        return peers.pickPeer(service, this.triedPeers, this.allowedRegions)
            ?? peers.pickPeer(service, this.failedPeers, this.allowedRegions);
    }

    private createPeerAttempt(peer: GatewayPeer): RunnableAttempt<CallReport> {
        const { call, caller, dependencies } = this;
        this.triedPeers.add(peer.name);
        const attempt = PeerCallAttempt.create(dependencies.peers, {
            call,
            caller,
            peer,
            stream: call.route.kind === RouteKind.Stream ? this.stream : undefined,
            configurationVersion: dependencies.configuration.getVersion(),
            timeLeft: this.deadline - dependencies.clock.getMonotonicTime(),
            runs: this.runs + this.attempts.count(),
            handleSilence: () => this.startBackupAttempt(),
            handleResponse: () => this.attempts.abortOthers(runnable),
        });
        const runnable: RunnableAttempt<CallReport> = {
            run: async () => {
                const result = await attempt.run();
                this.abortOthersIfServed(runnable, result.failure);
                return this.finishPeerAttempt(peer, result);
            },
            abort: () => attempt.abort(),
        };
        return runnable;
    }

    private finishPeerAttempt(peer: GatewayPeer, result: PeerAttemptResult): CallReport | undefined {
        const { call, caller, dependencies } = this;
        const { failure } = result;
        this.lastEndpoint = result.endpoint;
        this.lastPeer = peer.name;
        this.runs += result.runs;
        if (failure === undefined) {
            return this.createReport(CallOutcome.Completed, undefined);
        }
        if (!result.isSessionLost) {
            this.failedPeers.add(peer.name);
        }
        this.verdict = raiseVerdict(this.verdict, failure.verdict);
        this.sends += failure.verdict === Verdict.NotRun ? 0 : 1;
        if (failure.message === Diagnostics.Node_at_0_did_not_answer_1 && failure.verdict === Verdict.NotRun && !result.isPastDeadline) {
            dependencies.peers.recordFailure(peer);
        }
        if (caller.isCallerDisconnected()) {
            return this.createReport(CallOutcome.CallerDisconnected, undefined);
        }
        dependencies.log.log(LogEvents.AttemptFailed, {
            request: call.id,
            peer: peer.name,
            endpoint: result.endpoint,
            verdict: failure.verdict,
            cause: failure.text,
            timeLeft: Math.round(this.deadline - dependencies.clock.getMonotonicTime()),
            sends: this.sends,
        });
        const isFinal = result.isPastDeadline || !this.isRetryAllowed() || this.sends >= sendLimit
            || (failure.verdict === Verdict.NotRun && !peerFailures.has(failure.message));
        return isFinal ? this.createFailureReport(failure, result.isPastDeadline) : undefined;
    }

    private isRetryAllowed(): boolean {
        return this.verdict === Verdict.NotRun || (this.isIdempotent && this.runs < this.call.route.attempts);
    }

    private choosePlacement(): Result<Placement, Failure> {
        const { call, dependencies } = this;
        const timeLeft = this.deadline - dependencies.clock.getMonotonicTime();
        return dependencies.chooser.choosePlacement({
            service: call.service,
            prompt: call.prompt,
            timeLeft,
            // For a stream that has started, a late end is better than an interruption.
            objective: this.caller.hasStarted() ? timeLeft : call.route.objective,
            rank: call.rank,
            triedEndpoints: this.tried,
            isNonResumableStream: call.route.kind === RouteKind.Stream && !this.isIdempotent,
            allowedRegions: this.allowedRegions,
            claim: {
                team: call.team?.name,
                waited: computeWaitedTime(call),
                timeLimit: call.route.timeLimit,
                getFingerprint: () => call.getFingerprint(),
            },
        });
    }

    /** Records the demand of a call that could not be placed, so that the fleet grows for it. */
    private recordUnplacedDemand(): void {
        const { call, dependencies } = this;
        if (call.prompt !== undefined && this.sends === 0) {
            dependencies.work.recordWork(call.service, call.prompt.inputTokens, call.prompt.maxOutputTokens, call.route.priority);
        }
    }

    private createEndpointAttempt(placement: Placement): RunnableAttempt<CallReport> {
        const { call, dependencies, caller } = this;
        this.tried.add(placement.endpoint);
        this.expectedTime = placement.expectedTime;
        this.placedAt = dependencies.clock.getMonotonicTime();
        const attempt = CallAttempt.create(dependencies, {
            call,
            caller,
            placement,
            deadline: this.deadline,
            lastEventId: this.stream.getLastEventId(),
            stream: call.route.kind === RouteKind.Stream ? this.stream : undefined,
            mayRetry: () => this.attempts.count() > 1 || (this.isIdempotent && this.runs + 1 < call.route.attempts),
            isRacing: () => this.hedge.isSent(),
            handleSilence: () => this.startBackupAttempt(),
            handleResponse: () => {
                this.servingAttempt = attempt;
                this.attempts.abortOthers(runnable);
            },
        });
        const runnable: RunnableAttempt<CallReport> = {
            run: async () => {
                const result = await attempt.run();
                this.abortOthersIfServed(runnable, result.failure);
                return this.finishAttempt(placement, result);
            },
            abort: () => attempt.abort(),
        };
        return runnable;
    }

    /** Records the result of an attempt; returns the report when the call has ended, or undefined when it is to be retried. */
    private finishAttempt(placement: Placement, result: AttemptResult): CallReport | undefined {
        const { call, caller, dependencies } = this;
        this.framing = result.framing;
        this.lastEndpoint = placement.endpoint.entry.id;
        this.lastPeer = undefined;
        if (result.failure === undefined) {
            this.recordCallRun(result);
            if (call.route.kind !== RouteKind.Stream) {
                this.hedge.finishWait();
            }
            return this.createReport(CallOutcome.Completed, undefined);
        }
        this.hedge.cancelWait();
        if (result.failure.message === Diagnostics.Endpoint_refused_before_running_0) {
            dependencies.hedging.recordRefusal(call.service);
        }
        this.sends += result.mayHaveArrived ? 1 : 0;
        this.connectFailures += result.mayHaveArrived ? 0 : 1;
        this.verdict = raiseVerdict(this.verdict, result.failure.verdict);
        if (result.failure.verdict !== Verdict.NotRun) {
            this.runs += 1;
            this.recordCallRun(result);
        }
        if (caller.isCallerDisconnected()) {
            return this.createReport(CallOutcome.CallerDisconnected, undefined);
        }
        dependencies.log.log(LogEvents.AttemptFailed, {
            request: call.id,
            endpoint: placement.endpoint.entry.id,
            verdict: result.failure.verdict,
            cause: result.failure.text,
            framing: result.framing,
            silence: Math.round(result.silence.connection),
            endpointSilence: Math.round(result.silence.endpoint),
            reused: result.isConnectionReused,
            expectedTime: Math.round(placement.expectedTime),
            timeLeft: Math.round(this.deadline - dependencies.clock.getMonotonicTime()),
            sends: this.sends,
            ...dependencies.retryBudget.getUse(call.service),
        });
        if (!this.isRetryAllowed() || this.sends >= sendLimit || result.isPastDeadline) {
            return this.createFailureReport(result.failure, result.isPastDeadline);
        }
        return undefined;
    }

    private handleFirstEvent(): void {
        const now = this.dependencies.clock.getMonotonicTime();
        if (this.firstByteAt === undefined) {
            this.firstByteAt = now;
            this.hedge.finishWait();
        }
        this.servingAttempt?.recordFirstEvent();
        // Recorded now and not at the end: a long stream ends after the usage report of the window in which it started.
        this.recordRun(now);
    }

    /** Records the run of a call as usage, at the time when it was sent. A stream's run is recorded with its first event. */
    private recordCallRun(result: AttemptResult): void {
        if (this.call.route.kind !== RouteKind.Stream) {
            this.recordRun(result.sentAt);
        }
    }

    private recordRun(startedAt: number): void {
        const { call, dependencies } = this;
        // Of two attempts that race, the loser is no further request of the team.
        if (this.hasRecordedRun && this.hedge.isSent()) {
            return;
        }
        this.hasRecordedRun = true;
        if (call.team !== undefined) {
            dependencies.usage.recordStartedRequest(call.team.name, startedAt);
        }
    }

    private createQuarantineReport(): CallReport {
        const crashes = this.dependencies.poisonRequestDetector.countCrashes(this.call);
        return this.createFailureReport(
            Failure.create(this.verdict, Diagnostics.Request_ended_0_endpoints_and_is_not_sent_again, crashes),
        );
    }

    private createFailureReport(failure: Failure, isPastDeadline = false): CallReport {
        if (this.caller.hasStarted()) {
            return this.createReport(CallOutcome.Interrupted, failure);
        }
        const outcome = this.verdict === Verdict.NotRun ? CallOutcome.Refused : CallOutcome.Failed;
        return this.createReport(outcome, this.chooseFailure(failure, isPastDeadline));
    }

    /** Chooses the failure that is sent to the caller; it guarantees that the request has not run only where that is certain. */
    private chooseFailure(failure: Failure, isPastDeadline: boolean): Failure {
        if (this.verdict === Verdict.NotRun) {
            return isPastDeadline ? Failure.create(Verdict.NotRun, Diagnostics.Deadline_passed_before_it_ran) : failure;
        }
        if (isPastDeadline) {
            return Failure.create(this.verdict, Diagnostics.Endpoint_did_not_answer_in_time);
        }
        return failure.message.status === Diagnostics.Answer_broke_off.status
            ? failure
            : Failure.createFormatted(this.verdict, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, failure.text);
    }

    private createReport(outcome: CallOutcome, failure: Failure | undefined): CallReport {
        const { sends, runs, lastEndpoint: endpoint, lastPeer: peer, framing, firstByteAt, expectedTime, placedAt } = this;
        return { outcome, failure, sends, runs, endpoint, peer, framing, firstByteAt, expectedTime, placedAt };
    }
}
