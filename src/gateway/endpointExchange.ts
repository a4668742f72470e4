import { IncomingMessage } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { findResponseFault } from "../common/headCheck.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";
import { EndpointRequest } from "../endpoints/endpointRequest.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { ReportedLoad } from "../fleet/types.js";
import { CallProtocol } from "./callProtocol.js";
import { EndpointConnectionPool } from "./endpointConnectionPool.js";
import { EndpointCrashCheck } from "./endpointCrashCheck.js";
import { IncomingCall } from "./types.js";

const statusMisdirected = 421;
/** Statuses of requests that have not run. In an endpoint's response they have this meaning only together with the not-run header. */
const notRunStatuses = new Set([408, 421, 429, 503]);
const statusOk = 200;
const statusRedirect = 300;
const statusTooManyRequests = 429;
const statusUnavailable = 503;
const maximumLoadCount = 100_000;
/** Percentage by which an endpoint states that work takes its usual time. */
const usualPercent = 100;
/** Longest pause that an endpoint can request, in milliseconds; a longer one is more likely an error than a planned absence. */
const maximumRequestedPauseMilliseconds = 300_000;

/** What an endpoint said of itself in the headers of a response. */
export interface EndpointNotice {
    /** Whether it is leaving and gets no new requests. */
    readonly isLeaving: boolean;
    /** Time for which it wants no more requests from this node, in milliseconds; undefined if it stated none. */
    readonly requestedPause: number | undefined;
    /** Number of rejections in a second that it survives; undefined if they do it no harm. */
    readonly rejectionLimit: number | undefined;
}

/** Number of probes by which an endpoint is found to be there still after a response that ended with its connection. */
const maximumProbesAtEnd = 2;

/** Time without data after which other connections of the endpoint are in doubt, in milliseconds, as are those of a quick call. */
const minimumSilenceMilliseconds = 300;
/** The same as a multiple of the expected time: slow calls are no evidence. */
const silenceTimeRatio = 3;

/** Target, headers and limits of one attempt. Times are in milliseconds. */
export interface ExchangeOptions {
    readonly call: IncomingCall;
    readonly endpoint: FleetEndpoint;
    readonly headers: readonly string[];
    readonly connections: EndpointConnectionPool;
    /** Expected time until the endpoint sends the response, or the first event of a stream. */
    readonly expectedTime: number;
    readonly connectTimeout: number;
    /** Longest time without socket activity. */
    readonly silenceLimit: number;
    readonly signal: AbortSignal;
}

/** Sends the request of one attempt to its endpoint and validates the status and headers of the response. */
export class EndpointExchange {
    private readonly request: EndpointRequest;
    private notice: EndpointNotice | undefined;

    private constructor(
        private readonly options: ExchangeOptions,
        private readonly protocol: CallProtocol,
        private readonly crashCheck: EndpointCrashCheck,
    ) {
        const { call, endpoint } = options;
        this.request = EndpointRequest.create({
            address: endpoint.entry.address,
            method: call.method,
            path: call.target,
            headers: options.headers,
            body: call.hasBody ? call.body : undefined,
            agent: options.connections.getAgent(endpoint),
            connectTimeout: options.connectTimeout,
            silenceLimit: options.silenceLimit,
            suspiciousSilence: Math.max(minimumSilenceMilliseconds, options.expectedTime * silenceTimeRatio),
            handleSuspiciousSilence: () => options.connections.closeSilent(endpoint),
            signal: options.signal,
        });
    }

    static create(options: ExchangeOptions, protocol: CallProtocol, crashCheck: EndpointCrashCheck): EndpointExchange {
        return new EndpointExchange(options, protocol, crashCheck);
    }

    /** Sends the request; returns the response once its headers prove valid for this request, or a failure with its verdict. */
    async sendRequest(): Promise<Result<IncomingMessage, Failure>> {
        let response: IncomingMessage;
        try {
            response = await this.request.send();
        }
        catch (error) {
            return Err(this.request.connection.createFailure(error));
        }
        if (this.isFromEndpoint(response)) {
            this.notice = this.readNotice(response);
        }
        const failure = this.checkHead(response);
        if (failure === undefined) {
            return Ok(response);
        }
        this.finishRejectedResponse(response, failure);
        return Err(failure);
    }

    /** Returns what the endpoint said of itself in the response; undefined before the response, or if another endpoint sent it. */
    getNotice(): EndpointNotice | undefined {
        return this.notice;
    }

    /** Returns whether a connection was established, so that the request may have arrived. */
    hasConnection(): boolean {
        return this.request.connection.getVerdict() !== Verdict.NotRun;
    }

    /** Returns whether the request was sent on a connection that had carried earlier requests. */
    isConnectionReused(): boolean {
        return this.request.isConnectionReused();
    }

    /** Returns whether the exchange was aborted, so that its response is not relayed any further. */
    isAborted(): boolean {
        return this.options.signal.aborted;
    }

    /** Returns whether the endpoint is to send data: it has the request, and what it sends is read. */
    isWaitingForData(): boolean {
        return this.request.isWaitingForData();
    }

