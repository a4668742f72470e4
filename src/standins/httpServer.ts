import express, { Express } from "express";
import { createServer, IncomingMessage, Server } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { abortConnection } from "../common/connectionAbort.js";

const keepAliveMilliseconds = 10_000;

/** A small HTTP server of a stand-in that can die at once, with all its connections. */
export class StandInServer {
    private readonly sockets = new Set<Socket>();
    private closedBytes = 0;
    private frozenSockets = new Set<Socket>();

    private readonly earlyHandlers: ((request: IncomingMessage) => boolean)[] = [];

    private constructor(readonly app: Express, private readonly server: Server) {
        server.on("request", (request, response) => {
            if (!this.earlyHandlers.some(handle => handle(request))) {
                app(request, response);
            }
        });
        server.keepAliveTimeout = keepAliveMilliseconds;
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => (this.closedBytes += socket.bytesRead + socket.bytesWritten));
            socket.on("error", () => {});
            socket.on("close", () => {
                this.sockets.delete(socket);
                this.frozenSockets.delete(socket);
            });
        });
    }

    static create(jsonLimit = "4mb"): StandInServer {
        const app = express();
        app.disable("x-powered-by");
        app.use(express.json({ limit: jsonLimit, strict: false }));
        return new StandInServer(app, createServer());
    }

    /** Adds a handler that sees requests before their bodies are read; true means that it has dealt with the request. */
    addEarlyHandler(handle: (request: IncomingMessage) => boolean): void {
        this.earlyHandlers.push(handle);
    }

    /** Starts listening on a free port of a loopback address. */
    async start(host = "127.0.0.1", port = 0): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
    }

    getAddress(): { host: string; port: number; } {
        const address = this.server.address() as AddressInfo;
        return { host: address.address, port: address.port };
    }

    getUrl(): string {
        const address = this.getAddress();
        return `http://${address.host}:${address.port}`;
    }

    /** Ends every connection at once and stops listening, as a killed process does. */
    async kill(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const socket of this.sockets) {
            abortConnection(socket);
        }
        await closed;
    }

    /** Returns the bytes received and sent so far. */
    countBytes(): number {
        let bytes = this.closedBytes;
        for (const socket of this.sockets) {
            bytes += socket.bytesRead + socket.bytesWritten;
        }
        return bytes;
    }

    /** Makes the open connections silent for good; new connections work. */
    silenceConnections(): number {
        for (const socket of this.sockets) {
            socket.pause();
            socket.write = () => false;
            this.frozenSockets.add(socket);
        }
        return this.frozenSockets.size;
    }
}
