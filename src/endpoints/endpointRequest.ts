import { Agent, ClientRequest, IncomingMessage, OutgoingHttpHeaders, request as openHttpRequest } from "node:http";
import { Socket } from "node:net";
import { NetworkAddress } from "../config/types.js";
import { ConnectionVerdict } from "./connectionVerdict.js";

/** What is sent to an endpoint. Times are in milliseconds. */
export interface EndpointRequestOptions {
    readonly address: NetworkAddress;
    readonly method: string;
    readonly path: string;
    /** By name, or as a flat list of names and values that is sent as it stands. */
    readonly headers: OutgoingHttpHeaders | readonly string[];
    readonly body: Buffer | string | undefined;
    readonly agent: Agent;
    readonly connectTimeout: number;
    /** Longest silence on the connection once it is established. */
    readonly silenceLimit: number;
    readonly signal: AbortSignal;
}

/** The endpoint sent nothing for longer than allowed. */
export class SilenceError extends Error {
    private constructor(limit: number) {
        super(`nothing was received for ${limit} ms`);
    }

    static create(limit: number): SilenceError {
        return new SilenceError(limit);
    }
}

/**
 * One request to an endpoint, whose socket events tell what a failure proves.
 * The streams of the data path use the runtime's own client: docs/DESIGN.md gives the cost of the general one for each token.
 */
export class EndpointRequest {
    readonly connection = ConnectionVerdict.create();
    private readonly request: ClientRequest;
    private answer: IncomingMessage | undefined;
    private connectTimer: NodeJS.Timeout | undefined;

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
        this.connection.observeRequest(this.request);
        this.request.once("socket", socket => this.observeSocket(socket));
        this.request.on("timeout", () => this.request.destroy(SilenceError.create(options.silenceLimit)));
    }

    static create(options: EndpointRequestOptions): EndpointRequest {
        return new EndpointRequest(options);
    }

    /** Sends the request and waits for the head of the answer; rejects with the error of the connection. */
    send(): Promise<IncomingMessage> {
        return new Promise((resolve, reject) => {
            this.request.once("response", answer => {
                this.answer = answer;
                resolve(answer);
            });
            this.request.once("error", reject);
            // Later errors reach the reader of the answer.
            this.request.on("error", () => {});
            this.request.setTimeout(this.options.silenceLimit);
            this.request.end(this.options.body);
        });
    }

    /** Whether the request went out on a connection that had carried others before. */
    isConnectionReused(): boolean {
        return this.request.reusedSocket;
    }

    /** Ends the request; an answer that is still coming is dropped with its connection. */
    close(): void {
        clearTimeout(this.connectTimer);
        if (!this.request.destroyed && this.answer?.complete !== true) {
            this.request.destroy();
        }
    }

    private observeSocket(socket: Socket): void {
        if (!socket.connecting) {
            return;
        }
        const fail = () => this.request.destroy(new Error(`no connection within ${this.options.connectTimeout} ms`));
        this.connectTimer = setTimeout(fail, this.options.connectTimeout);
        socket.once("connect", () => clearTimeout(this.connectTimer));
        socket.once("close", () => clearTimeout(this.connectTimer));
    }
}

/** Reads an answer to its end, chunk by chunk; rejects when it breaks off. Stops early when the reader says so. */
export function readAnswerChunks(answer: IncomingMessage, handleChunk: (chunk: Buffer) => boolean): Promise<void> {
    return new Promise((resolve, reject) => {
        answer.on("data", (chunk: Buffer) => {
            if (!handleChunk(chunk)) {
                resolve();
            }
        });
        answer.once("end", resolve);
        answer.once("error", reject);
        answer.once("close", () => reject(new Error("the connection was closed")));
    });
}
