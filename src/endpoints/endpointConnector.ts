import { createConnection, Socket } from "node:net";
import { NetworkAddress } from "../config/types.js";

/**
 * Idle time after which the system probes a connection, in milliseconds. Its own count of probes decides when it gives up; a user
 * time-out, which would decide that as well, is not set.
 */
const keepAliveProbeMilliseconds = 1_000;

/** Opens connections to endpoints. */
export interface EndpointConnector {
    /** Returns a socket that is connecting to the address. */
    openConnection(address: NetworkAddress): Socket;
}

/** Opens TCP connections. */
export class TcpEndpointConnector implements EndpointConnector {
    private constructor() {}

    static create(): TcpEndpointConnector {
        return new TcpEndpointConnector();
    }

    openConnection(address: NetworkAddress): Socket {
        return createConnection({
            host: address.host,
            port: address.port,
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: keepAliveProbeMilliseconds,
        });
    }
}
