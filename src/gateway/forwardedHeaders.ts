import { IncomingMessage } from "node:http";
import { TraceHeaders } from "../common/tracing.js";
import { CallProtocol } from "./callProtocol.js";
import { IncomingCall } from "./types.js";

/** Headers that concern one connection only. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
]);

const traceHeaderNames = ["traceparent", "tracestate"];

/** What a node adds to a request for one endpoint. */
export interface HopHeaders {
    readonly endpointId: string;
    readonly timeLeft: number;
    readonly lastEventId: string | undefined;
    readonly urgency: number | undefined;
    /** Address of the engine that holds more of the prompt. */
    readonly cacheSource: string | undefined;
    readonly traceHeaders: TraceHeaders;
}

/** Builds the headers of requests to endpoints: the caller's own but for those that are the node's to set. */
export class HeaderForwarder {
    private readonly nodeHeaders: ReadonlySet<string>;

    private constructor(private readonly protocol: CallProtocol) {
        this.nodeHeaders = new Set([
            ...protocol.reservedHeaders,
            protocol.timeLeft,
            protocol.team,
            protocol.expectedEndpoint,
            protocol.lastEventId,
            protocol.urgency,
        ]);
    }

    static create(protocol: CallProtocol): HeaderForwarder {
        return new HeaderForwarder(protocol);
    }

    createHeaders(call: IncomingCall, hop: HopHeaders): string[] {
        const { protocol } = this;
        const isTraced = hop.traceHeaders.traceparent !== undefined;
        const isKept = (name: string) =>
            !this.nodeHeaders.has(name) && !(call.isKeyed && name === "authorization") && !(isTraced && traceHeaderNames.includes(name));
        const headers = selectHeaders(call.rawHeaders, isKept);
        headers.push(protocol.timeLeft, String(Math.max(1, Math.floor(hop.timeLeft))));
        headers.push(protocol.expectedEndpoint, hop.endpointId);
        if (call.team !== undefined) {
            headers.push(protocol.team, call.team.name);
        }
        if (hop.lastEventId !== undefined) {
            headers.push(protocol.lastEventId, hop.lastEventId);
        }
        if (hop.urgency !== undefined) {
            headers.push(protocol.urgency, String(hop.urgency));
        }
        if (hop.cacheSource !== undefined && protocol.cacheSource !== undefined) {
            headers.push(protocol.cacheSource, hop.cacheSource);
        }
        for (const [name, value] of Object.entries(hop.traceHeaders)) {
            headers.push(name, value);
        }
        if (call.hasBody) {
            headers.push("content-length", String(call.body.length));
        }
        return headers;
    }
}

/** Returns the headers of an endpoint's answer that go to the caller. The length is set where it is known. */
export function createAnswerHeaders(answer: IncomingMessage, length: number | undefined): string[] {
    const headers = selectHeaders(answer.rawHeaders, () => true);
    if (length !== undefined) {
        headers.push("content-length", String(length));
    }
    return headers;
}

function selectHeaders(rawHeaders: readonly string[], isKept: (name: string) => boolean): string[] {
    const named = listNamedByConnection(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] as string;
        const lower = name.toLowerCase();
        if (connectionHeaders.has(lower) || named.has(lower) || !isKept(lower)) {
            continue;
        }
        kept.push(name, rawHeaders[index + 1] as string);
    }
    return kept;
}

/** Returns the headers that a Connection header names: they concern this connection only. */
function listNamedByConnection(rawHeaders: readonly string[]): Set<string> {
    const named = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            rawHeaders[index + 1]?.split(",").forEach(name => named.add(name.trim().toLowerCase()));
        }
    }
    return named;
}
