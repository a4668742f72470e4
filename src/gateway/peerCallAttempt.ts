import { Diagnostics, findDiagnosticMessage } from "../common/diagnostics.js";
import { describeError, Failure, isConnectFailure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ForwardCallEnd, ForwardCallEvent, ResponseHead } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { GatewayPeer } from "../gossip/types.js";
import { CallerResponse } from "./callerResponse.js";
import { PeerForwarder } from "./peerForwarder.js";
import { bufferedResponseBytes, EventStreamRelay, isEventStream } from "./responseRelay.js";
import { IncomingCall } from "./types.js";

/** Interval at which an attempt reports that the session to its peer is silent, in milliseconds. */
const silenceReportMilliseconds = 250;

/** A call that is handed to a peer. Times are monotonic milliseconds. */
export interface PeerAttemptOptions {
    readonly call: IncomingCall;
    readonly caller: CallerResponse;
    readonly peer: GatewayPeer;
    readonly stream: EventStreamRelay | undefined;
    readonly configurationVersion: number;
    readonly timeLeft: number;
    /** Number of endpoints that may have run the call before. */
    readonly runs: number;
    /** Called, again and again, while the session to the peer is silent. */
    handleSilence(): void;
    /** Called before the response of the peer, or a further part of it, is relayed. */
    readonly handleResponse: () => void;
}

/** Result of a call that was handed to a peer; without a failure, the complete response was written to the caller. */
export interface PeerAttemptResult {
    readonly failure: Failure | undefined;
    /** Number of endpoints that may have run the call for the peer. */
    readonly runs: number;
    readonly endpoint: string | undefined;
    readonly isPastDeadline: boolean;
    /** Whether the session was lost after the call was handed over; the peer itself may work. */
    readonly isSessionLost: boolean;
}

/**
 * Hands a call to a peer and relays the peer's response. A response that is useful only when complete is buffered until it is, unless
 * it is large, so that the call can be retried, or answered as failed, when the peer is lost meanwhile.
 */
export class PeerCallAttempt {
    private readonly abortController = new AbortController();
    private isPastDeadline = false;
    private isSessionLost = false;
    private silenceTimer: NodeJS.Timeout | undefined;
    /** Whether it was aborted because another attempt serves the call. */
    private isSuperseded = false;
    private head: ResponseHead | undefined;
    private buffered: Buffer[] = [];
    private bufferedSize = 0;

    private constructor(private readonly peers: PeerForwarder, private readonly options: PeerAttemptOptions) {}

    static create(peers: PeerForwarder, options: PeerAttemptOptions): PeerCallAttempt {
        return new PeerCallAttempt(peers, options);
    }

    /** Runs the attempt until the response is relayed or the attempt has failed. */
    async run(): Promise<PeerAttemptResult> {
        const { caller, timeLeft } = this.options;
        const abort = () => this.abortController.abort();
        const disconnectSignal = caller.getDisconnectSignal();
        disconnectSignal.addEventListener("abort", abort);
        const timer = setTimeout(() => {
            this.isPastDeadline = true;
            abort();
        }, Math.max(1, timeLeft));
        try {
            const result = await this.forwardCall();
            return this.isSuperseded && result.failure !== undefined ? this.createSupersededResult(result.failure) : result;
        }
        finally {
            clearTimeout(timer);
            disconnectSignal.removeEventListener("abort", abort);
            abort();
        }
    }

    /** Aborts the attempt, since another one serves the call. */
    abort(): void {
        this.isSuperseded = true;
        this.abortController.abort();
    }

    private createSupersededResult({ verdict }: Failure): PeerAttemptResult {
        this.isSessionLost = false;
        const failure = Failure.create(verdict, Diagnostics.Another_attempt_serves_the_request);
        return this.createResult(failure, verdict === Verdict.NotRun ? 0 : 1);
    }

    private async forwardCall(): Promise<PeerAttemptResult> {
        const { call, peer, stream, configurationVersion, timeLeft, runs } = this.options;
        const address = parseAddress(peer.address) as NetworkAddress;
        const handed = await this.peers.client.forwardCall(address, {
            node: this.peers.getNodeName(),
            method: call.method,
            target: call.target,
            headers: [...call.rawHeaders],
            body: call.body,
            hasBody: call.hasBody,
            configurationVersion: BigInt(configurationVersion),
            service: call.service,
            timeLeftMilliseconds: timeLeft,
            lastEventId: stream?.getLastEventId() ?? call.lastEventId ?? "",
            runs,
        }, this.abortController.signal);
        if (handed.err) {
            return this.createResult(handed.val, 0);
        }
        const { events, silenceSignal } = handed.val;
        const leaveSession = () => this.handleSessionSilence();
        silenceSignal.addEventListener("abort", leaveSession);
        try {
            return await this.relayEvents(events);
        }
        catch (error) {
            return this.createLostResult(error);
        }
        finally {
            silenceSignal.removeEventListener("abort", leaveSession);
            clearInterval(this.silenceTimer);
        }
    }

