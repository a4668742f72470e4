import { existsSync, readFileSync } from "node:fs";
import { createFileDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { hashSha256 } from "../common/hashing.js";
import { computeConnectionLimit, readDescriptorLimit, readMemoryLimit } from "../common/processLimits.js";
import { Err, Ok, Result } from "../common/results.js";
import { bytesPerKibibyte, bytesPerMebibyte, millisecondsPerHour, millisecondsPerMinute } from "../common/units.js";
import { IniDocument, IniSection, readIniDocument } from "./iniDocument.js";
import { createUnknownSection, SectionReader } from "./sectionReader.js";
import { EndpointGroupSettings, LimitSettings, namePattern, NodeSettings, PeerSettings, TimingSettings, TlsSettings } from "./types.js";

const nameAllowed = "lower-case letters, digits and hyphens, at most 63";
const fixedSections = ["node", "listen", "platform", "operators", "tls", "limits", "timing", "logging", "tracing", "notifications"];
const requiredSections = ["node", "listen", "platform"];

/** Environment variables, from which the settings may take secrets. */
export type Environment = Record<string, string | undefined>;

/** Reads and checks the settings file of a node daemon; all faults are reported together. */
export function readNodeSettings(file: string, environment: Environment): Result<NodeSettings, Diagnostic[]> {
    const document = readIniDocument(file);
    if (document.err) {
        return document;
    }
    return parseNodeSettings(document.val, environment);
}

/** Checks a parsed settings file and reads its secrets; all faults are reported together. */
export function parseNodeSettings(document: IniDocument, environment: Environment): Result<NodeSettings, Diagnostic[]> {
    const faults: Diagnostic[] = [];
    checkSectionNames();
    const settings = readAll();
    if (faults.length > 0) {
        return Err(faults);
    }
    return Ok(settings);

    function checkSectionNames(): void {
        for (const section of document.sections) {
            const isKnown = fixedSections.includes(section.name) || section.name.startsWith("peer.") || section.name.startsWith("group.");
            if (!isKnown) {
                faults.push(createUnknownSection(document, section, [...fixedSections, "peer.NAME", "group.NAME"]));
            }
        }
        for (const name of requiredSections) {
            if (!document.sections.some(section => section.name === name)) {
                faults.push(createFileDiagnostic(document.file, undefined, Diagnostics.Section_0_is_missing, name));
            }
        }
    }

    function openSection(name: string): SectionReader {
        const section: IniSection = document.sections.find(candidate => candidate.name === name) ?? { name, line: 1, entries: new Map() };
        // checkSectionNames reports an absent required section once, so the faults of its keys are discarded.
        // The same holds for a required section without keys.
        const isRequiredSectionEmpty = section.entries.size === 0 && requiredSections.includes(name);
        return SectionReader.create(document, section, isRequiredSectionEmpty ? [] : faults);
    }

    function readAll(): NodeSettings {
        const node = openSection("node");
        const listen = openSection("listen");
        const platform = openSection("platform");
        const operators = openSection("operators");
        const logging = openSection("logging");
        const tracing = openSection("tracing");
        const notifications = openSection("notifications");
        const operatorToken = readSecret(operators, "token-file", "token-environment");
        const result: NodeSettings = {
            name: node.readText("name", nameAllowed, namePattern),
            failureDomain: node.readText("failure-domain", nameAllowed, namePattern),
            region: node.readText("region", nameAllowed, namePattern, "home"),
            callers: listen.readAddress("callers"),
            peersListen: listen.readAddress("peers"),
            operators: listen.readAddress("operators"),
            peers: readPeers(),
            objectsUrl: platform.readUrl("objects-url"),
            hostListUrl: platform.readUrl("host-list-url"),
            cloudUrl: platform.readOptionalUrl("cloud-url"),
            weightStoreUrl: platform.readOptionalUrl("weight-store-url"),
            platformToken: readSecret(platform, "token-file", "token-environment"),
            operatorTokenHash: operatorToken === undefined ? undefined : hashSha256(operatorToken),
            tls: readTls(),
            groups: readGroups(),
            limits: readLimits(),
            timing: readTiming(),
            logLevel: logging.readText("level", "error, warn, info, debug", /^(error|warn|info|debug)$/, "info"),
            collectorUrl: tracing.readOptionalUrl("collector-url"),
            traceSampleRatio: tracing.readNumber("sample-ratio", 0, 1, 1),
            webhookUrl: notifications.readOptionalUrl("webhook-url"),
        };
        for (const reader of [node, listen, platform, operators, logging, tracing, notifications]) {
            reader.checkUnknownKeys();
        }
        return result;
    }

    function readPeers(): PeerSettings[] {
        const peers: PeerSettings[] = [];
        for (const section of document.sections.filter(candidate => candidate.name.startsWith("peer."))) {
            const reader = SectionReader.create(document, section, faults);
            peers.push({
                name: section.name.slice("peer.".length),
                failureDomain: reader.readText("failure-domain", nameAllowed, namePattern),
                address: reader.readAddress("address"),
            });
            reader.checkUnknownKeys();
        }
        return peers;
    }

    function readGroups(): EndpointGroupSettings[] {
        const groups: EndpointGroupSettings[] = [];
        for (const section of document.sections.filter(candidate => candidate.name.startsWith("group."))) {
            const reader = SectionReader.create(document, section, faults);
            groups.push({ name: section.name.slice("group.".length), checksFencing: reader.readFlag("checks-fencing") });
            reader.checkUnknownKeys();
        }
        return groups;
    }

    function readTls(): TlsSettings | undefined {
        if (!document.sections.some(section => section.name === "tls")) {
            return undefined;
        }
        const reader = openSection("tls");
        const tls = {
            certificateFile: readFile("certificate-file"),
            keyFile: readFile("key-file"),
            authorityFile: readFile("authority-file"),
        };
        reader.checkUnknownKeys();
        return tls;

        function readFile(key: string): string {
            return reader.readValue(key, "the path of a readable file", undefined, path => (existsSync(path) ? path : undefined)) ?? "";
        }
    }

    function readLimits(): LimitSettings {
        const reader = openSection("limits");
        const limits: LimitSettings = {
            bodyBytes: reader.readInteger("body-bytes", bytesPerKibibyte, 64 * bytesPerMebibyte, bytesPerMebibyte),
            answerBytes: reader.readInteger("answer-bytes", bytesPerKibibyte, 64 * bytesPerMebibyte, 8 * bytesPerMebibyte),
            headerBytes: reader.readInteger("header-bytes", bytesPerKibibyte, bytesPerMebibyte, 16 * bytesPerKibibyte),
            openRequests: reader.readInteger("open-requests", 1, 1_000_000, 10_000),
            endpointConcurrency: reader.readInteger("endpoint-concurrency", 1, 10_000, 64),
            memoryBytes: Math.min(readMemoryLimit(), reader.readNumber("memory-mebibytes", 64, Infinity, Infinity) * bytesPerMebibyte),
            callerConnections: computeConnectionLimit(reader.readNumber("open-files", 256, Infinity, readDescriptorLimit())),
        };
        reader.checkUnknownKeys();
        return limits;
    }

    function readTiming(): TimingSettings {
        const reader = openSection("timing");
        const readMilliseconds = (name: string, fallback: number, minimum = 1) =>
            reader.readInteger(`${name}-milliseconds`, minimum, millisecondsPerHour, fallback);
        const timing: TimingSettings = {
            readinessGrace: readMilliseconds("readiness-grace", 3_000, 0),
            drainLimit: readMilliseconds("drain-limit", 20_000),
            exchangeInterval: readMilliseconds("exchange-interval", 1_000),
            peerSilence: readMilliseconds("peer-silence", 2_000),
            platformTimeout: readMilliseconds("platform-timeout", 2_000),
            watchSilence: readMilliseconds("watch-silence", 3_000),
            hostListInterval: readMilliseconds("host-list-interval", 1_000),
            loadInterval: readMilliseconds("load-interval", 1_000),
            leaseTerm: readMilliseconds("lease-term", 5_000),
            quarantineTerm: readMilliseconds("quarantine-term", 10 * millisecondsPerMinute),
            connectTimeout: readMilliseconds("connect-timeout", 1_000),
        };
        if (timing.leaseTerm <= timing.platformTimeout) {
            reader.addFault(
                "lease-term-milliseconds",
                Diagnostics.Key_0_contradicts_key_1_2,
                "lease-term-milliseconds",
                "platform-timeout-milliseconds",
                "a lease must outlast one call to the platform",
            );
        }
        reader.checkUnknownKeys();
        return timing;
    }

    /** Returns the secret in the file or the environment variable that a key names, or undefined when neither key is set. */
    function readSecret(reader: SectionReader, fileKey: string, environmentKey: string): string | undefined {
        const file = reader.readOptionalText(fileKey);
        const variable = reader.readOptionalText(environmentKey);
        if (file !== undefined && variable !== undefined) {
            reader.addFault(fileKey, Diagnostics.Key_0_contradicts_key_1_2, fileKey, environmentKey, "only one of the two keys may be set");
            return undefined;
        }
        if (file !== undefined) {
            return readSecretFile(reader, fileKey, file);
        }
        if (variable !== undefined && environment[variable] === undefined) {
            reader.addFault(environmentKey, Diagnostics.Token_of_key_0_cannot_be_read_1, environmentKey, `variable ${variable} is not set`);
        }
        return variable === undefined ? undefined : environment[variable];
    }

    function readSecretFile(reader: SectionReader, key: string, file: string): string | undefined {
        try {
            return readFileSync(file, "utf8").trim();
        }
        catch (error) {
            reader.addFault(key, Diagnostics.Token_of_key_0_cannot_be_read_1, key, describeError(error));
            return undefined;
        }
    }
}
