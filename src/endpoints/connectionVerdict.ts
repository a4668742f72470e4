import { ClientRequest } from "node:http";
import { Socket } from "node:net";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";

/** Follows the socket events of one request, to tell what a later failure proves. */
export class ConnectionVerdict {
    private isConnected = false;

    private constructor() {}

    static create(): ConnectionVerdict {
        return new ConnectionVerdict();
    }

    /** Watches a request from its creation on. */
    observeRequest(request: ClientRequest): void {
        request.once("socket", (socket: Socket) => {
            if (!socket.connecting) {
                // A pooled connection: the request may reach the endpoint from here on.
                this.isConnected = true;
                return;
            }
            socket.once("connect", () => {
                this.isConnected = true;
            });
        });
    }

    /** Returns NotRun while no connection was established, and MayHaveRun after. */
    getVerdict(): Verdict {
        return this.isConnected ? Verdict.MayHaveRun : Verdict.NotRun;
    }

    /** Creates the failure for an error of the connection. */
    createFailure(error: unknown): Failure {
        const text = describeError(error);
        if (!this.isConnected) {
            return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_the_connection_0, text);
        }
        return Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, text);
    }
}
