import { z } from "zod";
import { LogEvents } from "../common/logEvents.js";

/** A line that a gateway wrote, with the node and the time that every line has. */
const logLineSchema = z.looseObject({
    message: z.string(),
    node: z.string(),
    timestamp: z.string(),
    level: z.string(),
});
export type LogLine = z.infer<typeof logLineSchema>;

/** What was read of several files: lines in the order of their times, and how many others there were. */
export interface ReadLogs {
    readonly lines: readonly LogLine[];
    readonly unreadable: number;
}

/** Kinds of lines that say what a node believed, and so explain what it did with a request. */
const beliefKinds: readonly string[] = [
    LogEvents.ProcessStarted,
    LogEvents.ProcessStopping,
    LogEvents.ConfigurationApplied,
    LogEvents.EndpointChanged,
    LogEvents.PeerChanged,
    LogEvents.DependencyLost,
    LogEvents.DependencyRegained,
    LogEvents.LeaseChanged,
    LogEvents.QuarantineAdded,
].map(kind => kind.name);

/** Reads log lines; what stands before the JSON object of a line, such as a collector's own time and host, is passed over. */
export function readLogLines(texts: readonly string[]): ReadLogs {
    const lines: LogLine[] = [];
    let unreadable = 0;
    for (const text of texts.flatMap(content => content.split("\n")).filter(line => line.trim() !== "")) {
        const line = parseLine(text);
        if (line === undefined) {
            unreadable += 1;
            continue;
        }
        lines.push(line);
    }
    lines.sort((left, right) => (left.timestamp < right.timestamp ? -1 : 1));
    return { lines, unreadable };
}

/** What is known of one request. */
export interface RequestExplanation {
    /** Lines that name the request, on whichever node. */
    readonly events: readonly LogLine[];
    /** The last line of each belief, before the request ended, that bears on its nodes, endpoints and configuration. */
    readonly beliefs: readonly LogLine[];
}

/** Follows one request through the lines of all nodes; undefined when no line names it. */
export function findRequest(lines: readonly LogLine[], request: string): RequestExplanation | undefined {
    const events = lines.filter(line => line["request"] === request);
    const last = events[events.length - 1];
    if (last === undefined) {
        return undefined;
    }
    const nodes = new Set(events.map(event => event.node));
    const endpoints = new Set(events.map(event => String(event["endpoint"] ?? "")));
    const newest = new Map<string, LogLine>();
    for (const line of lines) {
        if (line.timestamp > last.timestamp || !nodes.has(line.node) || !beliefKinds.includes(line.message)) {
            continue;
        }
        const { endpoint } = line;
        if (endpoint !== undefined && !endpoints.has(String(endpoint))) {
            continue;
        }
        const subject = String(line["endpoint"] ?? line["peer"] ?? line["dependency"] ?? line["lease"] ?? "");
        newest.set(`${line.node}\n${line.message}\n${subject}`, line);
    }
    return { events, beliefs: [...newest.values()] };
}

/** How often each cause ended requests, and what changed state. */
export interface LogSummary {
    readonly causes: readonly { readonly outcome: string; readonly cause: string; readonly requests: number; }[];
    readonly changes: readonly LogLine[];
    readonly linesLeftOut: number;
}

/** Counts refusals and failures by cause, and lists what changed state. Numbers and names in a cause are left out, so that equal causes meet. */
export function computeSummary(lines: readonly LogLine[]): LogSummary {
    const counts = new Map<string, { outcome: string; cause: string; requests: number; }>();
    for (const line of lines) {
        if (line.message !== LogEvents.RequestRefused.name && line.message !== LogEvents.RequestFailed.name) {
            continue;
        }
        const outcome = String(line["outcome"] ?? "");
        const cause = String(line["cause"] ?? "").replace(/'[^']*'/g, "'…'").replace(/\d+/g, "N");
        const entry = counts.get(`${outcome}\n${cause}`) ?? { outcome, cause, requests: 0 };
        entry.requests += 1;
        counts.set(`${outcome}\n${cause}`, entry);
    }
    const leftOut = lines.filter(line => line.message === LogEvents.LinesLeftOut.name);
    return {
        causes: [...counts.values()].sort((left, right) => right.requests - left.requests),
        changes: lines.filter(line => beliefKinds.includes(line.message)),
        linesLeftOut: leftOut.reduce((sum, line) => sum + Number(line["lines"] ?? 0), 0),
    };
}

/** Formats a line for people: time, node, kind and the other fields in the order of their names. */
export function formatLogLine(line: LogLine): string {
    const fields = Object.entries(line)
        .filter(([name, value]) => !["message", "node", "timestamp", "level"].includes(name) && value !== undefined && value !== "")
        .sort(([left], [right]) => (left < right ? -1 : 1))
        .map(([name, value]) => `${name}=${typeof value === "string" && value.includes(" ") ? JSON.stringify(value) : String(value)}`);
    return `${line.timestamp} ${line.node} ${line.message}: ${fields.join(" ")}`;
}

function parseLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const parsed = logLineSchema.safeParse(JSON.parse(text.slice(start)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        // Not a line of ours; the caller counts it.
        return undefined;
    }
}
