import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { EventLog } from "../common/eventLog.js";
import { Failure } from "../common/failure.js";
import { startListening } from "../common/listening.js";
import { LogEvents } from "../common/logEvents.js";
import { bytesPerKibibyte, bytesPerMebibyte, millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { CallerLimits, UsageUnit } from "../routes/types.js";
import { CallerAnswer } from "./callerAnswer.js";
import { CallForwarder, CallReport } from "./callForwarder.js";
import { CallBody, CallReader } from "./callReader.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import { chooseRetryAfter } from "./retryAfter.js";
import { CallOutcome, IncomingCall } from "./types.js";

/** Limits before the operator's are known; generous, since nothing is served by then. */
const initialLimits: CallerLimits = {
    headerBytes: 64 * bytesPerKibibyte,
    bodyBytes: 4 * bytesPerMebibyte,
    headerTimeout: 10_000,
    idleTimeout: 60_000,
};
/** Time beyond the idle limit for which a connection is kept, in milliseconds: a request may be on its way. */
const idleMarginMilliseconds = 2_000;
/** Backlog of connections that are not accepted yet: a burst of new callers after many nodes ended at once. */
const listenBacklog = 1_024;

/** What the server works with. */
export interface GatewayServerParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: GatewayMetrics;
    readonly configuration: ConfigurationHolder;
    readonly reader: CallReader;
    readonly forwarder: CallForwarder;
    readonly caps: SharedRateLimiter;
    readonly retryAfterHeader: string;
}

/** Serves callers by the routes in force. */
export class GatewayServer {
    private readonly server: Server;
    private limits = initialLimits;
    private openCalls = 0;
    private isStopping = false;

    private constructor(private readonly parts: GatewayServerParts) {
        this.server = createServer({
            maxHeaderSize: initialLimits.headerBytes,
            headersTimeout: initialLimits.headerTimeout,
            keepAliveTimeout: initialLimits.idleTimeout,
            requestTimeout: 0,
            noDelay: true,
        }, (request, response) => void this.serveRequest(request, response));
        this.server.on("clientError", (_error, socket) => socket.destroy());
        parts.configuration.addListener(table => this.applyLimits(table.configuration.limits));
    }

    static create(parts: GatewayServerParts): GatewayServer {
        return new GatewayServer(parts);
    }

    async start(address: NetworkAddress): Promise<NetworkAddress> {
        return startListening(this.server, address, listenBacklog);
    }

    /** Returns how many calls have not ended. */
    countOpenCalls(): number {
        return this.openCalls;
    }

    /** Tells callers with each answer that the connection ends; the listener stays open. */
    startDraining(): void {
        this.isStopping = true;
    }

