import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { BodyReader, BodyResult } from "../common/bodyReader.js";
import { CallerConnections, ConnectionCloseCause } from "../common/callerConnections.js";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { EventLog } from "../common/eventLog.js";
import { describeError, Failure, readErrorCode } from "../common/failure.js";
import { HeaderLineLimits } from "../common/headerLineLimits.js";
import { startListening, stopListening } from "../common/listening.js";
import { LogEvents } from "../common/logEvents.js";
import { LoopDelay, waitForNextPoll } from "../common/loopDelay.js";
import { bytesPerKibibyte, bytesPerMebibyte, millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { CallerLimits, UsageUnit } from "../routes/types.js";
import { createProblem, HttpCallerResponse } from "./callerResponse.js";
import { CallForwarder, CallReport } from "./callForwarder.js";
import { CallReader } from "./callReader.js";
import { DrainAdmission } from "./drainAdmission.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import { chooseRetryAfter } from "./retryAfter.js";
import { computeWaitedTime, describeReturn } from "./returnOrder.js";
import { CallOutcome, IncomingCall } from "./types.js";

/** Limits until the configuration is loaded; generous, since no request is served before that. */
const initialLimits: CallerLimits = {
    headerBytes: 64 * bytesPerKibibyte,
    bodyBytes: 4 * bytesPerMebibyte,
    headerTimeout: 10_000,
    idleTimeout: 60_000,
};
/** Time beyond the idle limit for which a connection is kept open, because a request may be in transit. */
const idleMarginMilliseconds = 2_000;
/** Interval of the runtime's checks whether heads are complete in time. */
const headerCheckMilliseconds = 1_000;
/** Backlog of connections that are not accepted yet; sized for the burst of callers after many nodes stopped at once. */
const listenBacklog = 1_024;

/** Dependencies of the gateway server. */
export interface GatewayServerDependencies {
    readonly clock: Clock;
    readonly loopDelay: LoopDelay;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
    readonly configuration: ConfigurationHolder;
    readonly reader: CallReader;
    readonly bodies: BodyReader;
    readonly forwarder: CallForwarder;
    readonly caps: SharedRateLimiter;
    /** Number of connections of callers that are kept open. */
    readonly connectionLimit: number;
    readonly retryAfterHeader: string;
    /** Header that holds the id of a request, in lower case. */
    readonly attemptIdHeader: string;
}

/** HTTP server for callers: reads their calls, enforces usage caps, forwards the calls, and records each outcome. */
export class GatewayServer {
    private readonly server: Server;
    private limits = initialLimits;
    private readonly lineLimits: HeaderLineLimits;
    private readonly connections: CallerConnections;
    private readonly drainAdmission = DrainAdmission.create();
    private readonly openResponses = new Set<HttpCallerResponse>();
    private isStopping = false;

    private constructor(private readonly dependencies: GatewayServerDependencies) {
        this.server = createServer({
            maxHeaderSize: initialLimits.headerBytes,
            headersTimeout: initialLimits.headerTimeout,
            keepAliveTimeout: initialLimits.idleTimeout,
            requestTimeout: 0,
            // The runtime's own response lacks the verdict.
            requireHostHeader: false,
            connectionsCheckingInterval: headerCheckMilliseconds,
            noDelay: true,
        }, (request, response) => void this.serveRequest(request, response));
        this.lineLimits = HeaderLineLimits.create(this.server, dependencies.bodies.budget, initialLimits.headerBytes);
        this.connections = CallerConnections.create(this.server, {
            createProblem,
            recordRejection: (failure, isAnswered, bytesRead) => this.recordUnread(failure, isAnswered, bytesRead),
            recordClosed: (cause, openConnections) => this.recordClosed(cause, openConnections),
        }, dependencies.connectionLimit);
        dependencies.configuration.addListener(table => this.applyLimits(table.configuration.limits));
    }

    static create(dependencies: GatewayServerDependencies): GatewayServer {
        return new GatewayServer(dependencies);
    }

    /** Starts to listen; returns the actual address, also when the given port is 0. */
    async start(address: NetworkAddress): Promise<NetworkAddress> {
        return startListening(this.server, address, listenBacklog);
    }

    /** Returns the number of calls that have not ended. */
    countOpenCalls(): number {
        return this.openResponses.size;
    }

    /** Returns for how long an idle connection is kept open, in milliseconds. */
    getIdleLimit(): number {
        return this.server.keepAliveTimeout;
    }

    /**
     * Adds `connection: close` to all further responses and refuses calls that may not end before `closesAt`, in monotonic
     * milliseconds. New connections are still accepted.
     */
    startDraining(closesAt: number): void {
        this.isStopping = true;
        this.drainAdmission.startDraining(closesAt);
    }

    /** Stops listening and closes the connections that carry no request; the others are closed after their responses. */
    closeIdle(): void {
        stopListening(this.server);
        this.connections.startClosingIdle();
    }

    /** Ends the open calls: a caller whose response has not started gets a failure, a response that has started is cut off. */
    endCalls(): void {
        const failure = Failure.create(Verdict.MayHaveRun, Diagnostics.Node_stopped_before_the_response_was_complete);
        this.openResponses.forEach(caller => caller.endCall(failure, this.dependencies.retryAfterHeader));
    }

    /** Closes all connections, including those that carry requests. */
    closeAll(): void {
        this.openResponses.forEach(caller => caller.abortResponse());
        this.server.closeAllConnections();
    }

    /** Applies the configured limits. The idle limit never shrinks, because connected callers may still rely on the longer one. */
    private applyLimits(limits: CallerLimits): void {
        const longestIdle = this.dependencies.configuration.getTable() === undefined ? 0 : this.limits.idleTimeout;
        this.limits = { ...limits, idleTimeout: Math.max(limits.idleTimeout, longestIdle) };
        this.lineLimits.setHeaderBytes(limits.headerBytes);
        this.server.keepAliveTimeout = this.limits.idleTimeout + idleMarginMilliseconds;
        this.server.headersTimeout = limits.headerTimeout + idleMarginMilliseconds;
    }

    /** Serves one request; its caller gets a response even after an unexpected error. */
    private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { socket } = request;
        const endsConnection = () => this.isStopping && !this.connections.hasLaterRequest(socket, response);
        const caller = HttpCallerResponse.create(response, endsConnection, this.limits.idleTimeout);
        this.openResponses.add(caller);
        response.once("close", () => {
            this.openResponses.delete(caller);
            this.recordCutOff(request, caller);
        });
        // A body is read also while earlier requests of its connection are served: unread, its parts would be outside the budget.
        const { bodyBytes, idleTimeout } = this.limits;
        const reading = this.dependencies.bodies.readBody(request, response, { bytes: bodyBytes, idleTimeout });
        if (!await this.connections.addResponse(socket, response)) {
            return;
        }
        // What was read late may have arrived when the event loop fell behind, and its caller counts from there.
        const arrivedAt = this.dependencies.clock.getMonotonicTime() - this.dependencies.loopDelay.getDelay();
        try {
            await this.serveBody(request, response, caller, await reading, arrivedAt);
        }
        catch (error) {
            this.failCall(request, caller, error);
        }
    }

    private async serveBody(
        request: IncomingMessage,
        response: ServerResponse,
        caller: HttpCallerResponse,
        body: BodyResult,
        arrivedAt: number,
    ): Promise<void> {
        const { clock, configuration } = this.dependencies;
        const unread = this.lineLimits.findFailure(request) ?? (body instanceof Failure ? body : undefined);
        if (unread !== undefined) {
            response.shouldKeepAlive = false;
            this.rejectCall(request, caller, unread);
            return;
        }
        if (body === undefined || body instanceof Failure) {
            return;
        }
        const table = configuration.getTable();
        if (table === undefined) {
            this.rejectCall(request, caller, Failure.create(Verdict.NotRun, Diagnostics.Configuration_is_not_loaded));
            return;
        }
        const call = this.dependencies.reader.readCall(request, body, arrivedAt, table);
        if (call.err) {
            this.rejectCall(request, caller, call.val);
            return;
        }
        if (!this.drainAdmission.isInTime(call.val, clock.getMonotonicTime())) {
            this.finishCall(
                call.val,
                caller,
                createRefusal(Failure.create(Verdict.NotRun, Diagnostics.Node_is_shutting_down).setRetryAfter(0)),
            );
            return;
        }
        await this.serveCall(call.val, caller);
    }

    private async serveCall(call: IncomingCall, caller: HttpCallerResponse): Promise<void> {
        if (this.dependencies.loopDelay.isBehind()) {
            await waitForNextPoll();
        }
        if (caller.hasCallerLeft()) {
            this.finishCall(call, caller, createReport(CallOutcome.CallerDisconnected, undefined));
            return;
        }
        const capRefusal = this.takeUsage(call);
        if (capRefusal !== undefined) {
            this.finishCall(call, caller, createRefusal(capRefusal));
            return;
        }
        this.drainAdmission.addCall(call);
        try {
            caller.markForwarded();
            const report = await this.dependencies.forwarder.forwardCall(call, caller);
            this.finishCall(call, caller, report);
        }
        finally {
            this.drainAdmission.removeCall(call);
        }
    }

    /** Takes the usage of a call from its team's cap; returns the refusal when too little is left. */
    private takeUsage(call: IncomingCall): Failure | undefined {
        const { team } = call;
        if (team === undefined || team.rate === 0) {
            return undefined;
        }
        const units = countUsageUnits(call);
        const refusal = this.dependencies.caps.takeUnits(team, units, units, {
            rank: call.rank,
            waited: computeWaitedTime(call),
            getFingerprint: () => call.getFingerprint(),
        });
        if (refusal === undefined) {
            return undefined;
        }
        const message = Diagnostics.Team_0_is_over_its_usage_cap_1_units_asked_2_of_3_passed;
        const { passed, allowed, wait, countAge } = refusal;
        this.dependencies.log.log(LogEvents.UsageCapReached, {
            team: team.name,
            units,
            passed: Math.round(passed),
            allowed: Math.round(allowed),
            countAge: Math.round(countAge),
        });
        return Failure.create(Verdict.NotRun, message, team.name, units, Math.round(passed), Math.round(allowed)).setRetryAfter(wait);
    }

    private rejectCall(request: IncomingMessage, caller: HttpCallerResponse, failure: Failure): void {
        const { dependencies } = this;
        const isRefusal = failure.message.status === Diagnostics.Configuration_is_not_loaded.status;
        const outcome = isRefusal ? CallOutcome.Refused : CallOutcome.Rejected;
        caller.sendFailure(failure, isRefusal ? 1 : undefined, dependencies.retryAfterHeader);
        dependencies.metrics.calls.inc({ service: "", outcome, cause: String(failure.message.code) });
        dependencies.log.log(LogEvents.RequestRefused, {
            outcome,
            status: failure.message.status,
            cause: failure.text,
            isAnswered: !caller.isCallerDisconnected(),
            host: request.headers.host,
            configuration: dependencies.configuration.getVersion(),
        });
    }

    /** Logs a request whose connection the node has ended before its response was complete. */
    private recordCutOff(request: IncomingMessage, caller: HttpCallerResponse): void {
        if (!caller.isCutOff()) {
            return;
        }
        const { dependencies } = this;
        dependencies.log.log(LogEvents.RequestUnanswered, {
            request: request.headers[dependencies.attemptIdHeader]?.toString(),
            cause: caller.getEndFailure()?.text,
            isRead: request.complete,
            isForwarded: caller.isForwarded(),
            isStarted: caller.hasStarted(),
            bytesRead: request.socket.bytesRead,
            configuration: dependencies.configuration.getVersion(),
        });
    }

    /** Records a request that could not be parsed. */
    private recordUnread(failure: Failure, isAnswered: boolean, bytesRead: number): void {
        const { dependencies } = this;
        const outcome = CallOutcome.Rejected;
        dependencies.metrics.calls.inc({ service: "", outcome, cause: String(failure.message.code) });
        dependencies.log.log(LogEvents.RequestRefused, {
            outcome,
            status: failure.message.status,
            cause: failure.text,
            isAnswered,
            bytesRead,
            configuration: dependencies.configuration.getVersion(),
        });
    }

    private recordClosed(cause: ConnectionCloseCause, openConnections: number): void {
        this.dependencies.metrics.closedConnections.inc({ cause });
        this.dependencies.log.log(LogEvents.CallerConnectionsClosed, { cause, openConnections });
    }

    /** Ends a call after an unexpected error, which may have come at any time before, during or after an attempt. */
    private failCall(request: IncomingMessage, caller: HttpCallerResponse, error: unknown): void {
        const { dependencies } = this;
        const failure = Failure.create(Verdict.MayHaveRun, Diagnostics.Node_failed_to_serve_the_request_0, describeError(error));
        if (caller.hasStarted()) {
            caller.abortResponse();
        }
        else {
            caller.sendFailure(failure, undefined, dependencies.retryAfterHeader);
        }
        const outcome = CallOutcome.Failed;
        dependencies.metrics.calls.inc({ service: "", outcome, cause: String(failure.message.code) });
        dependencies.log.log(LogEvents.RequestFailed, {
            request: request.headers[dependencies.attemptIdHeader]?.toString(),
            outcome,
            verdict: failure.verdict,
            status: failure.message.status,
            cause: failure.text,
            code: readErrorCode(error),
            host: request.headers.host,
        });
    }

    private finishCall(call: IncomingCall, caller: HttpCallerResponse, report: CallReport): void {
        const { dependencies } = this;
        const { failure, outcome } = report;
        const endFailure = caller.getEndFailure();
        if (endFailure !== undefined) {
            this.recordCall(call, { ...report, outcome: CallOutcome.Failed, failure: endFailure });
            return;
        }
        if (outcome === CallOutcome.Interrupted) {
            caller.abortResponse();
        }
        else if (failure !== undefined) {
            const timeLeft = call.deadline - dependencies.clock.getMonotonicTime();
            const retryAfter = failure.verdict === Verdict.NotRun ? chooseRetryAfter(failure, timeLeft) : undefined;
            caller.sendFailure(failure, retryAfter, dependencies.retryAfterHeader);
        }
        this.recordCall(call, report);
    }

    private recordCall(call: IncomingCall, report: CallReport): void {
        const { dependencies } = this;
        const { failure, outcome } = report;
        call.span.end(failure?.text);
        const time = dependencies.clock.getMonotonicTime() - call.arrivedAt;
        if (outcome === CallOutcome.Completed) {
            this.drainAdmission.recordDuration(call.route.name, time);
        }
        const firstByte = (report.firstByteAt ?? call.arrivedAt + time) - call.arrivedAt;
        const cause = failure === undefined ? "" : String(failure.message.code);
        dependencies.metrics.calls.inc({ service: call.service, outcome, cause });
        const waited = computeWaitedTime(call);
        if (waited > 0) {
            dependencies.metrics.returns.inc({ route: call.route.name, outcome: describeReturn(outcome) });
        }
        dependencies.metrics.duration.observe({ route: call.route.name, outcome }, time / millisecondsPerSecond);
        dependencies.metrics.firstByte.observe({ route: call.route.name }, firstByte / millisecondsPerSecond);
        dependencies.log.log(chooseLogEvent(outcome), {
            request: call.id,
            route: call.route.name,
            service: call.service,
            team: call.team?.name,
            outcome,
            verdict: failure?.verdict,
            cause: failure?.text,
            endpoint: report.endpoint,
            peer: report.peer,
            sends: report.sends,
            framing: report.framing,
            milliseconds: Math.round(time),
            firstByte: Math.round(firstByte),
            placed: report.placedAt === undefined ? undefined : Math.round(report.placedAt - call.arrivedAt),
            expectedTime: report.expectedTime === undefined ? undefined : Math.round(report.expectedTime),
            timeLeft: Math.round(call.deadline - call.arrivedAt),
            waited: waited > 0 ? Math.round(waited) : undefined,
            headerLines: call.rawHeaders.length / 2,
            bodyBytes: call.hasBody ? call.body.length : undefined,
            configuration: dependencies.configuration.getVersion(),
        });
    }
}

