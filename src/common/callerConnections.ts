import { IncomingMessage, Server, ServerResponse, STATUS_CODES } from "node:http";
import { Socket } from "node:net";
import { Diagnostics } from "./diagnostics.js";
import { describeError, Failure, readErrorCode } from "./failure.js";
import { bytesPerKibibyte, bytesPerMebibyte } from "./units.js";
import { Verdict } from "./verdict.js";

/**
 * Time for which bytes of a caller are discarded after a response that ends its connection, in milliseconds. Closing a connection on
 * which bytes arrive resets it, and the caller may lose the response.
 */
const lingerMilliseconds = 2_000;

/** Bytes of a caller that are discarded for the same reason. */
const lingerBytes = 16 * bytesPerMebibyte;
/** Parts of a body that are discarded: parts of a few bytes cost far more time than their bytes. */
const lingerParts = 4_096;
/** Requests that may wait on one connection for the responses before theirs. */
const waitingRequestLimit = 64;
/** Characters that the heads of the waiting requests of a connection may have together. */
const waitingHeadLimit = 128 * bytesPerKibibyte;

/** What a server tells callers and its operators about a request that cannot be parsed. */
export interface RejectionHandler {
    /** Returns the problem document of a failure. */
    createProblem(failure: Failure): string;
    /** Records a rejected request. `isAnswered` is false if its connection ended without a response to it. */
    recordRejection(failure: Failure, isAnswered: boolean, bytesRead: number): void;
    /** Records a connection that was closed to stay within a limit. */
    recordClosed(cause: ConnectionCloseCause, openConnections: number): void;
}

/** Why a connection of a caller was closed without an answer. */
export enum ConnectionCloseCause {
    TooManyConnections = "too many connections",
    TooManyWaitingRequests = "too many requests wait on the connection",
}

/** What a connection of a caller carries. */
interface ConnectionState {
    /** Responses that have not been sent completely, in the order of their requests. */
    readonly openResponses: Set<ServerResponse>;
    /** Characters of the heads of the requests of the open responses. */
    headSize: number;
    /** Number of requests whose heads have been read. */
    requestCount: number;
    /** Bytes that had been read when the last response was sent; more of them belong to a request that is still arriving. */
    bytesRead: number;
    /** Whether a response was sent that announced the end of the connection. */
    isClosing: boolean;
    /** Whether a request that cannot be parsed is being rejected. */
    isRejecting: boolean;
}

/**
 * Tracks the connections of callers, so that a node that stops closes those that carry no request, and no others, and so that no
 * request is taken from a connection on which it cannot be answered. Rejects requests that cannot be parsed.
 */
export class CallerConnections {
    private readonly states = new Map<Socket, ConnectionState>();
    private isClosingIdle = false;

    private constructor(server: Server, private readonly handler: RejectionHandler, private readonly connectionLimit: number) {
        server.on("connection", (socket: Socket) => {
            if (this.states.size >= this.connectionLimit) {
                this.closeForRoom(socket);
            }
            if (socket.destroyed) {
                return;
            }
            const state = {
                openResponses: new Set<ServerResponse>(),
                headSize: 0,
                requestCount: 0,
                bytesRead: 0,
                isClosing: false,
                isRejecting: false,
            };
            this.states.set(socket, state);
            socket.once("close", () => this.removeConnection(socket));
        });
        server.on("clientError", (error, socket) => this.handleParserError(error, socket as Socket));
    }

    /** Beyond `connectionLimit` connections, one that carries no whole request makes room for a new one. */
    static create(server: Server, handler: RejectionHandler, connectionLimit = Infinity): CallerConnections {
        return new CallerConnections(server, handler, connectionLimit);
    }

