import { Agent, IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { EndpointRequest } from "../endpoints/endpointRequest.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { ReportedLoad } from "../fleet/types.js";
import { CallProtocol } from "./callProtocol.js";
import { IncomingCall } from "./types.js";

const statusMisdirected = 421;
/** Statuses that tell a caller that its request has not run; an endpoint that gives one without saying so is not believed. */
const promisingStatuses = new Set([408, 421, 429, 503]);
const statusOk = 200;
const statusRedirect = 300;
const maximumLoad = 100_000;

/** Where and how one attempt is sent. Times are in milliseconds. */
export interface ExchangeOptions {
    readonly call: IncomingCall;
    readonly endpoint: FleetEndpoint;
    readonly headers: readonly string[];
    readonly agent: Agent;
    readonly connectTimeout: number;
    /** Longest silence on the connection. */
    readonly silenceLimit: number;
    readonly signal: AbortSignal;
}

/** Sees how a connection ended while one answer is read from it. */
class ConnectionObserver {
    /** The endpoint ended its side in order: that marks the end of an answer without a length. */
    isEndedByEndpoint = false;
    hasError = false;
    private socket: Socket | undefined;
    private readonly handleEnd = () => {
        // A reset that comes together with data is read as an end; but a connection that was reset has no peer any more.
        this.isEndedByEndpoint = this.socket?.remoteAddress !== undefined;
    };
    private readonly handleError = () => {
        this.hasError = true;
    };

    private constructor() {}

    static create(): ConnectionObserver {
        return new ConnectionObserver();
    }

    start(socket: Socket): void {
        this.socket = socket;
        // Before the runtime's own handlers, which end the answer at once.
        socket.prependListener("end", this.handleEnd);
        socket.prependListener("error", this.handleError);
    }

    /** Stops watching: a kept connection serves many answers. */
    stop(): void {
        this.socket?.off("end", this.handleEnd);
        this.socket?.off("error", this.handleError);
    }
}

/** One attempt of a call at one endpoint: sends the request and judges the head of the answer. */
export class EndpointExchange {
    private readonly request: EndpointRequest;
    private readonly observer = ConnectionObserver.create();

    private constructor(private readonly options: ExchangeOptions, private readonly protocol: CallProtocol) {
        const { call, endpoint } = options;
        this.request = EndpointRequest.create({
            address: endpoint.entry.address,
            method: call.method,
            path: call.target,
            headers: options.headers,
            body: call.hasBody ? call.body : undefined,
            agent: options.agent,
            connectTimeout: options.connectTimeout,
            silenceLimit: options.silenceLimit,
            signal: options.signal,
        });
    }

    static create(options: ExchangeOptions, protocol: CallProtocol): EndpointExchange {
        return new EndpointExchange(options, protocol);
    }

    /** Sends the request; returns the answer whose head is the endpoint's own for this request, or a failure with its verdict. */
    async sendRequest(): Promise<Result<IncomingMessage, Failure>> {
        let answer: IncomingMessage;
        try {
            answer = await this.request.send();
        }
        catch (error) {
            return Err(this.request.connection.createFailure(error));
        }
        this.observer.start(answer.socket);
        const fault = this.checkHead(answer);
        if (fault === undefined) {
            return Ok(answer);
        }
        this.finishRefused(answer, fault);
        return Err(fault);
    }

    /** Whether a connection was established, so that the request may have arrived. */
    hasConnection(): boolean {
        return this.request.connection.getVerdict() !== Verdict.NotRun;
    }

    /** Ends the exchange; an answer that is still coming is dropped with its connection. */
    close(): void {
        this.observer.stop();
        this.request.close();
    }

    /** Whether an answer that has ended is whole. One without a length is whole only if the endpoint ended the connection in order. */
    isWhole(answer: IncomingMessage): boolean {
        if (!answer.complete || this.observer.hasError) {
            return false;
        }
        const hasLength = answer.headers["content-length"] !== undefined || answer.headers["transfer-encoding"] !== undefined;
        return hasLength || this.observer.isEndedByEndpoint;
    }

    /** Reads the load that the endpoint tells with an answer. */
    readLoad(answer: IncomingMessage): ReportedLoad | undefined {
        const header = answer.headers[this.protocol.load];
        if (typeof header !== "string") {
            return undefined;
        }
        const [running, waiting, slots] = header.split(",").map(Number);
        if (!isCount(running) || !isCount(waiting) || !isCount(slots)) {
            return undefined;
        }
        return { running, waiting, slots };
    }

    private checkHead(answer: IncomingMessage): Failure | undefined {
        const { protocol, options } = this;
        const status = answer.statusCode ?? 0;
        const named = answer.headers[protocol.attemptId];
        // On a kept connection an answer without the id may be a late one to an earlier request.
        const isOwn = named === options.call.id || (named === undefined && !this.request.isConnectionReused());
        if (!isOwn) {
            return Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_names_another_request_0, String(named));
        }
        if (status === statusMisdirected) {
            return Failure.create(Verdict.NotRun, Diagnostics.Another_endpoint_has_the_address);
        }
        if (answer.headers[protocol.notRun] !== undefined) {
            return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_before_running_0, `status ${status}`);
        }
        if (promisingStatuses.has(status)) {
            return Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_failed_with_status_0, status);
        }
        const isSuccess = status >= statusOk && status < statusRedirect;
        if (isSuccess && answer.headers[protocol.signature] === undefined) {
            return Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_sent_an_answer_that_cannot_be_read);
        }
        return undefined;
    }

    /** Lets a refusal end on its own, so that its connection can be kept; drops the connection of anything else. */
    private finishRefused(answer: IncomingMessage, fault: Failure): void {
        if (fault.verdict === Verdict.NotRun) {
            answer.on("error", () => this.request.close());
            answer.resume();
            return;
        }
        this.request.close();
    }
}

function isCount(value: number | undefined): value is number {
    return value !== undefined && Number.isInteger(value) && value >= 0 && value <= maximumLoad;
}
