import { Diagnostics } from "../common/diagnostics.js";
import { EventLog } from "../common/eventLog.js";
import { Failure } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { Result } from "../common/results.js";
import { raiseVerdict, Verdict } from "../common/verdict.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointChooser } from "../placement/endpointChooser.js";
import { Placement } from "../placement/types.js";
import { RetryAllowance } from "../quotas/retryAllowance.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { RouteKind } from "../routes/types.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { EventStreamRelay } from "./answerRelay.js";
import { CallAttempt } from "./callAttempt.js";
import { CallerAnswer } from "./callerAnswer.js";
import { AttemptEnd, CallAttemptParts, CallOutcome, IncomingCall } from "./types.js";

/** Time before the deadline at which a call is given up, in milliseconds: the answer still has to reach the caller. */
const answerMarginMilliseconds = 25;
/** Endpoints that are asked at most for one call, refusals included. */
const sendLimit = 4;

/** What the forwarder works with. */
export interface CallForwarderParts extends CallAttemptParts {
    readonly log: EventLog;
    readonly chooser: EndpointChooser;
    readonly allowance: RetryAllowance;
    readonly usage: UsageCounter;
    readonly ledger: QuarantineLedger;
}

/** How a call ended. */
export interface CallReport {
    readonly outcome: CallOutcome;
    readonly failure: Failure | undefined;
    readonly sends: number;
    readonly endpoint: string | undefined;
    readonly firstByteAt: number | undefined;
}

/** Serves calls: chooses an endpoint, sends, and goes on elsewhere where the route allows it. */
export class CallForwarder {
    private constructor(private readonly parts: CallForwarderParts) {}

    static create(parts: CallForwarderParts): CallForwarder {
        return new CallForwarder(parts);
    }

    /** Serves a call to its end. The failure of the report, if there is one, is still to be told to the caller. */
    async forwardCall(call: IncomingCall, caller: CallerAnswer): Promise<CallReport> {
        return ForwardedCall.create(this.parts, call, caller).runAttempts();
    }
}

/** The course of one call. */
class ForwardedCall {
    private readonly tried = new Set<FleetEndpoint>();
    private readonly isIdempotent: boolean;
    private readonly deadline: number;
    private readonly stream: EventStreamRelay;
    private verdict = Verdict.NotRun;
    /** Endpoints that the request has reached. */
    private sends = 0;
    /** Endpoints that may have run it. */
    private runs = 0;
    private firstByteAt: number | undefined;
    private attempt: CallAttempt | undefined;
    private lastEndpoint: string | undefined;

    private constructor(
        private readonly parts: CallForwarderParts,
        private readonly call: IncomingCall,
        private readonly caller: CallerAnswer,
    ) {
        const { route } = call;
        this.isIdempotent = route.kind === RouteKind.Safe || (route.kind === RouteKind.Stream && route.isResumable);
        this.deadline = call.deadline - answerMarginMilliseconds;
        this.stream = EventStreamRelay.create(caller, call.lastEventId, () => this.handleFirstEvent());
    }

    static create(parts: CallForwarderParts, call: IncomingCall, caller: CallerAnswer): ForwardedCall {
        return new ForwardedCall(parts, call, caller);
    }

    async runAttempts(): Promise<CallReport> {
        const { call, parts, caller } = this;
        parts.allowance.recordRequest(call.service);
        for (;;) {
            if (caller.isCallerGone()) {
                return this.createReport(CallOutcome.CallerLeft, undefined);
            }
            if (parts.crashes.isRefused(call)) {
                const deaths = parts.ledger.countDeaths(call.getFingerprint());
                return this.createFailureReport(
                    Failure.create(this.verdict, Diagnostics.Request_ended_0_endpoints_and_is_not_sent_again, deaths),
                );
            }
            const placement = this.choosePlacement();
            if (placement.err) {
                this.recordUnservedWork();
                return this.createFailureReport(placement.val);
            }
            if (this.sends > 0 && !parts.allowance.takeRepeat(call.service)) {
                return this.createFailureReport(Failure.create(this.verdict, Diagnostics.Retry_budget_is_spent));
            }
            const end = await this.runAttempt(placement.val);
            const report = this.settleAttempt(placement.val, end);
            if (report !== undefined) {
                return report;
            }
        }
    }