    /**
     * Records that a request was received, whose response is open until it is sent completely or its connection is closed. Returns
     * whether the request may be served, once the earlier requests on its connection have been answered: not if one of their
     * responses ends the connection.
     */
    async addResponse(socket: Socket, response: ServerResponse): Promise<boolean> {
        const state = this.states.get(socket);
        if (state === undefined || socket.destroyed) {
            closeQueuedResponse(response);
            return false;
        }
        const headSize = countHeadSize(response.req);
        if (
            state.openResponses.size > waitingRequestLimit || (state.openResponses.size > 0 && state.headSize + headSize > waitingHeadLimit)
        ) {
            this.handler.recordClosed(ConnectionCloseCause.TooManyWaitingRequests, this.states.size);
            socket.destroy();
            closeQueuedResponse(response);
            return false;
        }
        state.headSize += headSize;
        // The last one is sent after all others; waiting for each would take a listener for every pair of requests.
        const earlier = [...state.openResponses].slice(-1);
        state.requestCount += 1;
        state.openResponses.add(response);
        response.once("close", () => this.removeResponse(socket, state, response));
        await waitUntilClosed(earlier);
        return !state.isClosing && !socket.destroyed;
    }

    /** Returns whether a request was received behind the one of a response, on the same connection. */
    hasLaterRequest(socket: Socket, response: ServerResponse): boolean {
        const open = [...this.states.get(socket)?.openResponses ?? []];
        return open.length > 0 && open[open.length - 1] !== response;
    }

    /**
     * Closes the connection that is least likely to be missed: the oldest that has sent no whole head, else the oldest idle one, else
     * the oldest whose request has not arrived whole. Closes the new one if all others carry requests that are being served.
     */
    private closeForRoom(newest: Socket): void {
        let idle: Socket | undefined;
        let unread: Socket | undefined;
        let unused: Socket | undefined;
        for (const [socket, state] of this.states) {
            if (state.openResponses.size > 0) {
                unread ??= [...state.openResponses].every(response => !response.req.complete) ? socket : undefined;
            }
            else if (state.requestCount === 0) {
                unused = socket;
                break;
            }
            else {
                idle ??= socket;
            }
        }
        this.handler.recordClosed(ConnectionCloseCause.TooManyConnections, this.states.size);
        const victim = unused ?? idle ?? unread ?? newest;
        this.states.delete(victim);
        victim.destroy();
    }

    private removeConnection(socket: Socket): void {
        const queued = [...this.states.get(socket)?.openResponses ?? []].filter(response => !response.socket);
        this.states.delete(socket);
        // The runtime closes only the first open response of a connection; those behind it would stay open.
        queued.forEach(response => response.emit("close"));
    }

    private removeResponse(socket: Socket, state: ConnectionState, response: ServerResponse): void {
        state.openResponses.delete(response);
        state.headSize -= countHeadSize(response.req);
        state.isClosing ||= !response.shouldKeepAlive;
        if (state.openResponses.size === 0) {
            state.bytesRead = socket.bytesRead;
            if (this.isClosingIdle) {
                this.closeIfIdle(socket, state);
            }
        }
    }

    /** Closes the connections that carry no request, from now on also each one whose last response ends. */
    startClosingIdle(): void {
        this.isClosingIdle = true;
        this.closeIdle();
    }

    /** Closes the connections that carry no request. */
    closeIdle(): void {
        this.states.forEach((state, socket) => this.closeIfIdle(socket, state));
    }

    private closeIfIdle(socket: Socket, state: ConnectionState): void {
        if (state.openResponses.size === 0 && !state.isRejecting && socket.bytesRead === state.bytesRead) {
            // Not ended in order: a request that is under way would still be read and could not be answered any more.
            socket.destroy();
        }
    }

    private handleParserError(error: Error, socket: Socket): void {
        const state = this.states.get(socket);
        const failure = createParserFailure(error);
        if (state === undefined || failure === undefined || socket.bytesRead === 0) {
            socket.destroy();
            return;
        }
        if (state.isRejecting) {
            // Bytes behind the rejected ones: they belong to no request.
            return;
        }
        void this.rejectRequest(failure, socket, state);
    }

