import { Agent, IncomingHttpHeaders } from "node:http";
import { Socket } from "node:net";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { closeIdleConnections } from "../common/idleConnections.js";
import { LogEvents } from "../common/logEvents.js";
import { EndpointConnector } from "../endpoints/endpointConnector.js";
import { GuardedAgent, readStatedIdleTimeout } from "../endpoints/guardedAgent.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";

/** Longest idle time after which a connection is reused, even if the endpoint allows more. */
const maximumIdleMilliseconds = 10_000;
/** Idle limit for endpoints that send no Keep-Alive timeout; theirs may be below one second, the smallest value of the header. */
const defaultIdleMilliseconds = 300;
/** Fraction of the endpoint's idle timeout that is used, since the endpoint may close the connection while the next request is in transit. */
const usedShareOfIdleTimeout = 0.6;
/** Time within which the silence of two parties is taken for one event that may have silenced any connection, in milliseconds. */
const jointSilenceMilliseconds = 2_000;
/** Shortest time between two closings of the idle connections to all endpoints, in milliseconds: endpoints that are only slow cause them too. */
const jointClosingPauseMilliseconds = 5_000;

/** A party that has gone silent, and when, in monotonic milliseconds. */
interface Silence {
    readonly party: string;
    readonly at: number;
}

/** Pools the connections to one endpoint. */
class EndpointAgent extends GuardedAgent {
    private constructor(private readonly endpoint: FleetEndpoint, private readonly connector: EndpointConnector) {
        super({
            scheduling: "lifo",
            maxFreeSockets: Infinity,
            getIdleLimit: headers => endpoint.isUsable() ? computeIdleLimit(headers) : 0,
        });
    }

    static create(endpoint: FleetEndpoint, connector: EndpointConnector): EndpointAgent {
        return new EndpointAgent(endpoint, connector);
    }

    override createConnection(): Socket {
        return this.connector.openConnection(this.endpoint.entry.address);
    }
}

/** Returns how long a connection may be idle after a response with the given headers, in milliseconds. */
function computeIdleLimit(headers: IncomingHttpHeaders): number {
    const stated = readStatedIdleTimeout(headers);
    return stated === undefined ? defaultIdleMilliseconds : Math.min(maximumIdleMilliseconds, stated * usedShareOfIdleTimeout);
}

/** Keeps one pool of reusable connections for each endpoint. */
export class EndpointConnectionPool {
    private readonly agents = new Map<FleetEndpoint, EndpointAgent>();

    private lastSilence: Silence = { party: "", at: -Infinity };
    private allClosedAt = -Infinity;

    private constructor(
        private readonly connector: EndpointConnector,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(connector: EndpointConnector, clock: Clock, log: EventLog): EndpointConnectionPool {
        return new EndpointConnectionPool(connector, clock, log);
    }

    /** Returns the agent that pools the connections of an endpoint. */
    getAgent(endpoint: FleetEndpoint): Agent {
        const existing = this.agents.get(endpoint);
        if (existing !== undefined) {
            return existing;
        }
        const agent = EndpointAgent.create(endpoint, this.connector);
        this.agents.set(endpoint, agent);
        return agent;
    }

    /** Closes the idle connections of an endpoint that receives no more requests; those in use close after their responses. */
    closeIdle(endpoint: FleetEndpoint): void {
        const agent = this.agents.get(endpoint);
        if (agent !== undefined) {
            closeIdleConnections(agent);
        }
    }

    /** Closes the connections of an endpoint that carry no request, and those that are not established yet: their requests have not been sent. */
    closeUnused(endpoint: FleetEndpoint): void {
        this.closeIdle(endpoint);
        const sockets = Object.values(this.agents.get(endpoint)?.sockets ?? {}).flatMap(open => open ?? []);
        sockets.filter(socket => socket.connecting).forEach(socket => socket.destroy());
    }

    /**
     * Closes the idle connections of an endpoint that may have gone silent together with one on which a call waits too long for
     * data. Those that received data lately stay, so that a sound endpoint which is silent for a moment loses its connections once.
     */
    closeSilent(endpoint: FleetEndpoint): void {
        const closed = this.agents.get(endpoint)?.closeSilent() ?? 0;
        if (closed > 0) {
            this.log.log(LogEvents.IdleConnectionsClosed, {
                endpoint: endpoint.entry.id,
                connections: closed,
                evidence: "a call got no data",
            });
        }
        this.recordSilence(endpoint.entry.id);
    }

    /**
     * Records that a party has gone silent that sent data before. When another one did so shortly before, whatever silenced both may
     * have silenced any connection: the idle ones to all endpoints are closed then, but for those that received data lately.
     */
    recordSilence(party: string): void {
        const now = this.clock.getMonotonicTime();
        const previous = this.lastSilence;
        this.lastSilence = { party, at: now };
        const isJoint = previous.party !== party && now - previous.at <= jointSilenceMilliseconds;
        if (!isJoint || now - this.allClosedAt < jointClosingPauseMilliseconds) {
            return;
        }
        this.allClosedAt = now;
        const closed = [...this.agents.values()].map(agent => agent.closeSilent()).filter(count => count > 0);
        if (closed.length > 0) {
            this.log.log(LogEvents.IdleConnectionsClosed, {
                endpoints: closed.length,
                connections: closed.reduce((sum, count) => sum + count),
                evidence: `${previous.party} and ${party} went silent`,
            });
        }
    }

    /** Closes the idle connections of an endpoint that left the fleet and removes its pool. */
    removeEndpoint(endpoint: FleetEndpoint): void {
        this.closeIdle(endpoint);
        this.agents.delete(endpoint);
    }
}
