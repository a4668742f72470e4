import { IncomingMessage } from "node:http";
import { readTraceHeaders, Span, Tracing } from "../common/tracing.js";
import { CallSpan, HopSpan, HopTracing } from "./hopTracing.js";

const callSpanName = "call";
const hopSpanName = "endpoint";

/** Exports the spans of calls and hops to a collector. Loaded only where one is configured: its libraries take a third of the start time. */
export class CollectedTracing implements HopTracing {
    private constructor(private readonly tracing: Tracing) {}

    static create(tracing: Tracing): CollectedTracing {
        return new CollectedTracing(tracing);
    }

    startCall(request: Pick<IncomingMessage, "headers">, route: string): CallSpan {
        const span = this.tracing.startSpanFromHeaders(callSpanName, readTraceHeaders(request.headers));
        span.setAttribute("corianderward.route", route);
        return {
            startHop: endpoint => this.startHop(span, endpoint),
            end: failure => this.endSpan(span, failure),
        };
    }

    async stop(): Promise<void> {
        await this.tracing.stop();
    }

    private startHop(parent: Span, endpoint: string): HopSpan {
        const span = this.tracing.startChildSpan(hopSpanName, parent);
        span.setAttribute("corianderward.endpoint", endpoint);
        return {
            createHeaders: () => this.tracing.createHeaders(span),
            end: failure => this.endSpan(span, failure),
        };
    }

    private endSpan(span: Span, failure: string | undefined): void {
        if (failure !== undefined) {
            this.tracing.recordFailure(span, failure);
        }
        span.end();
    }
}
