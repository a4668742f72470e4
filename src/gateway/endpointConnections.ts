import { Agent, ClientRequest } from "node:http";
import { Socket } from "node:net";
import { Duplex } from "node:stream";
import { millisecondsPerSecond } from "../common/units.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";

/** Longest idle time after which a connection is used again, whatever the endpoint allows, in milliseconds. */
const longestIdleMilliseconds = 10_000;
/** An endpoint that states no idle timeout may have one below a second, the smallest that the header can tell. */
const unstatedIdleMilliseconds = 300;
/** Part of a stated idle timeout that is used: the endpoint may close while the next request is on its way. */
const usedShareOfIdleTimeout = 0.6;
const keepAlivePattern = /timeout=(\d+)/;

/** Keeps connections to one endpoint, each only for as long as the endpoint allows and only while nothing came on it unasked. */
class EndpointAgent extends Agent {
    private readonly strayHandlers = new WeakMap<Duplex, () => void>();

    private constructor() {
        super({ keepAlive: true, scheduling: "lifo", maxFreeSockets: Infinity });
    }

    static create(): EndpointAgent {
        return new EndpointAgent();
    }

    override keepSocketAlive(stream: Duplex): boolean {
        const socket = stream as Socket;
        const answer = (stream as { _httpMessage?: { res?: { headers: Record<string, string | undefined>; }; }; })._httpMessage?.res;
        const limit = readIdleLimit(answer?.headers["keep-alive"]);
        if (limit <= 0 || socket.readableLength > 0) {
            return false;
        }
        // Bytes on an idle connection belong to no request, so nothing after them can be trusted.
        const destroy = () => void socket.destroy();
        this.strayHandlers.set(socket, destroy);
        socket.on("data", destroy);
        socket.setTimeout(limit, destroy);
        return true;
    }

    override reuseSocket(stream: Duplex, request: ClientRequest): void {
        const socket = stream as Socket;
        const destroy = this.strayHandlers.get(socket);
        if (destroy !== undefined) {
            socket.off("data", destroy);
            socket.off("timeout", destroy);
        }
        socket.setTimeout(0);
        super.reuseSocket(stream, request);
    }
}

function readIdleLimit(header: string | undefined): number {
    const stated = header === undefined ? undefined : keepAlivePattern.exec(header)?.[1];
    if (stated === undefined) {
        return unstatedIdleMilliseconds;
    }
    return Math.min(longestIdleMilliseconds, Number(stated) * millisecondsPerSecond * usedShareOfIdleTimeout);
}

/** The kept connections of every endpoint. */
export class EndpointConnections {
    private readonly agents = new Map<FleetEndpoint, EndpointAgent>();

    private constructor() {}

    static create(): EndpointConnections {
        return new EndpointConnections();
    }

    /** Returns the connections of an endpoint. */
    getAgent(endpoint: FleetEndpoint): Agent {
        const known = this.agents.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const agent = EndpointAgent.create();
        this.agents.set(endpoint, agent);
        return agent;
    }

    /** Closes the idle connections of an endpoint that gets no more requests; those in use end with their answers. */
    closeIdle(endpoint: FleetEndpoint): void {
        const agent = this.agents.get(endpoint);
        for (const sockets of Object.values(agent?.freeSockets ?? {})) {
            sockets?.forEach(socket => socket.destroy());
        }
    }

    /** Forgets an endpoint that is gone. */
    removeEndpoint(endpoint: FleetEndpoint): void {
        this.closeIdle(endpoint);
        this.agents.delete(endpoint);
    }
}
