import { IncomingMessage } from "node:http";
import { TraceHeaders } from "../common/tracing.js";

/** Span of one request from the node to an endpoint. */
export interface HopSpan {
    /** Returns the headers that propagate the span's context to the endpoint. */
    createHeaders(): TraceHeaders;
    /** Ends the span, with the text of the failure if there was one. */
    end(failure: string | undefined): void;
}

/** Span of one call, the parent of its hops. */
export interface CallSpan {
    startHop(endpoint: string): HopSpan;
    end(failure: string | undefined): void;
}

/** Creates a span for each call and a child span for each hop to an endpoint. */
export interface HopTracing {
    startCall(request: Pick<IncomingMessage, "headers">, route: string): CallSpan;
    stop(): Promise<void>;
}

const noopHopSpan: HopSpan = { createHeaders: () => ({}), end: () => {} };
const noopCallSpan: CallSpan = { startHop: () => noopHopSpan, end: () => {} };

/** Tracing without a collector: creates no spans, at no cost. The caller's trace context is forwarded to the endpoint unchanged. */
export class NoopTracing implements HopTracing {
    private constructor() {}

    static create(): NoopTracing {
        return new NoopTracing();
    }

    startCall(): CallSpan {
        return noopCallSpan;
    }

    async stop(): Promise<void> {}
}
