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

/** Headers that carry the trace context of a hop. */
export interface TraceHeaders {
    traceparent?: string;
    tracestate?: string;
}

/** Returns the trace context that a request carries. */
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

/** How spans are sampled and where they are sent. */
export interface TracingOptions {
    readonly node: string;
    /** Share of the traces without a sampled parent that is recorded, from 0 to 1. */
    readonly sampleRatio: number;
    /** URL of an OTLP collector, or undefined to send spans nowhere. */
    readonly collectorUrl?: string;
    /** An exporter used in place of the collector, for tests. */
    readonly exporter?: SpanExporter;
}

/** Creates spans, one for each hop, and carries their context in headers. */
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

    /** Starts the span of a hop whose parent, if any, is named by the headers. */
    startSpanFromHeaders(name: string, headers: TraceHeaders): Span {
        const parent = this.propagator.extract(context.active(), headers, defaultTextMapGetter) as Context;
        return this.tracer.startSpan(name, { kind: SpanKind.SERVER }, parent);
    }

    /** Starts a span below another. */
    startChildSpan(name: string, parent: Span): Span {
        return this.tracer.startSpan(name, { kind: SpanKind.CLIENT }, trace.setSpan(context.active(), parent));
    }

    /** Returns the headers that carry a span's context to the next hop. */
    createHeaders(span: Span): TraceHeaders {
        const headers: TraceHeaders = {};
        this.propagator.inject(trace.setSpan(context.active(), span), headers, defaultTextMapSetter);
        return headers;
    }

    /** Marks a span as failed with a text. */
    recordFailure(span: Span, text: string): void {
        span.setStatus({ code: SpanStatusCode.ERROR, message: text });
    }

    /** Sends the spans that have ended. */
    async flush(): Promise<void> {
        await this.provider.forceFlush();
    }

    /** Sends what is left and stops. */
    async stop(): Promise<void> {
        await this.provider.shutdown();
    }
}
