import { readErrorCode } from "../common/failure.js";
import { NetworkAddress } from "../config/types.js";
import { EndpointConnector } from "./endpointConnector.js";

/** Error code of a connection that the host refused; other errors, such as an unreachable host, tell about the path. */
const refusedCode = "ECONNREFUSED";

/** Result of opening a connection to an address. */
export enum ProbeResult {
    Accepted = "accepted",
    /** Nothing listens there: the process has ended. */
    Refused = "refused",
    /** No response within the time limit: the process may be running behind a broken network path. */
    Unanswered = "unanswered",
}

/** Tells whether a process listens at an address. */
export interface ConnectionProbe {
    checkAddress(address: NetworkAddress): Promise<ProbeResult>;
}

/** Opens a connection and closes it at once. */
export class TcpConnectionProbe implements ConnectionProbe {
    private constructor(private readonly connector: EndpointConnector, private readonly timeLimit: number) {}

    /** The time limit is in milliseconds. */
    static create(connector: EndpointConnector, timeLimit: number): TcpConnectionProbe {
        return new TcpConnectionProbe(connector, timeLimit);
    }

    checkAddress(address: NetworkAddress): Promise<ProbeResult> {
        return new Promise(resolve => {
            const socket = this.connector.openConnection(address);
            const finish = (result: ProbeResult) => {
                socket.destroy();
                resolve(result);
            };
            socket.setTimeout(this.timeLimit, () => finish(ProbeResult.Unanswered));
            socket.once("connect", () => finish(ProbeResult.Accepted));
            socket.on("error", error => finish(readErrorCode(error) === refusedCode ? ProbeResult.Refused : ProbeResult.Unanswered));
        });
    }
}
