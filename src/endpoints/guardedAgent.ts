import { Agent, AgentOptions, ClientRequest, IncomingHttpHeaders } from "node:http";
import { Socket } from "node:net";
import { Duplex } from "node:stream";
import { millisecondsPerSecond } from "../common/units.js";

const keepAlivePattern = /timeout=(\d+)/;

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

/**
 * Agent that closes an idle connection when its idle limit passes or data arrives on it. Such data belongs to no request, and a
 * response read after it might be one to another request.
 */
export class GuardedAgent extends Agent {
    private readonly unexpectedDataHandlers = new WeakMap<Duplex, () => void>();

    protected constructor(private readonly guardOptions: GuardedAgentOptions) {
        super({ ...guardOptions, keepAlive: true });
    }

    static createGuarded(options: GuardedAgentOptions): GuardedAgent {
        return new GuardedAgent(options);
    }

    override keepSocketAlive(stream: Duplex): boolean {
        const socket = stream as Socket;
        const response = (stream as { _httpMessage?: { res?: { headers: IncomingHttpHeaders; }; }; })._httpMessage?.res;
        const limit = this.guardOptions.getIdleLimit(response?.headers ?? {});
        if (limit <= 0 || socket.readableLength > 0) {
            return false;
        }
        const destroy = () => void socket.destroy();
        this.unexpectedDataHandlers.set(socket, destroy);
        socket.on("data", destroy);
        socket.setTimeout(limit, destroy);
        // An idle connection must not keep a process from ending; the runtime refers to it again when it is reused.
        socket.unref();
        return true;
    }

    override reuseSocket(stream: Duplex, request: ClientRequest): void {
        const socket = stream as Socket;
        const destroy = this.unexpectedDataHandlers.get(socket);
        if (destroy !== undefined) {
            socket.off("data", destroy);
            socket.off("timeout", destroy);
        }
        socket.setTimeout(0);
        super.reuseSocket(stream, request);
    }
}
