/** How grave a logged event is. */
export enum LogLevel {
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** A kind of log line: its name, its level and how many lines a second a process writes at most. */
export interface LogEventKind {
    readonly name: string;
    readonly level: LogLevel;
    readonly linesPerSecond: number;
    /** What the line tells, for docs/OPERATIONS.md. */
    readonly description: string;
}

/** Lines a second of events that change what a process believes: rare, and each matters. */
const beliefLines = 20;
/** Lines a second of failures of requests: enough to tell every cause under load. */
const failureLines = 30;
/** Lines a second of requests that were served: a sample under load. */
const servedLines = 10;

function createInfo(name: string, linesPerSecond: number, description: string): LogEventKind {
    return { name, level: LogLevel.Info, linesPerSecond, description };
}

function createWarning(name: string, linesPerSecond: number, description: string): LogEventKind {
    return { name, level: LogLevel.Warn, linesPerSecond, description };
}

/** Every kind of line that a process writes. */
export const LogEvents = {
    ProcessStarted: createInfo("process started", beliefLines, "The process listens: its addresses and incarnation."),
    ProcessStopping: createInfo("process stopping", beliefLines, "A signal was received; open requests are finished."),
    ProcessStopped: createInfo("process stopped", beliefLines, "Everything is closed; how many requests were cut off."),
    SettingsReloaded: createInfo("settings reloaded", beliefLines, "The settings file was read again; what changed."),
    SettingsRefused: createWarning("settings refused", beliefLines, "A changed settings file has faults; the old settings stay."),
    RequestServed: createInfo("request served", servedLines, "A request was answered by an endpoint."),
    RequestRefused: createWarning("request refused", failureLines, "A request was refused without having run, and why."),
    RequestFailed: createWarning("request failed", failureLines, "A request failed and may have run, and why."),
    AttemptFailed: createWarning("attempt failed", failureLines, "One attempt at an endpoint failed, with its verdict."),
    ConfigurationApplied: createInfo("configuration applied", beliefLines, "A newer configuration is in force; who brought it."),
    ConfigurationFaulty: createWarning("configuration faulty", beliefLines, "A configuration cannot be read; the one before stays."),
    EndpointChanged: createInfo("endpoint changed", beliefLines, "An endpoint was added, leaves, was removed or started anew."),
    EndpointEntryFaulty: createWarning("endpoint entry faulty", beliefLines, "An entry of the store names no endpoint to use."),
    PeerChanged: createInfo("peer changed", beliefLines, "A peer was found, heard again, lost or leaves."),
    DependencyLost: createWarning("dependency lost", beliefLines, "The store, the cloud API or a watch does not answer."),
    DependencyRegained: createInfo("dependency regained", beliefLines, "It answers again; how long it was away."),
    LeaseChanged: createInfo("lease changed", beliefLines, "The lease of a duty was taken, given up or lost."),
    DutyDone: createInfo("duty done", beliefLines, "A usage report or an order was accepted."),
    DutyFailed: createWarning("duty failed", beliefLines, "A usage report or an order was refused or got no answer."),
    QuarantineAdded: createWarning("quarantine added", beliefLines, "A request ended several endpoints and is refused from now on."),
    VersionMoveChanged: createInfo("version move changed", beliefLines, "A version move was ordered or reached another stage, and why."),
    VersionMoveFaulty: createWarning("version move faulty", beliefLines, "An order for a version move cannot be read."),
    SuspicionRemoved: createInfo(
        "suspicion removed",
        beliefLines,
        "A request that ran where endpoints died was served, so they had another cause.",
    ),
    TaskFailed: createWarning("task failed", beliefLines, "A background task met an unexpected fault and goes on."),
    LinesLeftOut: createInfo("lines left out", beliefLines, "How many lines of a kind were left out to bound the volume."),
} as const;