/** Returns the report of a call that was refused before any attempt. */
function createRefusal(failure: Failure): CallReport {
    return createReport(CallOutcome.Refused, failure);
}

/** Returns the report of a call that ended before any attempt. */
function createReport(outcome: CallOutcome, failure: Failure | undefined): CallReport {
    return {
        outcome,
        failure,
        sends: 0,
        runs: 0,
        endpoint: undefined,
        peer: undefined,
        framing: undefined,
        firstByteAt: undefined,
        expectedTime: undefined,
        placedAt: undefined,
    };
}

/** Returns the usage of a call that counts against its team's cap, in the team's unit. */
export function countUsageUnits(call: IncomingCall): number {
    if (call.team?.unit !== UsageUnit.Tokens) {
        return 1;
    }
    return call.prompt === undefined ? call.team.plainTokens : call.prompt.inputTokens + call.prompt.maxOutputTokens;
}

function chooseLogEvent(outcome: CallOutcome) {
    switch (outcome) {
        case CallOutcome.Completed:
        case CallOutcome.CallerDisconnected:
            return LogEvents.RequestServed;
        case CallOutcome.Refused:
        case CallOutcome.Rejected:
            return LogEvents.RequestRefused;
        case CallOutcome.Failed:
        case CallOutcome.Interrupted:
            return LogEvents.RequestFailed;
    }
}
