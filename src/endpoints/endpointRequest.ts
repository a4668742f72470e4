import { Agent, ClientRequest, IncomingMessage, OutgoingHttpHeaders, request as openHttpRequest } from "node:http";
import { Socket } from "node:net";
import { unlimitedHeaderLines } from "../common/headCheck.js";
import { observeInterimResponses } from "../common/interimResponses.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { ConnectionTracker } from "./connectionTracker.js";
import { readFraming, ResponseEndObserver, ResponseFraming } from "./responseEnd.js";

/** Contents, target and limits of a request to an endpoint. Times are in milliseconds. */
export interface EndpointRequestOptions {
    readonly address: NetworkAddress;
    readonly method: string;
    readonly path: string;
    /** Headers by name, or a flat list of alternating names and values that is sent unchanged. */
    readonly headers: OutgoingHttpHeaders | readonly string[];
    readonly body: Buffer | string | undefined;
    readonly agent: Agent;
    readonly connectTimeout: number;
    /** Longest time without socket activity; unless a handler is given, the request fails with a SilenceError when it is exceeded. */
    readonly silenceLimit: number;
    /** Called each time the silence limit has passed without socket activity; the request goes on. */
    readonly handleSilence?: () => void;
    /** Time without data on its connection after which it is likely silent for good, in milliseconds. */
    readonly suspiciousSilence: number;
    /** Called when that time has passed, once for each silence. */
    readonly handleSuspiciousSilence: () => void;
    readonly signal: AbortSignal;
}

/** Number of checks in a row without data that make a silence. */
const silentCheckCount = 2;

/** Reports that the endpoint sent nothing for longer than the silence limit. */
export class SilenceError extends Error {
    private constructor(limit: number) {
        super(`nothing was received for ${limit} ms`);
    }

    static create(limit: number): SilenceError {
        return new SilenceError(limit);
    }
}

/**
 * Sends one HTTP request to an endpoint and tracks its connection, so that a failure carries the right verdict.
 * Data path streams use the runtime's own HTTP client, because a general client costs more for each token (see docs/DESIGN.md).
 */
export class EndpointRequest {
    readonly connection = ConnectionTracker.create();
    private readonly request: ClientRequest;
    private readonly endObserver = ResponseEndObserver.create();
    private response: IncomingMessage | undefined;
    private connectTimer: NodeJS.Timeout | undefined;
    private silenceTimer: NodeJS.Timeout | undefined;
    private bytesRead = 0;
    private silentChecks = 0;

    private constructor(private readonly options: EndpointRequestOptions) {
        const { address, method, path, headers, agent, signal } = options;
        this.request = openHttpRequest({
            host: address.host,
            port: address.port,
            method,
            path,
            headers: headers as OutgoingHttpHeaders,
            agent,
            signal,
        });
        this.request.maxHeadersCount = unlimitedHeaderLines;
        this.connection.observeRequest(this.request);
        this.request.once("socket", socket => this.observeSocket(socket));
        observeInterimResponses(this.request, cause => this.request.destroy(new Error(cause)));
        this.request.on("timeout", () => this.handleTimeout());
    }

    static create(options: EndpointRequestOptions): EndpointRequest {
        return new EndpointRequest(options);
    }

    /** Sends the request and waits for the response's status and headers; rejects with the connection error. */
    send(): Promise<IncomingMessage> {
        return new Promise((resolve, reject) => {
            this.request.once("response", response => {
                this.response = response;
                this.endObserver.start(response.socket);
                resolve(response);
            });
            this.request.once("error", reject);
            // Later errors are reported by the response stream; without a listener they would be uncaught.
            this.request.on("error", () => {});
            this.request.setTimeout(this.options.silenceLimit);
            this.silenceTimer = setInterval(() => this.checkSilence(), this.options.suspiciousSilence / silentCheckCount);
            this.request.end(this.options.body);
        });
    }

    /** Returns whether the request was sent on a connection that had carried earlier requests. */
    isConnectionReused(): boolean {
        return this.request.reusedSocket;
    }

    /** Returns whether the endpoint is to send data: it has the request on its connection, and this side reads what it sends. */
    isWaitingForData(): boolean {
        const isReading = this.response === undefined || (!this.response.complete && !this.response.isPaused());
        return this.connection.getVerdict() !== Verdict.NotRun && isReading;
    }

    /** Returns for how many milliseconds, to half of the suspicious silence, the connection has received nothing while data was due. */
    getSilence(): number {
        return this.silentChecks * this.options.suspiciousSilence / silentCheckCount;
    }

    /** Reads the response chunk by chunk until it ends or `handleChunk` returns false; rejects when it is truncated. */
    readChunks(handleChunk: (chunk: Buffer) => boolean): Promise<void> {
        const { response } = this;
        if (response === undefined) {
            return Promise.reject(new Error("there is no response yet"));
        }
        return new Promise((resolve, reject) => {
            const fail = () => reject(new Error("the connection was closed before the response ended"));
            response.on("data", (chunk: Buffer) => {
                try {
                    if (!handleChunk(chunk)) {
                        resolve();
                    }
                }
                catch (error) {
                    // An exception in an event handler would end the process, and with it the calls of all other callers.
                    reject(error as Error);
                }
            });
            response.once("end", () => this.isResponseComplete() ? resolve() : fail());
            response.once("error", reject);
            response.once("close", fail);
        });
    }

    /** Returns whether the response has ended and is complete by its framing. */
    isResponseComplete(): boolean {
        return this.response !== undefined && this.endObserver.isComplete(this.response);
    }

    /** Returns whether the response has neither a length nor chunks, so that only the end of its connection marks its own. */
    isResponseEndedByClose(): boolean {
        return this.response !== undefined && readFraming(this.response) === ResponseFraming.UntilClose;
    }

    /** Ends the request; closes its connection if the response is still incomplete. */
    close(): void {
        clearTimeout(this.connectTimer);
        clearInterval(this.silenceTimer);
        this.endObserver.stop();
        if (!this.request.destroyed && this.response?.complete !== true) {
            this.request.destroy();
        }
    }

    private handleTimeout(): void {
        const { handleSilence, silenceLimit } = this.options;
        if (handleSilence === undefined) {
            this.request.destroy(SilenceError.create(silenceLimit));
            return;
        }
        handleSilence();
        this.request.setTimeout(silenceLimit);
    }

    /** Counts checks and not the time between them: while this process stands still, it receives nothing either. */
    private checkSilence(): void {
        const bytesRead = this.request.socket?.bytesRead ?? 0;
        if (bytesRead !== this.bytesRead || !this.isWaitingForData()) {
            this.bytesRead = bytesRead;
            this.silentChecks = 0;
            return;
        }
        this.silentChecks += 1;
        if (this.silentChecks === silentCheckCount) {
            this.options.handleSuspiciousSilence();
        }
    }

    private observeSocket(socket: Socket): void {
        this.bytesRead = socket.bytesRead;
        if (!socket.connecting) {
            return;
        }
        const fail = () => this.request.destroy(new Error(`no connection was established within ${this.options.connectTimeout} ms`));
        this.connectTimer = setTimeout(fail, this.options.connectTimeout);
        socket.once("connect", () => clearTimeout(this.connectTimer));
        socket.once("close", () => clearTimeout(this.connectTimer));
    }
}
