import { DescMethod } from "@bufbuild/protobuf";
import { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import {
    createSecureServer,
    createServer,
    Http2SecureServer,
    Http2Server,
    IncomingHttpHeaders,
    ServerHttp2Session,
    ServerHttp2Stream,
} from "node:http2";
import { Socket } from "node:net";
import { startListening } from "../common/listening.js";
import { NetworkAddress } from "../config/types.js";
import { PeerService } from "../generated/corianderward/v1/peer_pb.js";
import { maximumPeerMessageBytes } from "./peerSessions.js";
import { TlsMaterial } from "./tlsMaterial.js";
import { PeerHandler } from "./types.js";

/** HTTP/2 server for calls of peers. When certificates are configured, a peer without a valid certificate is rejected. */
export class PeerServer {
    private readonly server: Http2Server | Http2SecureServer;
    private readonly sockets = new Set<Socket>();
    private closedBytes = 0;
    private readonly sessions = new Set<ServerHttp2Session>();
    private readonly pathsByStream = new Map<ServerHttp2Stream, string>();

    private constructor(routes: (router: ConnectRouter) => void, tls: TlsMaterial | undefined) {
        const listener = connectNodeAdapter({ routes, readMaxBytes: maximumPeerMessageBytes });
        this.server = createListeningServer(listener, tls);
        this.server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => {
                this.closedBytes += socket.bytesRead + socket.bytesWritten;
                this.sockets.delete(socket);
            });
        });
        this.server.on("session", session => {
            this.sessions.add(session);
            session.on("error", () => {});
            session.on("close", () => this.sessions.delete(session));
        });
        this.server.on("stream", (stream: ServerHttp2Stream, headers: IncomingHttpHeaders) => {
            this.pathsByStream.set(stream, headers[":path"] ?? "");
            stream.once("close", () => this.pathsByStream.delete(stream));
        });
    }

    static create(handler: PeerHandler, tls: TlsMaterial | undefined): PeerServer {
        return new PeerServer(router => addRoutes(router, handler), tls);
    }

    /** Creates a server for another service used between nodes. */
    static createForRoutes(routes: (router: ConnectRouter) => void, tls: TlsMaterial | undefined): PeerServer {
        return new PeerServer(routes, tls);
    }

    /** Starts listening; returns the bound address, with the port chosen by the operating system when port 0 was given. */
    async start(address: NetworkAddress): Promise<NetworkAddress> {
        return startListening(this.server, address);
    }

    /** Returns the number of bytes received and sent so far, on open and on closed connections. */
    countBytes(): number {
        let bytes = this.closedBytes;
        for (const socket of this.sockets) {
            bytes += socket.bytesRead + socket.bytesWritten;
        }
        return bytes;
    }

    /** Returns the number of peers' calls of a method whose response has not been sent in full. */
    countOpenCalls(method: DescMethod): number {
        const path = `/${method.parent.typeName}/${method.name}`;
        return [...this.pathsByStream.values()].filter(open => open === path).length;
    }

    /**
     * Stops listening and closes every session in order; resolves when the peers have closed their connections too. Bytes that arrive on a
     * destroyed connection reset it, and a peer loses what it has not read by then.
     */
    async finishSessions(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const session of this.sessions) {
            session.close();
        }
        await closed;
    }

    /** Stops listening and destroys every session and connection. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const session of this.sessions) {
            session.destroy();
        }
        // A connection that is still being established has no session yet, and would keep the server open.
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }
}

function createListeningServer(
    listener: ReturnType<typeof connectNodeAdapter>,
    tls: TlsMaterial | undefined,
): Http2Server | Http2SecureServer {
    if (tls === undefined) {
        return createServer(listener);
    }
    const server = createSecureServer({ ...tls.getOptions(), requestCert: true, rejectUnauthorized: true }, listener);
    server.on("tlsClientError", () => {});
    tls.addListener(options => server.setSecureContext(options));
    return server;
}

function addRoutes(router: ConnectRouter, handler: PeerHandler): void {
    router.service(PeerService, {
        exchange: async request => {
            if (request.digest === undefined) {
                return {};
            }
            return { digest: await handler.handleExchange(request.digest) };
        },
        fetchSharedObjects: request => handler.createSharedObjectsResponse(request.known),
        adoptRequest: async request => ({ accepted: await handler.adoptRequest(request) }),
        followRequest: (request, context) => handler.followRequest(request.requestId, request.offset, context.signal),
        forwardCall: request => handler.forwardCall(request),
        explainRequest: request => {
            const recordJson = handler.describeRequest(request.requestId);
            return { found: recordJson !== undefined, recordJson: recordJson ?? "" };
        },
    });
}
