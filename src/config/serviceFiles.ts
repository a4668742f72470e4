import { readdirSync } from "node:fs";
import { join } from "node:path";
import { createFileDiagnostic, Diagnostic, DiagnosticCategory, Diagnostics } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerHour, millisecondsPerSecond } from "../common/units.js";
import { IniDocument, IniSection, readIniDocument } from "./iniDocument.js";
import { createUnknownSection, SectionReader } from "./sectionReader.js";
import {
    MoveDeclaration,
    namePattern,
    Priority,
    ServiceDeclaration,
    ServiceKind,
    TeamConfiguration,
    TeamDeclaration,
    VersionDeclaration,
} from "./types.js";

const nameAllowed = "lower-case letters, digits and hyphens, at most 63";
const sectionForms = ["team.NAME", "service.NAME", "version.SERVICE.NAME", "move.SERVICE"];
const defaultLookupQueueTimeLimitSeconds = 0.8;
const defaultLookupSilenceLimitMilliseconds = 2_000;
const defaultSilenceLimitMilliseconds = 5_000;
const defaultRetentionSeconds = 86_400;
/** Number of requests that a move needs before its version can be accepted; a deadline that leaves fewer raises a warning. */
export const minimumRequestsPerMove = 60;

/** The declarations of the service files in one or more directories, grouped by team, and the warnings about them. */
export interface ServiceFileSet {
    readonly teams: readonly TeamConfiguration[];
    readonly warnings: readonly Diagnostic[];
}

/** A section of a service file with the parts of its dotted name, the section kind first. */
interface ServiceFileSection {
    readonly document: IniDocument;
    readonly section: IniSection;
    readonly parts: readonly string[];
}

/**
 * Reads the service files in the directories and their subdirectories, checks them together, and groups their declarations by
 * team. All faults are reported together.
 *
 * @param now Current time in Unix milliseconds, against which the deadlines of moves are checked.
 */
export function readServiceFiles(directories: readonly string[], now: number): Result<ServiceFileSet, Diagnostic[]> {
    const faults: Diagnostic[] = [];
    const documents: IniDocument[] = [];
    for (const directory of directories) {
        for (const file of listServiceFiles(directory, faults)) {
            const document = readIniDocument(file);
            if (document.err) {
                faults.push(...document.val);
                continue;
            }
            documents.push(document.val);
        }
    }
    const teamConfigurations = buildServiceFileSet(documents, faults, now);
    if (faults.some(fault => fault.message.category === DiagnosticCategory.Error)) {
        return Err(faults);
    }
    return Ok({ teams: teamConfigurations, warnings: faults });
}

function listServiceFiles(directory: string, faults: Diagnostic[]): string[] {
    let names: string[];
    try {
        names = readdirSync(directory, { recursive: true }) as string[];
    }
    catch (error) {
        faults.push(createFileDiagnostic(directory, undefined, Diagnostics.File_0_cannot_be_read_1, directory, describeError(error)));
        return [];
    }
    const files = names.filter(name => name.endsWith(".ini")).sort();
    if (files.length === 0) {
        faults.push(createFileDiagnostic(directory, undefined, Diagnostics.Directory_0_holds_no_service_files, directory));
    }
    return files.map(name => join(directory, name));
}

