import { IncomingMessage } from "node:http";
import { TraceHeaders } from "../common/tracing.js";
import { CallProtocol } from "./callProtocol.js";
import { IncomingCall } from "./types.js";

/** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
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

/** Values that a node adds to the headers of a request to one endpoint. */
export interface HopHeaders {
    readonly endpointId: string;
    /** Time that the node still waits for the response, in milliseconds. */
    readonly timeLeft: number;
    readonly lastEventId: string | undefined;
    readonly urgency: number | undefined;
    /** Address of the engine that has more of the prompt in its cache; undefined if there is none. */
    readonly cacheSource: string | undefined;
    readonly traceHeaders: TraceHeaders;
}

/** Builds the headers of requests to endpoints: the caller's headers, except hop-by-hop headers and those that only nodes set, and the node's own. */
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

    /** Returns the headers of one attempt as a flat list of names and values. */
    createHeaders(call: IncomingCall, hop: HopHeaders): string[] {
        const { protocol } = this;
        const isTraced = hop.traceHeaders.traceparent !== undefined;
        const isKept = (name: string) =>
            !this.nodeHeaders.has(name) && !(call.usesTeamKeys && name === "authorization")
            && !(isTraced && traceHeaderNames.includes(name));
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

/** Returns the headers of an endpoint's response that are forwarded to the caller. Sets Content-Length unless `length` is undefined. */
export function createResponseHeaders(response: IncomingMessage, length: number | undefined): string[] {
    const headers = selectHeaders(response.rawHeaders, () => true);
    if (length !== undefined) {
        headers.push("content-length", String(length));
    }
    return headers;
}

function selectHeaders(rawHeaders: readonly string[], isKept: (name: string) => boolean): string[] {
    const connectionOptions = listConnectionOptions(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] as string;
        const lower = name.toLowerCase();
        if (connectionHeaders.has(lower) || connectionOptions.has(lower) || !isKept(lower)) {
            continue;
        }
        kept.push(name, rawHeaders[index + 1] as string);
    }
    return kept;
}

/** Returns the lower-case names of the headers that a Connection header lists: they are hop-by-hop as well. */
function listConnectionOptions(rawHeaders: readonly string[]): Set<string> {
    const names = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            rawHeaders[index + 1]?.split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}