    /** Reports the silence again and again: there may be nothing yet that takes the call. */
    private handleSessionSilence(): void {
        this.options.handleSilence();
        this.silenceTimer = setInterval(() => this.options.handleSilence(), silenceReportMilliseconds);
    }

    private async relayEvents(events: AsyncIterable<ForwardCallEvent>): Promise<PeerAttemptResult> {
        const { caller } = this.options;
        let stream: EventStreamRelay | undefined;
        for await (const { event } of events) {
            if (this.abortController.signal.aborted) {
                break;
            }
            if (event.case === "head") {
                stream = this.findStream(event.value);
                if (caller.hasStarted() && stream === undefined) {
                    const { status } = event.value;
                    return this.createResult(Failure.create(Verdict.Ran, Diagnostics.Endpoint_failed_with_status_0, status), 1);
                }
                this.head = event.value;
            }
            else if (event.case === "body") {
                await this.writeBytes(Buffer.from(event.value), stream);
            }
            else if (event.case === "end") {
                return this.finishResponse(event.value);
            }
        }
        return this.createLostResult(new Error("the events ended early"));
    }

    /** Returns the relay of the call's event stream, ready for the events of another node; undefined if the response is no stream. */
    private findStream(head: ResponseHead): EventStreamRelay | undefined {
        const index = head.headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === "content-type");
        if (!isEventStream(head.status, index < 0 ? undefined : head.headers[index + 1])) {
            return undefined;
        }
        this.options.handleResponse();
        this.options.stream?.removeIncompleteEvent();
        return this.options.stream;
    }

    private startResponse(): void {
        const { caller, handleResponse } = this.options;
        handleResponse();
        if (this.head !== undefined && !caller.hasStarted()) {
            caller.startResponse(this.head.status, this.head.headers);
        }
    }

    private async writeBytes(bytes: Buffer, stream: EventStreamRelay | undefined): Promise<void> {
        const { caller } = this.options;
        this.bufferedSize += bytes.length;
        if (stream === undefined && !caller.hasStarted() && this.bufferedSize <= bufferedResponseBytes) {
            this.buffered.push(bytes);
            return;
        }
        this.startResponse();
        const isFlushed = stream === undefined
            ? caller.writeBytes(Buffer.concat([...this.buffered.splice(0), bytes]))
            : stream.writeEvents(bytes);
        if (!isFlushed) {
            await caller.waitForDrain();
        }
    }

    private finishResponse(end: ForwardCallEnd): PeerAttemptResult {
        if (end.failureCode === 0) {
            this.startResponse();
            this.options.caller.finishResponse(Buffer.concat(this.buffered));
            return this.createResult(undefined, end.runs, end.endpoint);
        }
        const verdict = Object.values(Verdict).find(known => known === end.verdict) ?? Verdict.MayHaveRun;
        const retryAfter = end.retryAfter > 0 ? end.retryAfter : undefined;
        const failure = Failure.createFormatted(verdict, findDiagnosticMessage(end.failureCode), end.failureText, retryAfter);
        return this.createResult(failure, end.runs, end.endpoint);
    }

    /** Creates the result of an attempt whose peer was lost: its outcome is unknown, unless no connection to the peer was established. */
    private createLostResult(error: unknown): PeerAttemptResult {
        const isNotRun = error instanceof Error && isConnectFailure(error.cause);
        const verdict = isNotRun ? Verdict.NotRun : Verdict.MayHaveRun;
        this.isSessionLost = !isNotRun && !this.isPastDeadline;
        const failure = Failure.create(verdict, Diagnostics.Node_at_0_did_not_answer_1, this.options.peer.address, describeError(error));
        return this.createResult(failure, isNotRun ? 0 : 1);
    }

    private createResult(failure: Failure | undefined, runs: number, endpoint = ""): PeerAttemptResult {
        const { isPastDeadline, isSessionLost } = this;
        return { failure, runs, endpoint: endpoint === "" ? undefined : endpoint, isPastDeadline, isSessionLost };
    }
}
