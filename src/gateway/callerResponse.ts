import { ServerResponse } from "node:http";
import { sendResponse } from "../common/callerConnections.js";
import { abortConnection } from "../common/connectionAbort.js";
import { Failure } from "../common/failure.js";
import { millisecondsPerSecond } from "../common/units.js";

const problemContentType = "application/problem+json";

/** Returns the problem document of a failure. */
export function createProblem(failure: Failure): string {
    return JSON.stringify({
        code: `CW${failure.message.code}`,
        title: failure.text,
        status: failure.message.status,
        verdict: failure.verdict,
    });
}

/** Response to one caller, who may disconnect before it has ended. */
export interface CallerResponse {
    /** Returns a signal that aborts when the caller disconnects before its response has ended. */
    getDisconnectSignal(): AbortSignal;
    /** Returns whether the caller disconnected before its response had ended. */
    isCallerDisconnected(): boolean;
    /** Returns whether the response's status and headers have been sent. */
    hasStarted(): boolean;
    /** Sends the status and headers of an endpoint's response. The headers are a flat list of names and values. */
    startResponse(status: number, headers: string[]): void;
    /** Writes bytes of the body; returns false when the caller reads too slowly and the writer must wait for `waitForDrain`. */
    writeBytes(bytes: Buffer): boolean;
    /** Waits until the written bytes have been flushed or the caller has disconnected. */
    waitForDrain(): Promise<void>;
    /** Ends the response as complete. */
    finishResponse(lastBytes?: Buffer): void;
}

/** Writes the response to one caller over HTTP and detects when the caller disconnects. */
export class HttpCallerResponse implements CallerResponse {
    private readonly disconnectController = new AbortController();
    /** Failure with which the node ended the call when it stopped. */
    private endFailure: Failure | undefined;
    /** Whether the sent headers give the response neither a length nor chunks, so that the connection's end marks its end. */
    private endsWithConnection = false;
    private isCallForwarded = false;

    private constructor(
        private readonly response: ServerResponse,
        private readonly endsConnection: () => boolean,
        private readonly idleLimit: number,
    ) {
        response.once("close", () => {
            if (!response.writableFinished) {
                this.disconnectController.abort();
            }
        });
        response.on("error", () => this.disconnectController.abort());
        response.req.once("error", () => this.disconnectController.abort());
    }

    /**
     * `endsConnection` returns whether a head that is sent now announces the end of the connection. `idleLimit` is the time for which
     * the caller may leave its connection idle, in milliseconds.
     */
    static create(response: ServerResponse, endsConnection: () => boolean, idleLimit: number): HttpCallerResponse {
        return new HttpCallerResponse(response, endsConnection, idleLimit);
    }

    getDisconnectSignal(): AbortSignal {
        return this.disconnectController.signal;
    }

    isCallerDisconnected(): boolean {
        return this.disconnectController.signal.aborted;
    }

    /** Returns whether the caller has disconnected or has ended its side of the connection, which the runtime then closes soon. */
    hasCallerLeft(): boolean {
        return this.isCallerDisconnected() || this.response.req.socket.readableEnded;
    }

    hasStarted(): boolean {
        return this.response.headersSent;
    }

    startResponse(status: number, headers: string[]): void {
        this.addConnectionHeader(headers);
        this.response.writeHead(status, headers as unknown as never);
        this.endsWithConnection = !this.response.chunkedEncoding && !headers.includes("content-length");
    }

    writeBytes(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    waitForDrain(): Promise<void> {
        if (this.response.closed) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = () => {
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            this.response.once("drain", finish);
            this.response.once("close", finish);
        });
    }

    finishResponse(lastBytes?: Buffer): void {
        if (lastBytes === undefined || lastBytes.length === 0) {
            this.response.end();
            return;
        }
        this.response.end(lastBytes);
    }

    /**
     * Closes the connection without ending the response, so that the caller detects that it is truncated. An orderly end would
     * complete a response without a length or chunks.
     */
    abortResponse(): void {
        const { socket } = this.response;
        if (socket && this.endsWithConnection && !this.response.writableFinished) {
            abortConnection(socket);
            return;
        }
        this.response.destroy();
    }

    /**
     * Ends the call for a node that stops, and the running attempt with it: sends the failure if the response has not started. A
     * request that has not been read whole has not run; closing its connection tells its caller that.
     */
    endCall(failure: Failure, retryAfterHeader: string): void {
        this.endFailure = failure;
        if (this.hasStarted() || !this.response.req.complete) {
            this.abortResponse();
        }
        else {
            this.sendFailure(failure, undefined, retryAfterHeader);
        }
        this.disconnectController.abort();
    }

    /** Records that the call was handed to the forwarder, so that an endpoint may have got it. */
    markForwarded(): void {
        this.isCallForwarded = true;
    }

    /** Returns whether the call was handed to the forwarder. */
    isForwarded(): boolean {
        return this.isCallForwarded;
    }

    /** Returns whether the connection ended before the response had been sent completely, and its caller did not end it. */
    isCutOff(): boolean {
        const { socket } = this.response.req;
        return !this.response.writableFinished && !socket.readableEnded && !socket.errored;
    }

    /** Returns the failure with which the node ended the call; undefined if it did not. */
    getEndFailure(): Failure | undefined {
        return this.endFailure;
    }

    /** Sends a problem document for a failed request, unless the response has started. `retryAfter` is in seconds. */
    sendFailure(failure: Failure, retryAfter: number | undefined, retryAfterHeader: string): void {
        if (this.isCallerDisconnected() || this.hasStarted()) {
            return;
        }
        const body = Buffer.from(createProblem(failure));
        const headers = ["content-type", problemContentType, "content-length", String(body.length)];
        if (retryAfter !== undefined) {
            headers.push(retryAfterHeader, retryAfter.toFixed(2));
        }
        this.addConnectionHeader(headers);
        sendResponse(this.response, failure.message.status, headers, body);
    }

    /** Adds what the caller is told about the end of its connection. */
    private addConnectionHeader(headers: string[]): void {
        const { response } = this;
        if (this.endsConnection()) {
            headers.push("connection", "close");
            response.shouldKeepAlive = false;
            return;
        }
        if (response.shouldKeepAlive && (response.useChunkedEncodingByDefault || headers.includes("content-length"))) {
            // The runtime's own header names the time after which it closes the connection, which leaves none for a request on its way.
            headers.push("keep-alive", `timeout=${Math.floor(this.idleLimit / millisecondsPerSecond)}`);
        }
    }
}