    /** Answers a request that cannot be parsed after the earlier ones on its connection, and closes the connection. */
    private async rejectRequest(failure: Failure, socket: Socket, state: ConnectionState): Promise<void> {
        const { requestCount } = state;
        const open = [...state.openResponses];
        const unread = open.find(response => !response.req.complete);
        state.isRejecting = true;
        await waitUntilClosed(open.filter(response => response !== unread || response.headersSent));
        if (state.requestCount > requestCount || unread?.req.complete === true) {
            // The rest of a late request arrived while an earlier one was being served.
            state.isRejecting = false;
            return;
        }
        const problem = this.handler.createProblem(failure);
        const isAnswered = socket.writable && !state.isClosing && unread?.headersSent !== true;
        state.isClosing = true;
        if (!isAnswered) {
            socket.destroySoon();
        }
        else if (unread !== undefined) {
            sendResponse(unread, failure.message.status, createLastHeaders(problem), problem);
        }
        else {
            socket.end(formatResponse(failure.message.status, problem));
            const timer = setTimeout(() => socket.destroy(), lingerMilliseconds);
            socket.once("close", () => clearTimeout(timer));
        }
        this.handler.recordRejection(failure, isAnswered, socket.bytesRead);
    }
}

/**
 * Sends a whole response. If its request has not been read whole, the response and its connection end once the rest has been discarded,
 * for a limited time. The headers are a flat list of names and values.
 */
export function sendResponse(response: ServerResponse, status: number, headers: readonly string[], body: string | Buffer): void {
    response.writeHead(status, headers as unknown as never);
    if (response.req.complete) {
        response.end(body);
        return;
    }
    response.write(body);
    void drainRequest(response.req).then(() => response.end());
}

/** Discards what is left of a request until it has been read whole or its connection has closed, for a limited time and up to a limit of bytes and of parts. */
async function drainRequest(request: IncomingMessage): Promise<void> {
    const lastByte = request.socket.bytesRead + lingerBytes;
    let parts = 0;
    await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, lingerMilliseconds);
        request.on("data", () => {
            parts += 1;
            if (parts > lingerParts || request.socket.bytesRead > lastByte) {
                resolve();
            }
        });
        request.resume();
        request.once("close", () => {
            clearTimeout(timer);
            resolve();
        });
    });
}

/** Closes a response that waits behind others on a connection that ends: the runtime closes only the first one. */
function closeQueuedResponse(response: ServerResponse): void {
    if (!response.socket) {
        setImmediate(() => response.emit("close"));
    }
}

function countHeadSize(request: IncomingMessage): number {
    return request.rawHeaders.reduce((sum, text) => sum + text.length, request.url?.length ?? 0);
}

async function waitUntilClosed(responses: readonly ServerResponse[]): Promise<void> {
    await Promise.all(responses.map(response => new Promise(resolve => response.once("close", resolve))));
}

/** Returns the failure of a request that the runtime's parser gave up; undefined if the connection was lost. */
function createParserFailure(error: Error): Failure | undefined {
    const code = readErrorCode(error);
    switch (code) {
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return Failure.create(Verdict.NotRun, Diagnostics.Request_was_not_complete_in_time);
        case "HPE_HEADER_OVERFLOW":
            return Failure.create(Verdict.NotRun, Diagnostics.Headers_are_too_large);
        case "HPE_INVALID_EOF_STATE":
            return undefined;
        default:
            return code.startsWith("HPE_")
                ? Failure.create(Verdict.NotRun, Diagnostics.Request_cannot_be_parsed_0, describeError(error))
                : undefined;
    }
}

/** Returns the headers of a problem document that ends its connection, as a flat list of names and values. */
function createLastHeaders(problem: string): string[] {
    return ["content-type", "application/problem+json", "content-length", String(Buffer.byteLength(problem)), "connection", "close"];
}

/** Formats a response to a request for which the runtime has made none. */
function formatResponse(status: number, problem: string): string {
    const headers = createLastHeaders(problem);
    const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`];
    for (let index = 0; index < headers.length; index += 2) {
        lines.push(`${headers[index]}: ${headers[index + 1]}`);
    }
    return [...lines, "", problem].join("\r\n");
}
