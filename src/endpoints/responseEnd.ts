import { IncomingMessage } from "node:http";
import { Socket } from "node:net";

/** How a response marks the end of its body. */
export enum ResponseFraming {
    Length = "length",
    Chunked = "chunked",
    /** It has neither a length nor chunks and ends with its connection. */
    UntilClose = "until close",
}

/** Returns how a response marks the end of its body. */
export function readFraming(response: IncomingMessage): ResponseFraming {
    if (response.headers["transfer-encoding"] !== undefined) {
        return ResponseFraming.Chunked;
    }
    return response.headers["content-length"] === undefined ? ResponseFraming.UntilClose : ResponseFraming.Length;
}

/** Observes how a connection ends while a response is read from it; needed to recognize the end of a response without a length. */
export class ResponseEndObserver {
    /** Whether the endpoint closed its side in an orderly way, which marks the end of a response without a length. */
    private isClosedByEndpoint = false;
    private hasError = false;
    private socket: Socket | undefined;
    private readonly handleEnd = () => {
        // A reset that arrives together with data is reported as an end, but then the socket has no remote address any more.
        this.isClosedByEndpoint = this.socket?.remoteAddress !== undefined;
    };
    private readonly handleError = () => {
        this.hasError = true;
    };

    private constructor() {}

    static create(): ResponseEndObserver {
        return new ResponseEndObserver();
    }

    start(socket: Socket): void {
        this.socket = socket;
        // Must run before the runtime's own handlers, which end the response synchronously.
        socket.prependListener("end", this.handleEnd);
        socket.prependListener("error", this.handleError);
    }

    /** Removes the listeners; a pooled connection carries many responses and would accumulate them. */
    stop(): void {
        this.socket?.off("end", this.handleEnd);
        this.socket?.off("error", this.handleError);
    }

    /** Returns whether a response that has ended is complete by its framing. */
    isComplete(response: IncomingMessage): boolean {
        if (!response.complete || this.hasError) {
            return false;
        }
        return readFraming(response) !== ResponseFraming.UntilClose || this.isClosedByEndpoint;
    }
}
