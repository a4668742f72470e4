import { BeforeErrorHook } from "got";
import { Agent } from "node:http";

/** Closes the connections of an agent that carry no request. */
export function closeIdleConnections(agent: Agent): void {
    for (const sockets of Object.values(agent.freeSockets)) {
        sockets?.forEach(socket => socket.destroy());
    }
}

/**
 * Creates a hook for got that closes an agent's idle connections after a request without a response: what silenced its connection may
 * have silenced them too, and every request sent on one of them would wait in vain.
 */
export function createIdleConnectionHook(agent: Agent): BeforeErrorHook {
    return error => {
        closeIdleConnections(agent);
        return error;
    };
}
