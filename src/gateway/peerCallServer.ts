import { BodyBudget } from "../common/bodyBudget.js";
import { createSpent } from "../common/bodyReader.js";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { EventLog } from "../common/eventLog.js";
import { describeError, Failure } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { ForwardCallRequest } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { CallForwarder, CallOrigin } from "./callForwarder.js";
import { CallReader, RequestHead } from "./callReader.js";
import { ForwardCallEndInit, ForwardCallEventInit, PeerCallerResponse } from "./peerCallerResponse.js";
import { IncomingCall } from "./types.js";

/** Dependencies of the peer call server. */
export interface PeerCallServerDependencies {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly configuration: ConfigurationHolder;
    readonly reader: CallReader;
    readonly bodies: BodyBudget;
    readonly forwarder: CallForwarder;
    readonly getIsLeaving: () => boolean;
}

/** Forwards calls for peers that have lost their own network paths to the endpoints. The peer has enforced the team's usage cap. */
export class PeerCallServer {
    private constructor(private readonly dependencies: PeerCallServerDependencies) {}

    static create(dependencies: PeerCallServerDependencies): PeerCallServer {
        return new PeerCallServer(dependencies);
    }

    /** Forwards a peer's call; the events end with the call's outcome. The signal aborts when the peer gives it up or is lost. */
    serveCall(request: ForwardCallRequest, signal: AbortSignal): AsyncIterable<ForwardCallEventInit> {
        const caller = PeerCallerResponse.create(signal);
        void this.runCall(request, caller);
        return caller.readEvents();
    }

    private async runCall(request: ForwardCallRequest, caller: PeerCallerResponse): Promise<void> {
        const reservation = this.dependencies.bodies.addReservation(() => {}, this.dependencies.clock.getMonotonicTime());
        try {
            const hasRoom = reservation.takeRoom(request.body.length, this.dependencies.clock.getMonotonicTime());
            if (!hasRoom) {
                caller.endEvents(createEnd(createSpent()));
                return;
            }
            reservation.settle(request.body.length);
            const call = this.acceptCall(request);
            caller.endEvents(call.err ? createEnd(call.val) : await this.forwardCall(call.val, request, caller));
        }
        catch (error) {
            const cause = describeError(error);
            this.dependencies.log.log(LogEvents.TaskFailed, { task: "forward a peer's call", peer: request.node, cause });
            const failure = Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, cause);
            caller.endEvents(createEnd(failure));
        }
        finally {
            reservation.release();
        }
    }

    private async forwardCall(call: IncomingCall, request: ForwardCallRequest, caller: PeerCallerResponse): Promise<ForwardCallEndInit> {
        const origin: CallOrigin = { peer: request.node, runs: request.runs };
        const report = await this.dependencies.forwarder.forwardCall(call, caller, origin);
        this.dependencies.log.log(LogEvents.PeerCallForwarded, {
            request: call.id,
            peer: request.node,
            service: call.service,
            outcome: report.outcome,
            verdict: report.failure?.verdict,
            cause: report.failure?.text,
            endpoint: report.endpoint,
            milliseconds: Math.round(this.dependencies.clock.getMonotonicTime() - call.arrivedAt),
        });
        call.span.end(report.failure?.text);
        return { ...createEnd(report.failure), runs: report.runs - request.runs, endpoint: report.endpoint ?? "" };
    }

    private acceptCall(request: ForwardCallRequest): Result<IncomingCall, Failure> {
        const { clock, configuration, reader } = this.dependencies;
        const table = configuration.getTable();
        if (this.dependencies.getIsLeaving()) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Node_is_shutting_down));
        }
        if (table === undefined || configuration.getVersion() < Number(request.configurationVersion)) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Configuration_is_not_loaded));
        }
        const arrivedAt = clock.getMonotonicTime();
        const body = { bytes: Buffer.from(request.body.buffer, request.body.byteOffset, request.body.length), isPresent: request.hasBody };
        const call = reader.readCall(createHead(request), body, arrivedAt, table);
        if (call.err) {
            return call;
        }
        const isSameConfiguration = configuration.getVersion() === Number(request.configurationVersion);
        return Ok({
            ...call.val,
            service: isSameConfiguration ? request.service : call.val.service,
            lastEventId: request.lastEventId === "" ? undefined : request.lastEventId,
            deadline: arrivedAt + request.timeLeftMilliseconds,
        });
    }
}

function createHead(request: ForwardCallRequest): RequestHead {
    const headers: Record<string, string> = {};
    for (let index = 0; index + 1 < request.headers.length; index += 2) {
        headers[(request.headers[index] as string).toLowerCase()] ??= request.headers[index + 1] as string;
    }
    return { method: request.method, url: request.target, headers, rawHeaders: request.headers };
}

function createEnd(failure: Failure | undefined): ForwardCallEndInit {
    if (failure === undefined) {
        return { verdict: Verdict.Ran };
    }
    return {
        failureCode: failure.message.code,
        failureText: failure.text,
        verdict: failure.verdict,
        retryAfter: failure.retryAfterSeconds ?? 0,
    };
}