    /** Returns for how many milliseconds its connection has received nothing while the endpoint was to send data. */
    getSilence(): number {
        return this.request.getSilence();
    }

    /** Ends the exchange; closes the connection if the response is still incomplete. */
    close(): void {
        this.request.close();
    }

    /**
     * Returns whether the response has ended and is complete. One without a length or chunks is complete only if its endpoint
     * closed the connection in an orderly way and is still there, or had planned its end: the connections of a process that
     * crashes may be closed in the same way.
     */
    async isComplete(): Promise<boolean> {
        if (!this.request.isResponseComplete()) {
            return false;
        }
        const { endpoint } = this.options;
        if (!this.request.isResponseEndedByClose() || !endpoint.isUsable()) {
            return true;
        }
        // Not only if another endpoint can be reached: all of them may have crashed at once, and then nothing proves the end.
        return !await this.crashCheck.isRefusing(endpoint, maximumProbesAtEnd);
    }

    /** Reads the load from the response headers; returns undefined when the header is missing or invalid. */
    readLoad(response: IncomingMessage): ReportedLoad | undefined {
        const header = response.headers[this.protocol.load];
        if (typeof header !== "string") {
            return undefined;
        }
        const [running, waiting, slots, percent] = header.split(",").map(Number);
        if (!isCount(running) || !isCount(waiting) || !isCount(slots)) {
            return undefined;
        }
        return { running, waiting, slots, slowness: isCount(percent) && percent > 0 ? percent / usualPercent : undefined };
    }

    /** Returns whether a response belongs to this attempt and was sent by the expected endpoint. */
    private isFromEndpoint(response: IncomingMessage): boolean {
        return this.isForThisAttempt(response) && response.statusCode !== statusMisdirected;
    }

    private isForThisAttempt(response: IncomingMessage): boolean {
        const responseAttemptId = response.headers[this.protocol.attemptId];
        // On a reused connection, a response without the id may be a late response to an earlier request.
        return responseAttemptId === this.options.call.id || (responseAttemptId === undefined && !this.isConnectionReused());
    }

    private readNotice(response: IncomingMessage): EndpointNotice {
        const status = response.statusCode ?? 0;
        const isRefusal = status === statusUnavailable || status === statusTooManyRequests;
        return {
            isLeaving: response.headers[this.protocol.leaving] === "1",
            requestedPause: isRefusal ? parseRequestedPause(response.headers[this.protocol.retryAfter]) : undefined,
            rejectionLimit: parseRejectionLimit(response.headers[this.protocol.rejectionLimit]),
        };
    }

    private checkHead(response: IncomingMessage): Failure | undefined {
        const { protocol } = this;
        const headFault = findResponseFault(response);
        if (headFault !== undefined) {
            return createUnreadableAnswerFailure(headFault);
        }
        const status = response.statusCode ?? 0;
        if (!this.isForThisAttempt(response)) {
            return Failure.create(
                Verdict.MayHaveRun,
                Diagnostics.Answer_names_another_request_0,
                String(response.headers[protocol.attemptId]),
            );
        }
        if (status === statusMisdirected) {
            return Failure.create(Verdict.NotRun, Diagnostics.Another_endpoint_has_the_address);
        }
        if (response.headers[protocol.notRun] !== undefined) {
            return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_before_running_0, `status ${status}`);
        }
        if (notRunStatuses.has(status)) {
            return Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_failed_with_status_0, status);
        }
        const isSuccess = status >= statusOk && status < statusRedirect;
        if (isSuccess && response.headers[protocol.signature] === undefined) {
            return createUnreadableAnswerFailure(`header '${protocol.signature}' is missing`);
        }
        return undefined;
    }

    /** Discards a rejected response. Drains a refusal, so that its connection can be reused; closes the connection of any other. */
    private finishRejectedResponse(response: IncomingMessage, failure: Failure): void {
        if (failure.verdict === Verdict.NotRun) {
            response.on("error", () => this.request.close());
            response.resume();
            return;
        }
        this.request.close();
    }
}

function createUnreadableAnswerFailure(cause: string): Failure {
    return Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_sent_an_answer_that_cannot_be_read_0, cause);
}

/** Returns the pause that a Retry-After header states in seconds, in milliseconds; undefined for a date or any other value. */
function parseRequestedPause(header: string | string[] | undefined): number | undefined {
    const seconds = typeof header === "string" && header.trim() !== "" ? Number(header) : NaN;
    if (!(seconds > 0)) {
        return undefined;
    }
    return Math.min(seconds * millisecondsPerSecond, maximumRequestedPauseMilliseconds);
}

/** Returns the number of rejections that a response states; undefined if it states none or no such number. */
function parseRejectionLimit(header: string | string[] | undefined): number | undefined {
    const limit = typeof header === "string" && header.trim() !== "" ? Number(header) : NaN;
    return isCount(limit) ? limit : undefined;
}

function isCount(value: number | undefined): value is number {
    return value !== undefined && Number.isInteger(value) && value >= 0 && value <= maximumLoadCount;
}