    /** Stops listening and closes the connections that carry no request. */
    closeIdle(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    /** Ends every connection, also those that carry requests. */
    closeAll(): void {
        this.server.closeAllConnections();
    }

    /** Applies the operator's limits; a shorter idle limit spares callers who still go by the longer one. */
    private applyLimits(limits: CallerLimits): void {
        const longestIdle = this.parts.configuration.getTable() === undefined ? 0 : this.limits.idleTimeout;
        this.limits = { ...limits, idleTimeout: Math.max(limits.idleTimeout, longestIdle) };
        this.server.keepAliveTimeout = this.limits.idleTimeout + idleMarginMilliseconds;
        this.server.headersTimeout = limits.headerTimeout + idleMarginMilliseconds;
    }

    private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, configuration } = this.parts;
        const arrivedAt = clock.getMonotonicTime();
        const caller = CallerAnswer.create(response, () => this.isStopping);
        this.openCalls += 1;
        response.once("close", () => {
            this.openCalls -= 1;
        });
        const body = await this.readBody(request);
        if (body instanceof Failure) {
            response.shouldKeepAlive = false;
            this.rejectCall(request, caller, body);
            return;
        }
        if (body === undefined) {
            return;
        }
        const table = configuration.getTable();
        if (table === undefined) {
            this.rejectCall(request, caller, Failure.create(Verdict.NotRun, Diagnostics.Configuration_is_not_loaded));
            return;
        }
        const call = this.parts.reader.readCall(request, body, arrivedAt, table);
        if (call.err) {
            this.rejectCall(request, caller, call.val);
            return;
        }
        await this.serveCall(call.val, caller);
    }

    private async serveCall(call: IncomingCall, caller: CallerAnswer): Promise<void> {
        const overCap = this.takeUsage(call);
        if (overCap !== undefined) {
            this.finishCall(call, caller, {
                outcome: CallOutcome.Refused,
                failure: overCap,
                sends: 0,
                endpoint: undefined,
                firstByteAt: undefined,
            });
            return;
        }
        const report = await this.parts.forwarder.forwardCall(call, caller);
        this.finishCall(call, caller, report);
    }

    /** Reads the whole body; undefined when the caller left, a failure when it is too large. */
    private async readBody(request: IncomingMessage): Promise<CallBody | Failure | undefined> {
        const limit = this.limits.bodyBytes;
        const createTooLarge = () => Failure.create(Verdict.NotRun, Diagnostics.Body_is_larger_than_0_bytes, limit);
        const stated = request.headers["content-length"];
        const isPresent = stated !== undefined || request.headers["transfer-encoding"] !== undefined;
        if (Number(stated ?? 0) > limit) {
            return createTooLarge();
        }
        if (!isPresent) {
            request.resume();
            return { bytes: Buffer.alloc(0), isPresent };
        }
        const chunks: Buffer[] = [];
        let size = 0;
        try {
            for await (const chunk of request as AsyncIterable<Buffer>) {
                size += chunk.length;
                if (size > limit) {
                    return createTooLarge();
                }
                chunks.push(chunk);
            }
        }
        catch {
            // The caller left in the middle of its body: there is nobody to answer.
            return undefined;
        }
        return { bytes: chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks), isPresent };
    }

    /** Takes what a call uses of its team's cap; returns the refusal when there is too little left. */
    private takeUsage(call: IncomingCall): Failure | undefined {
        const { team } = call;
        if (team === undefined || team.rate === 0) {
            return undefined;
        }
        const units = countUnits(call);
        const refusal = this.parts.caps.takeUnits(team, units, units);
        if (refusal === undefined) {
            return undefined;
        }
        const message = Diagnostics.Team_0_is_over_its_usage_cap_1_units_asked_2_of_3_passed;
        const { passed, allowed, wait } = refusal;
        return Failure.create(Verdict.NotRun, message, team.name, units, Math.round(passed), Math.round(allowed)).setRetryAfter(wait);
    }

    private rejectCall(request: IncomingMessage, caller: CallerAnswer, failure: Failure): void {
        const { parts } = this;
        const isRefusal = failure.message.status === Diagnostics.Configuration_is_not_loaded.status;
        const outcome = isRefusal ? CallOutcome.Refused : CallOutcome.Rejected;
        caller.sendFailure(failure, isRefusal ? 1 : undefined, parts.retryAfterHeader);
        parts.metrics.calls.inc({ service: "", outcome, cause: String(failure.message.code) });
        parts.log.log(LogEvents.RequestRefused, {
            outcome,
            status: failure.message.status,
            cause: failure.text,
            host: request.headers.host,
            configuration: parts.configuration.getVersion(),
        });
    }

    private finishCall(call: IncomingCall, caller: CallerAnswer, report: CallReport): void {
        const { parts } = this;
        const { failure, outcome } = report;
        if (outcome === CallOutcome.Broken) {
            caller.abortAnswer();
        }
        else if (failure !== undefined) {
            const timeLeft = call.deadline - parts.clock.getMonotonicTime();
            const retryAfter = failure.verdict === Verdict.NotRun ? chooseRetryAfter(failure, timeLeft) : undefined;
            caller.sendFailure(failure, retryAfter, parts.retryAfterHeader);
        }
        this.recordCall(call, report);
    }

    private recordCall(call: IncomingCall, report: CallReport): void {
        const { parts } = this;
        const { failure, outcome } = report;
        call.span.end(failure?.text);
        const time = parts.clock.getMonotonicTime() - call.arrivedAt;
        const firstByte = (report.firstByteAt ?? call.arrivedAt + time) - call.arrivedAt;
        const cause = failure === undefined ? "" : String(failure.message.code);
        parts.metrics.calls.inc({ service: call.service, outcome, cause });
        parts.metrics.duration.observe({ route: call.route.name, outcome }, time / millisecondsPerSecond);
        parts.metrics.firstByte.observe({ route: call.route.name }, firstByte / millisecondsPerSecond);
        parts.log.log(chooseLogEvent(outcome), {
            request: call.id,
            route: call.route.name,
            service: call.service,
            team: call.team?.name,
            outcome,
            verdict: failure?.verdict,
            cause: failure?.text,
            endpoint: report.endpoint,
            sends: report.sends,
            milliseconds: Math.round(time),
            firstByte: Math.round(firstByte),
            timeLeft: Math.round(call.deadline - call.arrivedAt),
            configuration: parts.configuration.getVersion(),
        });
    }
}

/** Returns what a call uses of its team's cap, in the team's unit. */
export function countUnits(call: IncomingCall): number {
    if (call.team?.unit !== UsageUnit.Tokens) {
        return 1;
    }
    return call.prompt === undefined ? call.team.plainTokens : call.prompt.inputTokens + call.prompt.maxOutputTokens;
}

function chooseLogEvent(outcome: CallOutcome) {
    switch (outcome) {
        case CallOutcome.Answered:
        case CallOutcome.CallerLeft:
            return LogEvents.RequestServed;
        case CallOutcome.Refused:
        case CallOutcome.Rejected:
            return LogEvents.RequestRefused;
        case CallOutcome.Failed:
        case CallOutcome.Broken:
            return LogEvents.RequestFailed;
    }
}
