import { Agent, AgentOptions, ClientRequest, IncomingHttpHeaders } from "node:http";
import { Socket } from "node:net";
import { Duplex } from "node:stream";
import { millisecondsPerSecond } from "../common/units.js";
import { NetworkAddress } from "../config/types.js";

/** Time after its last data for which an idle connection is still trusted once another one has gone silent, in milliseconds. */
const trustedSilenceMilliseconds = 250;
const keepAlivePattern = /timeout=(\d+)/;

/** Longest time for which an attempt waits for data before its connection counts as silent, in milliseconds. */
const maximumSuspiciousMilliseconds = 1_000;
const suspiciousShareOfLimit = 0.5;

/** Returns the time without data, in milliseconds, after which the connection of an attempt that fails after `limit` counts as silent. */
export function computeSuspiciousSilence(limit: number): number {
    return Math.min(maximumSuspiciousMilliseconds, limit * suspiciousShareOfLimit);
}

/** Returns the idle timeout that an endpoint states in its Keep-Alive header, in milliseconds; undefined if it states none. */
export function readStatedIdleTimeout(headers: IncomingHttpHeaders): number | undefined {
    const seconds = keepAlivePattern.exec(headers["keep-alive"]?.toString() ?? "")?.[1];
    return seconds === undefined ? undefined : Number(seconds) * millisecondsPerSecond;
}

/** Options of a guarded agent. */
export interface GuardedAgentOptions extends AgentOptions {
    /** Returns how long a connection may be idle and still be reused, in milliseconds; 0 or less if not at all. */
    readonly getIdleLimit: (headersOfLastResponse: IncomingHttpHeaders) => number;
}

/** What an agent keeps of an idle connection. */
interface IdleConnection {
    /** Monotonic time of the last data received, in milliseconds: that of the last response's end. */
    readonly lastReceivedAt: number;
    /** Closes it; called when its idle limit passes or data arrives. */
    readonly destroy: () => void;
}

/**
 * Agent that closes an idle connection when its idle limit passes or data arrives on it. Such data belongs to no request, and a
 * response read after it might be one to another request.
 */
export class GuardedAgent extends Agent {
    private readonly idleConnections = new WeakMap<Duplex, IdleConnection>();

    protected constructor(private readonly guardOptions: GuardedAgentOptions) {
        super({ ...guardOptions, keepAlive: true });
    }

    static createGuarded(options: GuardedAgentOptions): GuardedAgent {
        return new GuardedAgent(options);
    }

    /**
     * Closes the idle connections, to one address or to all, that may have gone silent together with one in use; returns how many.
     * Those that received data lately stay.
     */
    closeSilent(address?: NetworkAddress): number {
        const heardBefore = performance.now() - trustedSilenceMilliseconds;
        const prefix = address === undefined ? "" : `${address.host}:${address.port}:`;
        const sockets = Object.entries(this.freeSockets).flatMap(([name, free]) => name.startsWith(prefix) ? free ?? [] : []);
        const unheard = sockets.filter(socket => (this.idleConnections.get(socket)?.lastReceivedAt ?? -Infinity) <= heardBefore);
        unheard.forEach(socket => socket.destroy());
        return unheard.length;
    }

    override keepSocketAlive(stream: Duplex): boolean {
        const socket = stream as Socket;
        const response = (stream as { _httpMessage?: { res?: { headers: IncomingHttpHeaders; }; }; })._httpMessage?.res;
        const limit = this.guardOptions.getIdleLimit(response?.headers ?? {});
        if (limit <= 0 || socket.readableLength > 0) {
            return false;
        }
        const destroy = () => void socket.destroy();
        this.idleConnections.set(socket, { lastReceivedAt: performance.now(), destroy });
        socket.on("data", destroy);
        socket.setTimeout(limit, destroy);
        // An idle connection must not keep a process from ending; the runtime refers to it again when it is reused.
        socket.unref();
        return true;
    }

    override reuseSocket(stream: Duplex, request: ClientRequest): void {
        const socket = stream as Socket;
        const idle = this.idleConnections.get(socket);
        if (idle !== undefined) {
            socket.off("data", idle.destroy);
            socket.off("timeout", idle.destroy);
        }
        socket.setTimeout(0);
        super.reuseSocket(stream, request);
    }
}
