import { computeBodyCapacity } from "../common/bodyBudget.js";
import { createFileDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { computeConnectionLimit, readDescriptorLimit, readMemoryLimit } from "../common/processLimits.js";
import { Err, Ok, Result } from "../common/results.js";
import { bytesPerMebibyte, millisecondsPerMinute } from "../common/units.js";
import { DemandWorth } from "../duties/scarcityPlanning.js";
import { IniDocument, readIniDocument } from "./iniDocument.js";
import { createUnknownSection, parseAddress, SectionReader } from "./sectionReader.js";
import { NetworkAddress } from "./types.js";

const sectionNames = [
    "node",
    "listen",
    "store",
    "cloud",
    "peers",
    "retries",
    "hedging",
    "admission",
    "engines",
    "calls",
    "fleet",
    "limits",
    "caps",
    "usage",
    "versions",
    "warm-up",
    "regions",
    "timing",
    "tracing",
];
const requiredSections = ["node", "listen", "store"];
/** Default share of the accepted exposure that a trial uses; the rest is for requests that move before the old version stops. */
const defaultTrialShareOfExposure = 0.4;
/** Default worth of urgent demand, as a multiple of that of other demand. */
const defaultUrgentWorthRatio = 3;
const visibleTextPattern = /^[!-~]{1,200}$/;
const visibleTextAllowed = "1 to 200 visible characters";

/** Timeouts and intervals of a gateway, in milliseconds. */
export interface GatewayTiming {
    readonly connectTimeout: number;
    /** Time without data from an endpoint that can be reached after which a backup attempt starts for a repeatable request. */
    readonly endpointSilence: number;
    readonly storeTimeout: number;
    readonly cloudTimeout: number;
    readonly gossipInterval: number;
    /** Time without an update after which a peer is considered unreachable. */
    readonly peerSilence: number;
    readonly leaseTerm: number;
    /** Time in which a change of the configuration or of the endpoints must be in force on every node. */
    readonly applyLimit: number;
    readonly quarantineTerm: number;
    /** Time from the stop signal until the listener closes, in which the load balancer removes the node. */
    readonly listenerGrace: number;
    /** Time from the stop signal by which open requests are terminated. */
    readonly drainLimit: number;
    /** Time in which an evacuation of a failure domain must be in force on every node; undefined if operators order none. */
    readonly evacuationLimit: number | undefined;
    /** Interval at which the settings file is polled for changes. */
    readonly settingsInterval: number;
}

/** Settings of a gateway. Times are in milliseconds. */
export interface GatewaySettings {
    readonly name: string;
    readonly failureDomain: string;
    readonly callers: NetworkAddress;
    readonly readiness: NetworkAddress;
    readonly peersListen: NetworkAddress;
    readonly metrics: NetworkAddress | undefined;
    readonly store: NetworkAddress;
    readonly cloud: NetworkAddress | undefined;
    readonly seeds: readonly NetworkAddress[];
    readonly retries: { readonly ratio: number; readonly window: number; readonly slack: number; };
    /** Second attempts for late requests: their share of the requests that may be repeated, and the quantile of times that counts as late. */
    readonly hedging: { readonly extraShare: number; readonly delayQuantile: number; };
    /** Whether generations are admitted by the room of their service where its endpoints state how slow their hosts are. */
    readonly admission: { readonly isByRoom: boolean; };
    /** Speeds of engines, and the penalties in milliseconds that routing adds to the cost of an endpoint. */
    readonly engines: {
        readonly promptTokensPerMillisecond: number;
        /** Whether the speed of faster engines is learned from their responses. */
        readonly learnsSpeed: boolean;
        readonly step: number;
        readonly stepPerRequest: number;
        readonly batchPenalty: number;
        readonly domainPenalty: number;
        readonly copyPenalty: number;
        readonly homePenalty: number;
    };
    /** Assumed time of a call to a plain service before one is measured, and the penalty of another failure domain. */
    readonly calls: { readonly initialCallTime: number; readonly domainPenalty: number; };
    /** Sizing of the fleet: target utilization, minimum number of endpoints and the delays before unused ones are released. */
    readonly fleet: {
        readonly targetUtilization: number;
        readonly leastNeeded: number;
        readonly shrinkDelay: number;
        readonly reclaimableShrinkDelay: number;
        /** Worth of the demand that an endpoint serves, by which the fleet is planned; undefined if it is planned by fixed shares. */
        readonly demandWorth: DemandWorth | undefined;
    };
    /**
     * Memory that the bodies of open requests may hold, in bytes, the number of connections of callers that are kept open, and the
     * processor time that the host gives the process, in cores.
     */
    readonly limits: { readonly bodyMemory: number; readonly callerConnections: number; readonly processor: number; };
    /** Units by which all nodes together may exceed the usage cap of a team, and the window over which this is checked. */
    readonly caps: { readonly slack: number; readonly window: number; readonly overage: number; readonly isDivided: boolean; };
    /** Length of a usage window, and the time after its end within which its report is due. */
    readonly usage: { readonly windowLength: number; readonly dueTime: number; };
    /** Version moves: share of requests for a version under evaluation, and exposure to a bad version that operators accept. */
    readonly versions: { readonly trialShare: number; readonly exposure: { readonly share: number; readonly slack: number; }; };
    /** By how much all nodes together may exceed the requests that a service's cold endpoints are made for. */
    readonly warmUp: { readonly overage: number; readonly slack: number; };
    /** Region of each failure domain; empty if regions do not matter. */
    readonly regions: readonly { readonly failureDomain: string; readonly region: string; }[];
    readonly timing: GatewayTiming;
    readonly collectorUrl: string | undefined;
}

/** Reads and checks the settings file of a gateway; all faults are reported together. */
export function readGatewaySettings(file: string): Result<GatewaySettings, Diagnostic[]> {
    const document = readIniDocument(file);
    if (document.err) {
        return document;
    }
    return parseGatewaySettings(document.val);
}

/** Checks a parsed settings file; all faults are reported together. */
export function parseGatewaySettings(document: IniDocument): Result<GatewaySettings, Diagnostic[]> {
    const faults: Diagnostic[] = [];
    checkSections(document, faults);
    const readers = new Map<string, SectionReader>();
    const settings = readAll();
    readers.forEach(reader => reader.checkUnknownKeys());
    if (faults.length > 0) {
        return Err(faults);
    }
    return Ok(settings);

    function openSection(name: string): SectionReader {
        const section = document.sections.find(candidate => candidate.name === name) ?? { name, line: 1, entries: new Map() };
        // checkSections reports an absent required section once, so the faults of its keys are discarded.
        // The same holds for a required section without keys.
        const isRequiredSectionEmpty = section.entries.size === 0 && requiredSections.includes(name);
        const reader = SectionReader.create(document, section, isRequiredSectionEmpty ? [] : faults);
        readers.set(name, reader);
        return reader;
    }

    function readAll(): GatewaySettings {
        const node = openSection("node");
        const listen = openSection("listen");
        return {
            name: node.readText("name", visibleTextAllowed, visibleTextPattern),
            failureDomain: node.readText("failure-domain", visibleTextAllowed, visibleTextPattern),
            callers: listen.readAddress("callers"),
            readiness: listen.readAddress("readiness"),
            peersListen: listen.readAddress("peers"),
            metrics: readOptionalAddress(listen, "metrics"),
            store: openSection("store").readAddress("address"),
            cloud: readOptionalAddress(openSection("cloud"), "address"),
            seeds: readSeeds(openSection("peers")),
            retries: readRetries(openSection("retries")),
            hedging: readHedging(openSection("hedging")),
            admission: { isByRoom: openSection("admission").readFlag("by-room", false) },
            engines: readEngines(openSection("engines")),
            calls: readCalls(openSection("calls")),
            fleet: readFleet(openSection("fleet")),
            limits: readLimits(openSection("limits")),
            caps: readCaps(openSection("caps")),
            usage: readUsage(openSection("usage")),
            versions: readVersions(openSection("versions")),
            warmUp: readWarmUp(openSection("warm-up")),
            regions: openSection("regions").listTexts().map(([failureDomain, region]) => ({ failureDomain, region })),
            timing: readTiming(openSection("timing")),
            collectorUrl: openSection("tracing").readOptionalUrl("collector-url"),
        };
    }
}

function checkSections(document: IniDocument, faults: Diagnostic[]): void {
    for (const section of document.sections) {
        if (!sectionNames.includes(section.name)) {
            faults.push(createUnknownSection(document, section, sectionNames));
        }
    }
    for (const name of requiredSections) {
        if (!document.sections.some(section => section.name === name)) {
            faults.push(createFileDiagnostic(document.file, undefined, Diagnostics.Section_0_is_missing, name));
        }
    }
}

/** Reads an address; returns undefined when the key is absent or empty. */
function readOptionalAddress(reader: SectionReader, key: string): NetworkAddress | undefined {
    const text = reader.readOptionalText(key) ?? "";
    return text === "" ? undefined : reader.readAddress(key);
}

/** Reads the comma-separated addresses of the seed peers; the list may be empty. */
function readSeeds(reader: SectionReader): NetworkAddress[] {
    const text = reader.readOptionalText("seeds") ?? "";
    const seeds: NetworkAddress[] = [];
    for (const item of text.split(",").map(part => part.trim()).filter(part => part !== "")) {
        const address = parseAddress(item);
        if (address === undefined) {
            reader.addFault(
                "seeds",
                Diagnostics.Value_0_of_key_1_is_not_allowed_2,
                item,
                "seeds",
                "IP numbers and ports, separated by commas",
            );
            continue;
        }
        seeds.push(address);
    }
    return seeds;
}

function readRetries(reader: SectionReader): GatewaySettings["retries"] {
    return {
        ratio: reader.readNumber("ratio", 0, 1, 0.1),
        window: reader.readNumber("window-milliseconds", 100, millisecondsPerMinute, 10_000),
        slack: reader.readNumber("slack", 0, 1_000_000, 20),
    };
}

function readHedging(reader: SectionReader): GatewaySettings["hedging"] {
    return {
        extraShare: reader.readNumber("extra-share", 0, 0.5, 0),
        delayQuantile: reader.readNumber("delay-quantile", 0.5, 0.999, 0.95),
    };
}

function readEngines(reader: SectionReader): GatewaySettings["engines"] {
    return {
        promptTokensPerMillisecond: reader.readNumber("prompt-tokens-per-millisecond", 0.001, 100_000, 48.2),
        learnsSpeed: reader.readFlag("learn-speed", false),
        step: reader.readNumber("step-milliseconds", 0, 1_000, 3),
        stepPerRequest: reader.readNumber("step-milliseconds-per-request", 0, 1_000, 0.1),
        batchPenalty: reader.readNumber("batch-penalty-milliseconds", 0, 1_000, 1.5),
        domainPenalty: reader.readNumber("domain-penalty-milliseconds", 0, 10_000, 30),
        copyPenalty: reader.readNumber("copy-penalty-milliseconds-per-1000-tokens", 0, 10_000, 20),
        homePenalty: reader.readNumber("home-penalty-milliseconds", 0, 10_000, 15),
    };
}

function readCalls(reader: SectionReader): GatewaySettings["calls"] {
    return {
        initialCallTime: reader.readNumber("initial-call-milliseconds", 1, 100_000, 60),
        domainPenalty: reader.readNumber("domain-penalty-milliseconds", 0, 10_000, 10),
    };
}

function readFleet(reader: SectionReader): GatewaySettings["fleet"] {
    return {
        targetUtilization: reader.readNumber("target-utilization", 0.05, 2, 0.85),
        leastNeeded: reader.readInteger("least-needed", 0, 10_000, 2),
        shrinkDelay: reader.readInteger("shrink-delay-milliseconds", 0, millisecondsPerMinute, 2_500),
        reclaimableShrinkDelay: reader.readInteger("reclaimable-shrink-delay-milliseconds", 0, millisecondsPerMinute, 10_000),
        demandWorth: readDemandWorth(reader),
    };
}

/** Reads the worth of demand; undefined when the key is absent or empty. */
function readDemandWorth(reader: SectionReader): DemandWorth | undefined {
    const hasWorth = (reader.readOptionalText("demand-worth") ?? "") !== "";
    const usual = hasWorth ? reader.readNumber("demand-worth", 0, 1e6, 0) : 0;
    const urgent = reader.readNumber("urgent-demand-worth", 0, 1e6, usual * defaultUrgentWorthRatio);
    return hasWorth ? { usual, urgent } : undefined;
}

/** Reads what the host gives the process; the process's own limits apply where the settings do not say. */
function readLimits(reader: SectionReader): GatewaySettings["limits"] {
    const readIfGiven = (key: string, minimum: number, maximum: number) =>
        (reader.readOptionalText(key) ?? "") === "" ? undefined : reader.readInteger(key, minimum, maximum);
    const memory = readIfGiven("memory-mebibytes", 64, 1_048_576);
    const descriptors = readIfGiven("open-files", 256, 16_777_216);
    const memoryBytes = Math.min(readMemoryLimit(), memory === undefined ? Infinity : memory * bytesPerMebibyte);
    return {
        bodyMemory: computeBodyCapacity(memoryBytes),
        callerConnections: computeConnectionLimit(descriptors ?? readDescriptorLimit()),
        processor: reader.readOptionalNumber("processor-share", 0.001, 1_000, 1)
            * reader.readOptionalNumber("processor-speed", 0.001, 1_000, 1),
    };
}

function readCaps(reader: SectionReader): GatewaySettings["caps"] {
    return {
        slack: reader.readNumber("slack", 0, 1e12, 0),
        window: reader.readInteger("window-milliseconds", 100, millisecondsPerMinute, 8_000),
        overage: reader.readNumber("overage", 0, 1, 0),
        isDivided: reader.readFlag("divided", false),
    };
}

function readUsage(reader: SectionReader): GatewaySettings["usage"] {
    return {
        windowLength: reader.readInteger("window-milliseconds", 100, 60 * millisecondsPerMinute, 5_000),
        dueTime: reader.readInteger("due-milliseconds", 100, 60 * millisecondsPerMinute, 10_000),
    };
}

function readVersions(reader: SectionReader): GatewaySettings["versions"] {
    const share = reader.readNumber("exposure-share", 0, 1, 0.1);
    const slack = reader.readNumber("exposure-slack", 0, 1_000_000, 50);
    const trialShare = reader.readNumber("trial-share", 0, 1, share * defaultTrialShareOfExposure);
    return { trialShare, exposure: { share, slack } };
}

function readWarmUp(reader: SectionReader): GatewaySettings["warmUp"] {
    return {
        overage: reader.readOptionalNumber("overage", 0, 1_000, 1),
        slack: reader.readOptionalNumber("slack", 0, 1_000_000, 0),
    };
}

function readTiming(reader: SectionReader): GatewayTiming {
    const readMilliseconds = (name: string, fallback: number, minimum = 1) =>
        reader.readInteger(`${name}-milliseconds`, minimum, 10 * millisecondsPerMinute, fallback);
    const timing: GatewayTiming = {
        connectTimeout: readMilliseconds("connect-timeout", 300),
        endpointSilence: readMilliseconds("endpoint-silence", 1_600),
        storeTimeout: readMilliseconds("store-timeout", 1_000),
        cloudTimeout: readMilliseconds("cloud-timeout", 1_500),
        gossipInterval: readMilliseconds("gossip-interval", 500),
        peerSilence: readMilliseconds("peer-silence", 2_000),
        leaseTerm: readMilliseconds("lease-term", 2_500),
        applyLimit: readMilliseconds("apply-limit", 2_000),
        quarantineTerm: readMilliseconds("quarantine-term", 10 * millisecondsPerMinute),
        listenerGrace: readMilliseconds("listener-grace", 3_000, 0),
        drainLimit: readMilliseconds("drain-limit", 7_300),
        evacuationLimit: (reader.readOptionalText("evacuation-limit-milliseconds") ?? "") === ""
            ? undefined
            : readMilliseconds("evacuation-limit", 5_000),
        settingsInterval: readMilliseconds("settings-interval", 1_000),
    };
    if (timing.leaseTerm <= timing.storeTimeout) {
        reader.addFault(
            "lease-term-milliseconds",
            Diagnostics.Key_0_contradicts_key_1_2,
            "lease-term-milliseconds",
            "store-timeout-milliseconds",
            "a lease must outlast one call to the store",
        );
    }
    return timing;
}
