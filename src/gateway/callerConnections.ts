import { Server, ServerResponse } from "node:http";
import { Socket } from "node:net";

/** What a connection of a caller carries. */
interface ConnectionState {
    /** Responses that have not been sent completely, in the order of their requests. */
    readonly openResponses: Set<ServerResponse>;
    /** Bytes that had been read when the last response was sent; more of them belong to a request that is still arriving. */
    bytesRead: number;
    /** Whether a response was sent that announced the end of the connection. */
    isClosing: boolean;
}

/**
 * Tracks the connections of callers, so that a node that stops closes those that carry no request, and no others, and so that no
 * request is taken from a connection on which it cannot be answered.
 */
export class CallerConnections {
    private readonly states = new Map<Socket, ConnectionState>();
    private isClosingIdle = false;

    private constructor(server: Server) {
        server.on("connection", (socket: Socket) => {
            this.states.set(socket, { openResponses: new Set(), bytesRead: 0, isClosing: false });
            socket.once("close", () => this.states.delete(socket));
        });
    }

    static create(server: Server): CallerConnections {
        return new CallerConnections(server);
    }

    /**
     * Records that a request was received, whose response is open until it is sent completely or its connection is closed. Returns
     * whether the request may be served, once the earlier requests on its connection have been answered: not if one of their
     * responses ends the connection.
     */
    async addResponse(socket: Socket, response: ServerResponse): Promise<boolean> {
        const state = this.states.get(socket);
        if (state === undefined || state.isClosing) {
            return false;
        }
        const earlier = [...state.openResponses];
        state.openResponses.add(response);
        response.once("close", () => this.removeResponse(socket, state, response));
        if (earlier.length > 0) {
            await Promise.all(earlier.map(other => new Promise(resolve => other.once("close", resolve))));
        }
        return !state.isClosing && !socket.destroyed;
    }

    /** Returns whether a request was received behind the one of a response, on the same connection. */
    hasLaterRequest(socket: Socket, response: ServerResponse): boolean {
        const open = [...this.states.get(socket)?.openResponses ?? []];
        return open.length > 0 && open[open.length - 1] !== response;
    }

    private removeResponse(socket: Socket, state: ConnectionState, response: ServerResponse): void {
        state.openResponses.delete(response);
        state.isClosing ||= !response.shouldKeepAlive;
        if (state.openResponses.size === 0) {
            state.bytesRead = socket.bytesRead;
            this.closeIfIdle(socket, state);
        }
    }

    /** Closes the connections that carry no request, from now on also each one whose last response ends. */
    closeIdle(): void {
        this.isClosingIdle = true;
        this.states.forEach((state, socket) => this.closeIfIdle(socket, state));
    }

    private closeIfIdle(socket: Socket, state: ConnectionState): void {
        if (this.isClosingIdle && state.openResponses.size === 0 && socket.bytesRead === state.bytesRead) {
            // Not ended in order: a request that is under way would still be read and could not be answered any more.
            socket.destroy();
        }
    }
}
