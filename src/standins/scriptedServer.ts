import { createServer, Server, Socket } from "node:net";
import { startOnLoopback } from "./routed/loopbackHttp.js";

/** Answers one request, whose head and body are given as text; `count` is the number of the request on its connection, from 1. */
export type RequestScript = (request: string, count: number, socket: Socket) => void;

/** A server on loopback that answers each request with the bytes that a script writes. Expects each request in one piece. */
export class ScriptedServer {
    /** Number of requests received on all connections. */
    requests = 0;
    /** Number of connections accepted. */
    connections = 0;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(script: RequestScript) {
        this.server = createServer(socket => {
            let count = 0;
            this.connections += 1;
            this.sockets.add(socket);
            socket.on("error", () => {});
            socket.once("close", () => this.sockets.delete(socket));
            socket.on("data", (request: Buffer) => {
                count += 1;
                this.requests += 1;
                script(request.toString("latin1"), count, socket);
            });
        });
    }

    static create(script: RequestScript): ScriptedServer {
        return new ScriptedServer(script);
    }

    /** Starts on a free port of loopback; returns its address as text. */
    start(): Promise<string> {
        return startOnLoopback(this.server);
    }

    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }
}
