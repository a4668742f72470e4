import {
    Context,
    context,
    defaultTextMapGetter,
    defaultTextMapSetter,
    Span,
    SpanKind,
    SpanStatusCode,
    trace,
    Tracer,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import {
    AlwaysOnSampler,
    BatchSpanProcessor,
    NodeTracerProvider,
    ParentBasedSampler,
    SpanExporter,
    SpanProcessor,
    TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-node";

import { IncomingHttpHeaders } from "node:http";

export type { Span } from "@opentelemetry/api";

/** W3C Trace Context headers, which carry the trace context from one hop to the next. */
export interface TraceHeaders {
    traceparent?: string;
    tracestate?: string;
}

/** Returns the trace context headers of a received request. */
export function readTraceHeaders(received: IncomingHttpHeaders): TraceHeaders {
    const headers: TraceHeaders = {};
    const { traceparent, tracestate } = received;
    if (typeof traceparent === "string") {
        headers.traceparent = traceparent;
    }
    if (typeof tracestate === "string") {
        headers.tracestate = tracestate;
    }
    return headers;
}

/** Sampling and export of spans. */
export interface TracingOptions {
    /** Name of the node, used in the name of the tracer. */
    readonly node: string;
    /** Fraction of the traces started by this node that are recorded, from 0 to 1; a parent's sampling decision takes precedence. */
    readonly sampleRatio: number;
    /** URL of an OTLP collector; when undefined, spans are not exported. */
    readonly collectorUrl?: string;
    /** Exporter used instead of the collector, for tests. */
    readonly exporter?: SpanExporter;
}

/** Creates a span for each hop and propagates its context in headers, so that a trace spans several processes. */
export class Tracing {
    private readonly propagator = new W3CTraceContextPropagator();

    private constructor(private readonly provider: NodeTracerProvider, private readonly tracer: Tracer) {}

    static create(options: TracingOptions): Tracing {
        const exporter = options.exporter
            ?? (options.collectorUrl === undefined ? undefined : new OTLPTraceExporter({ url: options.collectorUrl }));
        const processors: SpanProcessor[] = exporter === undefined ? [] : [new BatchSpanProcessor(exporter)];
        const root = options.sampleRatio >= 1 ? new AlwaysOnSampler() : new TraceIdRatioBasedSampler(options.sampleRatio);
        const provider = new NodeTracerProvider({ spanProcessors: processors, sampler: new ParentBasedSampler({ root }) });
        return new Tracing(provider, provider.getTracer(`corianderward/${options.node}`));
    }

    /** Starts a server span whose parent is the span in the headers; without one it starts a new trace. */
    startSpanFromHeaders(name: string, headers: TraceHeaders): Span {
        const parent = this.propagator.extract(context.active(), headers, defaultTextMapGetter) as Context;
        return this.tracer.startSpan(name, { kind: SpanKind.SERVER }, parent);
    }

    /** Starts a client span as a child of another span. */
    startChildSpan(name: string, parent: Span): Span {
        return this.tracer.startSpan(name, { kind: SpanKind.CLIENT }, trace.setSpan(context.active(), parent));
    }

    /** Returns the headers that propagate a span's context to the next hop. */
    createHeaders(span: Span): TraceHeaders {
        const headers: TraceHeaders = {};
        this.propagator.inject(trace.setSpan(context.active(), span), headers, defaultTextMapSetter);
        return headers;
    }

    /** Sets a span's status to error, with a message. */
    recordFailure(span: Span, text: string): void {
        span.setStatus({ code: SpanStatusCode.ERROR, message: text });
    }

    /** Exports the spans that have ended. */
    async flush(): Promise<void> {
        await this.provider.forceFlush();
    }

    /** Exports the remaining spans and shuts tracing down. */
    async stop(): Promise<void> {
        await this.provider.shutdown();
    }
}
