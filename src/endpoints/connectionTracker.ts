import { ClientRequest } from "node:http";
import { Socket } from "node:net";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";

/** Tracks the socket events of one request to decide whether the request may have reached the endpoint when it fails. */
export class ConnectionTracker {
    private isConnected = false;

    private constructor() {}

    static create(): ConnectionTracker {
        return new ConnectionTracker();
    }

    /** Starts tracking a request; must be called right after the request is created, before it has a socket. */
    observeRequest(request: ClientRequest): void {
        request.once("socket", (socket: Socket) => {
            if (!socket.connecting) {
                // A pooled connection is already established, so the request may reach the endpoint from now on.
                this.isConnected = true;
                return;
            }
            socket.once("connect", () => {
                this.isConnected = true;
            });
        });
    }

    /** Returns NotRun until a connection is established, MayHaveRun afterwards. */
    getVerdict(): Verdict {
        return this.isConnected ? Verdict.MayHaveRun : Verdict.NotRun;
    }

    /** Creates the failure for a connection error, with the verdict as of now. */
    createFailure(error: unknown): Failure {
        const text = describeError(error);
        if (!this.isConnected) {
            return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_the_connection_0, text);
        }
        return Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, text);
    }
}
