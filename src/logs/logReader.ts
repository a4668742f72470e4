import { z } from "zod";
import { LogEvents } from "../common/logEvents.js";

/** Fields that every log line of a gateway has; other fields depend on the kind of the line. */
const logLineSchema = z.looseObject({
    message: z.string(),
    node: z.string(),
    timestamp: z.string(),
    level: z.string(),
});
export type LogLine = z.infer<typeof logLineSchema>;

/** Result of reading several log files: the parsed lines ordered by timestamp, and the number of lines that are not log lines. */
export interface ParsedLogs {
    readonly lines: readonly LogLine[];
    readonly unreadable: number;
}

/** Kinds of lines that record a change of a node's state. The state explains what the node did with a request. */
const stateChangeKinds: readonly string[] = [
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

/** Parses the contents of log files. Text before the JSON object of a line, such as a log collector's time and host, is ignored. */
export function readLogLines(texts: readonly string[]): ParsedLogs {
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

/** Log lines that explain what happened to one request. */
export interface RequestExplanation {
    /** Lines of any node that name the request. */
    readonly events: readonly LogLine[];
    /** The latest state change of each kind and subject, up to the request's last line, on the nodes and for the endpoints that the request used. */
    readonly beliefs: readonly LogLine[];
}

/** Finds the lines of all nodes that explain a request; undefined when no line names it. */
export function findRequest(lines: readonly LogLine[], request: string): RequestExplanation | undefined {
    const events = lines.filter(line => line["request"] === request);
    const last = events[events.length - 1];
    if (last === undefined) {
        return undefined;
    }
    const nodes = new Set(events.map(event => event.node));
    const endpoints = new Set(events.map(event => String(event["endpoint"] ?? "")));
    const latestChanges = new Map<string, LogLine>();
    for (const line of lines) {
        if (line.timestamp > last.timestamp || !nodes.has(line.node) || !stateChangeKinds.includes(line.message)) {
            continue;
        }
        const { endpoint } = line;
        if (endpoint !== undefined && !endpoints.has(String(endpoint))) {
            continue;
        }
        const subject = String(line["endpoint"] ?? line["peer"] ?? line["dependency"] ?? line["lease"] ?? "");
        latestChanges.set(`${line.node}\n${line.message}\n${subject}`, line);
    }
    return { events, beliefs: [...latestChanges.values()] };
}

/** Number of refused and failed requests by cause, the state changes, and the number of lines that the rate limit of the log dropped. */
export interface LogSummary {
    readonly causes: readonly { readonly outcome: string; readonly cause: string; readonly requests: number; }[];
    readonly changes: readonly LogLine[];
    readonly linesLeftOut: number;
}

/**
 * Counts refused and failed requests by cause and lists the state changes.
 * Replaces numbers and quoted names in a cause by placeholders, so that equal causes are counted together.
 */
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
    const omitted = lines.filter(line => line.message === LogEvents.LinesLeftOut.name);
    return {
        causes: [...counts.values()].sort((left, right) => right.requests - left.requests),
        changes: lines.filter(line => stateChangeKinds.includes(line.message)),
        linesLeftOut: omitted.reduce((sum, line) => sum + Number(line["lines"] ?? 0), 0),
    };
}

/** Formats a line for display: time, node, kind, and the other fields sorted by name. */
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
        // Not a JSON line; readLogLines counts it as unreadable.
        return undefined;
    }
}