/** Builds the configuration of each team from parsed files; faults and warnings are added to `faults`. */
export function buildServiceFileSet(documents: readonly IniDocument[], faults: Diagnostic[], now: number): TeamConfiguration[] {
    const found = findSections(documents, faults);
    const teams = readTeams();
    const versions = readVersions();
    const services = readServices();
    const moves = readMoves();
    return teams.map(team => ({
        team,
        services: services.filter(service => service.team === team.name).map(service => service.declaration),
        moves: moves.filter(move => services.some(service => service.team === team.name && service.declaration.name === move.service)),
    }));

    function openSections(kind: string): { reader: SectionReader; parts: readonly string[]; }[] {
        return found
            .filter(entry => entry.parts[0] === kind)
            .map(entry => ({ reader: SectionReader.create(entry.document, entry.section, faults), parts: entry.parts.slice(1) }));
    }

    function readTeams(): TeamDeclaration[] {
        const result: TeamDeclaration[] = [];
        for (const { reader, parts } of openSections("team")) {
            result.push({
                name: parts[0] as string,
                tokenHashes: reader.readList("token-sha256", "64 lower-case hexadecimal digits", /^[0-9a-f]{64}$/),
                requestsPerSecond: reader.readNumber("requests-per-second", 0.001, 1_000_000),
                share: reader.readNumber("share", 0.001, 1_000, 1),
            });
            reader.checkUnknownKeys();
        }
        return result;
    }

    function readVersions(): { service: string; declaration: VersionDeclaration; }[] {
        const result: { service: string; declaration: VersionDeclaration; }[] = [];
        for (const { reader, parts } of openSections("version")) {
            const service = parts[0] as string;
            const name = parts[1] as string;
            const model = reader.readText("model", "the model name under which engines serve the version", /^\S.*$/, name);
            const group = reader.readOptionalText("endpoint-group");
            result.push({ service, declaration: group === undefined ? { name, model } : { name, model, group } });
            reader.checkUnknownKeys();
            checkServiceExists(reader, service);
        }
        return result;
    }

    function checkServiceExists(reader: SectionReader, service: string): void {
        const isDeclared = found.some(entry => entry.parts[0] === "service" && entry.parts[1] === service);
        if (!isDeclared) {
            reader.addFault("", Diagnostics.Section_0_names_service_1_which_is_not_declared, reader.section.name, service);
        }
    }

    function readServices(): { team: string; declaration: ServiceDeclaration; }[] {
        const result: { team: string; declaration: ServiceDeclaration; }[] = [];
        for (const { reader, parts } of openSections("service")) {
            result.push(readService(reader, parts[0] as string));
        }
        return result;
    }

    function readService(reader: SectionReader, name: string): { team: string; declaration: ServiceDeclaration; } {
        const team = reader.readText("team", nameAllowed, namePattern);
        if (team !== "" && !teams.some(candidate => candidate.name === team)) {
            reader.addFault("team", Diagnostics.Service_0_names_team_1_which_is_not_declared, name, team);
        }
        const kind = reader.readEnum("kind", ServiceKind);
        const priority = reader.readEnum("priority", Priority);
        const isIdempotent = reader.readFlag("idempotent");
        const acceptsAsync = reader.readFlag("accepts-async", false);
        if (kind === ServiceKind.Model && !isIdempotent) {
            reader.addFault(
                "idempotent",
                Diagnostics.Key_0_contradicts_key_1_2,
                "idempotent",
                "kind",
                "generation by a model engine is idempotent",
            );
        }
        if (kind === ServiceKind.Plain && acceptsAsync) {
            reader.addFault(
                "accepts-async",
                Diagnostics.Key_0_contradicts_key_1_2,
                "accepts-async",
                "kind",
                "only model services accept asynchronous requests",
            );
        }
        const silenceLimit = priority === Priority.Lookup ? defaultLookupSilenceLimitMilliseconds : defaultSilenceLimitMilliseconds;
        const version = reader.readText("version", nameAllowed, namePattern);
        const serviceVersions = versions.filter(entry => entry.service === name).map(entry => entry.declaration);
        if (version !== "" && !serviceVersions.some(entry => entry.name === version)) {
            reader.addFault("version", Diagnostics.Version_0_of_service_1_is_not_declared, version, name);
        }
        const timeLimitSeconds = reader.readNumber("time-limit-seconds", 0.05, 86_400);
        const declaration: ServiceDeclaration = {
            name,
            kind,
            group: reader.readText("endpoint-group", nameAllowed, namePattern),
            version,
            versions: serviceVersions,
            priority,
            idempotent: isIdempotent,
            acceptsAsync,
            timeLimit: timeLimitSeconds * millisecondsPerSecond,
            queueTimeLimit: readQueueTimeLimit(reader, timeLimitSeconds, priority),
            silenceLimit: reader.readInteger("silence-limit-milliseconds", 50, 60_000, silenceLimit),
            retentionSeconds: reader.readInteger("retention-seconds", 60, 31_536_000, defaultRetentionSeconds),
            maxTokens: reader.readInteger("max-tokens", 1, 32_768, 2_048),
            queueLimit: reader.readInteger("queue-limit", 1, 100_000, 1_000),
            requestsPerHour: reader.readNumber("requests-per-hour", 0.1, 100_000_000, 1_000),
            callers: reader.readList("callers", nameAllowed, namePattern),
            weights: {
                latency: reader.readNumber("weight-latency", 0, 100, 1),
                cost: reader.readNumber("weight-cost", 0, 100, 1),
                prefix: reader.readNumber("weight-prefix", 0, 100, 1),
            },
        };
        reader.checkUnknownKeys();
        return { team, declaration };
    }

    function readQueueTimeLimit(reader: SectionReader, timeLimitSeconds: number, priority: Priority): number {
        const fallback = priority === Priority.Lookup ? Math.min(defaultLookupQueueTimeLimitSeconds, timeLimitSeconds) : timeLimitSeconds;
        const seconds = reader.readNumber("queue-time-limit-seconds", 0.01, 86_400, fallback);
        if (seconds > timeLimitSeconds) {
            reader.addFault(
                "queue-time-limit-seconds",
                Diagnostics.Key_0_contradicts_key_1_2,
                "queue-time-limit-seconds",
                "time-limit-seconds",
                "the queue time limit must not exceed the time limit",
            );
        }
        return Math.ceil(seconds * millisecondsPerSecond);
    }

    function readMoves(): MoveDeclaration[] {
        const result: MoveDeclaration[] = [];
        for (const { reader, parts } of openSections("move")) {
            const service = parts[0] as string;
            checkServiceExists(reader, service);
            const to = reader.readText("to", nameAllowed, namePattern);
            const declaration = services.find(candidate => candidate.declaration.name === service)?.declaration;
            if (declaration !== undefined && !declaration.versions.some(version => version.name === to)) {
                reader.addFault("to", Diagnostics.Version_0_of_service_1_is_not_declared, to, service);
            }
            if (declaration !== undefined && declaration.version === to) {
                reader.addFault(
                    "to",
                    Diagnostics.Key_0_contradicts_key_1_2,
                    "to",
                    "version",
                    "a move must lead to a version other than the current one",
                );
            }
            const deadline = reader.readValue("deadline", "a date and time such as 2026-12-24T18:00:00Z", undefined, text => {
                const time = Date.parse(text);
                return Number.isNaN(time) ? undefined : time;
            }) ?? 0;
            if (declaration !== undefined) {
                checkDeadline(reader, declaration, deadline);
            }
            result.push({ service, to, deadline });
            reader.checkUnknownKeys();
        }
        return result;
    }

    function checkDeadline(reader: SectionReader, service: ServiceDeclaration, deadline: number): void {
        const expectedRequests = Math.max(0, deadline - now) / millisecondsPerHour * service.requestsPerHour;
        if (expectedRequests < minimumRequestsPerMove) {
            const time = new Date(deadline).toISOString();
            reader.addFault(
                "deadline",
                Diagnostics.Deadline_0_of_move_1_leaves_too_few_requests_2,
                time,
                service.name,
                minimumRequestsPerMove,
            );
        }
    }
}

function findSections(documents: readonly IniDocument[], faults: Diagnostic[]): ServiceFileSection[] {
    const partCounts: Record<string, number> = { team: 2, service: 2, version: 3, move: 2 };
    const found = new Map<string, ServiceFileSection>();
    for (const document of documents) {
        for (const section of document.sections) {
            const parts = section.name.split(".");
            const isKnown = partCounts[parts[0] as string] === parts.length && parts.every(part => namePattern.test(part));
            if (!isKnown) {
                faults.push(createUnknownSection(document, section, sectionForms));
                continue;
            }
            const existing = found.get(section.name);
            if (existing !== undefined) {
                const existingLine = existing.section.line;
                faults.push(
                    createFileDiagnostic(
                        document.file,
                        section.line,
                        Diagnostics.Section_0_is_given_twice_first_on_line_1,
                        section.name,
                        existingLine,
                    ),
                );
                continue;
            }
            found.set(section.name, { document, section, parts });
        }
    }
    return [...found.values()];
}
