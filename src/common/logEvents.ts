/** Severity of a logged event. */
export enum LogLevel {
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** A kind of log line: its name, its level and the rate limit that each process applies to it. */
export interface LogEventKind {
    readonly name: string;
    readonly level: LogLevel;
    readonly linesPerSecond: number;
    /** Meaning of the line, for docs/OPERATIONS.md. */
    readonly description: string;
}

/** Rate limit of state changes of a process, in lines a second: such events are rare, and each one matters. */
const stateChangeLinesPerSecond = 20;
/** Rate limit of request failures, in lines a second: enough to show every cause under load. */
const failureLinesPerSecond = 30;
/** Rate limit of served requests, in lines a second: under load only a sample is logged. */
const servedLinesPerSecond = 10;

function createInfo(name: string, linesPerSecond: number, description: string): LogEventKind {
    return { name, level: LogLevel.Info, linesPerSecond, description };
}

function createWarning(name: string, linesPerSecond: number, description: string): LogEventKind {
    return { name, level: LogLevel.Warn, linesPerSecond, description };
}

/** Every kind of log line that a process writes. */
export const LogEvents = {
    ProgramLoaded: createInfo(
        "program loaded",
        stateChangeLinesPerSecond,
        "The program was loaded; whether its compiled code was accepted, or rejected or missing, which makes the start slower.",
    ),
    ProcessStarted: createInfo(
        "process started",
        stateChangeLinesPerSecond,
        "The process listens: its addresses, its incarnation and what its host gives it.",
    ),
    ProcessStopping: createInfo("process stopping", stateChangeLinesPerSecond, "A signal was received; open requests are finished."),
    ProcessStopped: createInfo("process stopped", stateChangeLinesPerSecond, "Everything is closed; how many requests were cut off."),
    ProcessFailed: createWarning(
        "process failed",
        stateChangeLinesPerSecond,
        "An exception that nothing caught; the process finishes its open requests and ends.",
    ),
    SettingsReloaded: createInfo("settings reloaded", stateChangeLinesPerSecond, "The settings file was read again; what changed."),
    SettingsRefused: createWarning(
        "settings refused",
        stateChangeLinesPerSecond,
        "A changed settings file has faults; the old settings stay.",
    ),
    RequestServed: createInfo("request served", servedLinesPerSecond, "A request was answered by an endpoint."),
    RequestRefused: createWarning("request refused", failureLinesPerSecond, "A request was refused without having run, and why."),
    UsageCapReached: createInfo(
        "usage cap reached",
        servedLinesPerSecond,
        "A call was refused by its team's usage cap; what all nodes let pass, and the mean age of the counts of the others in milliseconds.",
    ),
    RequestFailed: createWarning("request failed", failureLinesPerSecond, "A request failed and may have run, and why."),
    CallerConnectionsClosed: createWarning(
        "caller connections closed",
        stateChangeLinesPerSecond,
        "A connection of a caller was closed to stay within the limits of the process; why, and how many are open.",
    ),
    RequestUnanswered: createWarning(
        "request unanswered",
        failureLinesPerSecond,
        "The node ended a connection before a request on it had a whole response; why, and whether it was read and passed on.",
    ),
    PeerCallForwarded: createInfo(
        "peer call forwarded",
        servedLinesPerSecond,
        "A request was forwarded for a peer without network paths to the endpoints; its outcome.",
    ),
    AttemptFailed: createWarning("attempt failed", failureLinesPerSecond, "One attempt at an endpoint failed, with its verdict."),
    RequestHedged: createInfo(
        "request hedged",
        servedLinesPerSecond,
        "A late request was sent to a second endpoint; whether that one answered first, and the time of the whole call.",
    ),
    ConfigurationApplied: createInfo(
        "configuration applied",
        stateChangeLinesPerSecond,
        "A newer configuration is in force; who brought it, how old the node's knowledge was, how late its event loop is.",
    ),
    ConfigurationFaulty: createWarning(
        "configuration faulty",
        stateChangeLinesPerSecond,
        "A configuration cannot be read; the one before stays.",
    ),
    EndpointChanged: createInfo(
        "endpoint changed",
        stateChangeLinesPerSecond,
        "An endpoint was added, leaves, was removed or started anew.",
    ),
    DirectoryRenewed: createInfo(
        "directory renewed",
        stateChangeLinesPerSecond,
        "Requests waited until old knowledge of the endpoints was renewed; its age, and whether that came in time.",
    ),
    EndpointWarming: createInfo(
        "endpoint warming",
        stateChangeLinesPerSecond,
        "An endpoint is cold, as its entry says or after it could not be reached; permits of all nodes together in a second.",
    ),
    RoomChanged: createInfo(
        "room changed",
        stateChangeLinesPerSecond,
        "A service has become short of room, or no longer is: work asked for, room, and the time to work off what waits.",
    ),
    EngineSpeedChanged: createInfo(
        "engine speed changed",
        stateChangeLinesPerSecond,
        "Responses show another speed of a service's engines than was assumed: prompt tokens a millisecond, and the stated ones.",
    ),
    ServicePathsChanged: createWarning(
        "service paths changed",
        stateChangeLinesPerSecond,
        "The node lost its network paths to a service's endpoints, or has one again.",
    ),
    IdleConnectionsClosed: createWarning(
        "idle connections closed",
        stateChangeLinesPerSecond,
        "Idle connections to an endpoint may have gone silent; how many were closed, and the evidence.",
    ),
    EndpointEntryFaulty: createWarning(
        "endpoint entry faulty",
        stateChangeLinesPerSecond,
        "An entry of the store names no endpoint to use.",
    ),
    PeerChanged: createInfo("peer changed", stateChangeLinesPerSecond, "A peer was found, heard again, lost or leaves."),
    ExchangeSlow: createInfo(
        "exchange slow",
        stateChangeLinesPerSecond,
        "An exchange with a peer took longer than the time between two; by how much the event loops of both nodes are late.",
    ),
    DependencyLost: createWarning("dependency lost", stateChangeLinesPerSecond, "The store, the cloud API or a watch does not answer."),
    PlatformCallLost: createWarning(
        "platform call lost",
        stateChangeLinesPerSecond,
        "A call to the store or the cloud API got no answer; how long it waited, and whether on a reused connection.",
    ),
    DependencyRegained: createInfo("dependency regained", stateChangeLinesPerSecond, "It answers again; how long it was away."),
    StoreRestored: createWarning(
        "store restored",
        stateChangeLinesPerSecond,
        "The store was restored from a copy: its era rose, and later writes are gone.",
    ),
    LeaseChanged: createInfo("lease changed", stateChangeLinesPerSecond, "The lease of a duty was taken, given up or lost."),
    DutyDone: createInfo("duty done", stateChangeLinesPerSecond, "A usage report or an order was accepted."),
    DutyFailed: createWarning("duty failed", stateChangeLinesPerSecond, "A usage report or an order was refused or got no answer."),
    EvacuationChanged: createInfo(
        "evacuation changed",
        stateChangeLinesPerSecond,
        "An operator's evacuation of a failure domain is in force on this node, or has ended; who brought it.",
    ),
    FleetPlanned: createInfo(
        "fleet plan",
        stateChangeLinesPerSecond,
        "The duty plans another fleet: its targets and price, the demand, and what it fears to lose and what that would cost.",
    ),
    DomainReclaimed: createWarning(
        "domain reclaimed",
        stateChangeLinesPerSecond,
        "A failure domain lost all its reclaimable endpoints of a service at once; how many reclaims a second are feared now.",
    ),
    QuarantineAdded: createWarning(
        "quarantine added",
        stateChangeLinesPerSecond,
        "A request ended several endpoints and is refused from now on.",
    ),
    CrashRecorded: createWarning(
        "crash recorded",
        stateChangeLinesPerSecond,
        "An endpoint crashed; the evidence, and how many requests it counts against.",
    ),
    TrialClaimed: createInfo(
        "trial claimed",
        stateChangeLinesPerSecond,
        "The store was asked for the one trial of a quarantined request; the result.",
    ),
    QuarantineFaulty: createWarning("quarantine faulty", stateChangeLinesPerSecond, "A quarantine in the store cannot be read."),
    VersionMoveChanged: createInfo(
        "version move changed",
        stateChangeLinesPerSecond,
        "A version move was ordered or reached another stage, and why.",
    ),
    VersionMoveFaulty: createWarning("version move faulty", stateChangeLinesPerSecond, "An order for a version move cannot be read."),
    SuspicionRemoved: createInfo(
        "suspicion removed",
        stateChangeLinesPerSecond,
        "A request that ran where endpoints died was served, so they had another cause.",
    ),
    TaskFailed: createWarning("task failed", stateChangeLinesPerSecond, "A background task met an unexpected fault and goes on."),
    LinesLeftOut: createInfo("lines left out", stateChangeLinesPerSecond, "How many lines of a kind were left out to bound the volume."),
} as const;
