import { IncomingMessage } from "node:http";
import { TraceHeaders } from "../common/tracing.js";

/** The span of one hop to an endpoint. */
export interface HopSpan {
    /** Returns the headers that carry its context to the endpoint. */
    createHeaders(): TraceHeaders;
    /** Ends it, with the failure if there was one. */
    end(failure: string | undefined): void;
}

/** The span of one call. */
export interface CallSpan {
    startHop(endpoint: string): HopSpan;
    end(failure: string | undefined): void;
}

/** Creates a span for each call and for each hop below it. */
export interface HopTracing {
    startCall(request: IncomingMessage, route: string): CallSpan;
    stop(): Promise<void>;
}

const noHop: HopSpan = { createHeaders: () => ({}), end: () => {} };
const noCall: CallSpan = { startHop: () => noHop, end: () => {} };

/** Where no collector is set: no spans, at no cost. The caller's own trace context goes on to the endpoint unchanged. */
export class NoTracing implements HopTracing {
    private constructor() {}

    static create(): NoTracing {
        return new NoTracing();
    }

    startCall(): CallSpan {
        return noCall;
    }

    async stop(): Promise<void> {}
}