    private choosePlacement(): Result<Placement, Failure> {
        const { call, parts } = this;
        const timeLeft = this.deadline - parts.clock.getMonotonicTime();
        return parts.chooser.choosePlacement({
            service: call.service,
            prompt: call.prompt,
            timeLeft,
            // A stream that has begun is better late than broken off.
            objective: this.caller.hasBegun() ? timeLeft : call.route.objective,
            rank: call.rank,
            tried: this.tried,
            isBoundStream: call.route.kind === RouteKind.Stream && !this.isIdempotent,
        });
    }

    /** Counts what could not be placed as load: the fleet has to grow for it. */
    private recordUnservedWork(): void {
        const { call, parts } = this;
        if (call.prompt !== undefined && this.sends === 0) {
            parts.work.recordWork(call.service, call.prompt.inputTokens, call.prompt.maxOutputTokens);
        }
    }

    private async runAttempt(placement: Placement): Promise<AttemptEnd> {
        const { call, parts, caller } = this;
        this.lastEndpoint = placement.endpoint.entry.id;
        this.attempt = CallAttempt.create(parts, {
            call,
            caller,
            placement,
            deadline: this.deadline,
            lastEventId: this.stream.getLastEventId(),
            stream: call.route.kind === RouteKind.Stream ? this.stream : undefined,
            mayRunAgain: this.isIdempotent && this.runs + 1 < call.route.attempts,
        });
        return this.attempt.run();
    }

    /** Returns the report when the call has ended, and undefined when another attempt is to be made. */
    private settleAttempt(placement: Placement, end: AttemptEnd): CallReport | undefined {
        const { call, caller, parts } = this;
        if (end.failure === undefined) {
            this.recordCallRun(end);
            return this.createReport(CallOutcome.Answered, undefined);
        }
        this.tried.add(placement.endpoint);
        this.sends += end.hasArrived ? 1 : 0;
        this.verdict = raiseVerdict(this.verdict, end.failure.verdict);
        if (end.failure.verdict !== Verdict.NotRun) {
            this.runs += 1;
            this.recordCallRun(end);
        }
        if (caller.isCallerGone()) {
            return this.createReport(CallOutcome.CallerLeft, undefined);
        }
        parts.log.log(LogEvents.AttemptFailed, {
            request: call.id,
            endpoint: placement.endpoint.entry.id,
            verdict: end.failure.verdict,
            cause: end.failure.text,
            expectedTime: Math.round(placement.expectedTime),
            timeLeft: Math.round(this.deadline - parts.clock.getMonotonicTime()),
            sends: this.sends,
        });
        const mayGoOn = this.verdict === Verdict.NotRun || (this.isIdempotent && this.runs < call.route.attempts);
        if (!mayGoOn || this.sends >= sendLimit || end.isLate) {
            return this.createFailureReport(end.failure, end.isLate);
        }
        return undefined;
    }

    private handleFirstEvent(): void {
        const now = this.parts.clock.getMonotonicTime();
        this.firstByteAt ??= now;
        this.attempt?.recordFirstEvent();
        // At once: a long stream ends after the report of the window in which it began.
        this.recordRun(now);
    }

    /** Counts the run of a call, which began when it was sent; a stream's is counted with its first event. */
    private recordCallRun(end: AttemptEnd): void {
        if (this.call.route.kind !== RouteKind.Stream) {
            this.recordRun(end.sentAt);
        }
    }

    private recordRun(startedAt: number): void {
        const { call, parts } = this;
        if (call.team !== undefined) {
            parts.usage.recordRun(call.team.name, startedAt);
        }
    }

    private createFailureReport(failure: Failure, isLate = false): CallReport {
        if (this.caller.hasBegun()) {
            return this.createReport(CallOutcome.Broken, failure);
        }
        const outcome = this.verdict === Verdict.NotRun ? CallOutcome.Refused : CallOutcome.Failed;
        return this.createReport(outcome, this.chooseFailure(failure, isLate));
    }

    /** Chooses what the caller is told: a promise that it has not run only where that is certain. */
    private chooseFailure(failure: Failure, isLate: boolean): Failure {
        if (this.verdict === Verdict.NotRun) {
            return isLate ? Failure.create(Verdict.NotRun, Diagnostics.Deadline_passed_before_it_ran) : failure;
        }
        if (isLate) {
            return Failure.create(this.verdict, Diagnostics.Endpoint_did_not_answer_in_time);
        }
        return failure.message.status === Diagnostics.Answer_broke_off.status
            ? failure
            : Failure.createFormatted(this.verdict, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, failure.text);
    }

    private createReport(outcome: CallOutcome, failure: Failure | undefined): CallReport {
        return { outcome, failure, sends: this.sends, endpoint: this.lastEndpoint, firstByteAt: this.firstByteAt };
    }
}
