import { Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerHour } from "../common/units.js";
import {
    CallerLimits,
    EngineTraits,
    Route,
    RouteConfiguration,
    RoutedService,
    RoutedTeam,
    RouteKind,
    ScalingBounds,
    UsageUnit,
} from "../routes/types.js";
import { IniDocument, IniSection, readIniDocument } from "./iniDocument.js";
import { createUnknownSection, SectionReader } from "./sectionReader.js";

/** The content of a route file: a route configuration without the version, which is assigned when it is published. */
export type RouteDeclaration = Omit<RouteConfiguration, "version">;

enum SectionKind {
    Route = "route",
    Service = "service",
    Team = "team",
    Limits = "limits",
}

const sectionForms = ["route.NAME", "service.NAME", "team.NAME", "limits"];
const hostPattern = /^[a-z0-9.-]{1,253}$/;
const regionPattern = /^[!-~]{1,200}$/;
const pathPrefixPattern = /^\/(.*\/)?$/;
const pathPattern = /^\/.*$/;
const teamKeyPattern = /^[!-~]{8,200}$/;
const serviceSharePattern = /^[^\s:]+(:\d+(\.\d+)?)?$/;
const pricePattern = /^[^\s:]+:\d+(\.\d+)?$/;
const maximumCount = 1_000_000;
const maximumAmount = 1e12;

/** Reads and checks a route file, which declares services, routes to them, teams with their quotas, and caller limits. */
export function readRouteFile(file: string): Result<RouteDeclaration, Diagnostic[]> {
    const document = readIniDocument(file);
    return document.err ? document : parseRouteDocument(document.val);
}

/** Checks a parsed route file; all faults are reported together. */
export function parseRouteDocument(document: IniDocument): Result<RouteDeclaration, Diagnostic[]> {
    const faults: Diagnostic[] = [];
    checkSections(document, faults);
    const services = openSections(SectionKind.Service).map(({ name, reader }) => readService(name, reader));
    const routes = openSections(SectionKind.Route).map(({ name, reader }) => readRoute(name, reader, services));
    const teams = openSections(SectionKind.Team).map(({ name, reader }) => readTeam(name, reader));
    const limits = readLimits(openLimits());
    return faults.length > 0 ? Err(faults) : Ok({ routes, services, teams, limits });

    function openSections(kind: SectionKind): { name: string; reader: SectionReader; }[] {
        return document.sections.filter(section => findSectionKind(section) === kind).map(section => ({
            name: section.name.slice(kind.length + 1),
            reader: SectionReader.create(document, section, faults),
        }));
    }

    function openLimits(): SectionReader {
        const section = document.sections.find(candidate => candidate.name === SectionKind.Limits);
        return SectionReader.create(document, section ?? { name: SectionKind.Limits, line: 1, entries: new Map() }, faults);
    }
}

/** Returns the kind of a section from its name, or undefined for an unknown section. */
function findSectionKind(section: IniSection): SectionKind | undefined {
    return Object.values(SectionKind).find(kind =>
        kind === SectionKind.Limits ? section.name === kind : section.name.startsWith(`${kind}.`) && section.name.length > kind.length + 1
    );
}

function checkSections(document: IniDocument, faults: Diagnostic[]): void {
    for (const section of document.sections.filter(candidate => findSectionKind(candidate) === undefined)) {
        faults.push(createUnknownSection(document, section, sectionForms));
    }
}

function readService(name: string, reader: SectionReader): RoutedService {
    const service: RoutedService = {
        name,
        healthPath: reader.readText("health-check", "a path that begins with a slash", pathPattern, "/"),
        connectionLimit: reader.readInteger("connection-limit", 1, maximumCount),
        engine: readEngine(reader),
        scaling: readScaling(reader),
        warmUp: readWarmUp(reader),
    };
    reader.checkUnknownKeys();
    return service;
}

/** Returns what cold endpoints tolerate, or undefined without a rate: they may be sent any number of requests. */
function readWarmUp(reader: SectionReader): RoutedService["warmUp"] {
    const milliseconds = reader.readInteger("warm-up-milliseconds", 0, millisecondsPerHour, 0);
    const requestsPerSecond = reader.readNumber("warm-up-requests-per-second", 0, maximumAmount, 0);
    return requestsPerSecond === 0 ? undefined : { milliseconds, requestsPerSecond };
}

/** Returns the regions that requests must not leave. */
function readHomes(reader: SectionReader): string[] {
    return reader.readList("home", "the name of a region", regionPattern);
}

/** Returns the capacity of an engine, or undefined for a plain service, which has no `memory-tokens`. */
function readEngine(reader: SectionReader): EngineTraits | undefined {
    if (reader.readOptionalText("memory-tokens") === undefined) {
        return undefined;
    }
    return { slots: reader.readInteger("slots", 1, maximumCount), memoryTokens: reader.readInteger("memory-tokens", 1, maximumAmount) };
}

/** Returns the scaling bounds of a service, or undefined without a `price`: no endpoints are ordered for it. */
function readScaling(reader: SectionReader): ScalingBounds | undefined {
    const prices = reader.readList("price", "FAILURE-DOMAIN:PRICE, such as xela:1.2", pricePattern);
    if (prices.length === 0) {
        return undefined;
    }
    const hasReclaimablePrice = reader.readOptionalText("reclaimable-price") !== undefined;
    return {
        minimum: reader.readInteger("minimum", 0, maximumCount, 0),
        maximum: reader.readInteger("maximum", 0, maximumCount),
        bootSeconds: reader.readNumber("boot-seconds", 0, 3_600),
        reclaimablePrice: hasReclaimablePrice ? reader.readNumber("reclaimable-price", 0, maximumCount) : undefined,
        domainPrices: prices.map(text => {
            const { name, amount } = parseNameAndAmount(text);
            return { failureDomain: name, price: amount };
        }),
    };
}

function readRoute(name: string, reader: SectionReader, services: readonly RoutedService[]): Route {
    const shares = reader.readList("service", "SERVICE, or SERVICE:WEIGHT for a share of the traffic", serviceSharePattern).map(text => {
        const share = parseNameAndAmount(text);
        return { service: share.name, weight: share.amount };
    });
    if (shares.length === 0) {
        reader.addFault("service", Diagnostics.Key_0_in_section_1_is_missing_allowed_2, "service[]", reader.section.name, "SERVICE");
    }
    for (const share of shares.filter(candidate => !services.some(service => service.name === candidate.service))) {
        reader.addFault("service", Diagnostics.Section_0_names_service_1_which_is_not_declared, reader.section.name, share.service);
    }
    const route: Route = {
        name,
        host: reader.readText("host", "a host name in lower case", hostPattern),
        pathPrefix: reader.readText("path", "a path that begins and ends with a slash", pathPrefixPattern),
        kind: reader.readEnum("kind", RouteKind),
        timeLimit: reader.readInteger("time-limit-milliseconds", 1, millisecondsPerHour),
        objective: reader.readInteger("objective-milliseconds", 1, millisecondsPerHour),
        priority: reader.readInteger("priority", 0, 100, 0),
        shares,
        attempts: reader.readInteger("attempts", 1, 100, 1),
        isPublic: reader.readFlag("public", false),
        isResumable: reader.readFlag("resumable", false),
        homes: readHomes(reader),
    };
    if (route.isResumable && route.kind !== RouteKind.Stream) {
        reader.addFault("resumable", Diagnostics.Key_0_contradicts_key_1_2, "resumable", "kind", "only a stream can be resumed");
    }
    reader.checkUnknownKeys();
    return route;
}

function readTeam(name: string, reader: SectionReader): RoutedTeam {
    const hasPriority = reader.readOptionalText("priority") !== undefined;
    const team: RoutedTeam = {
        name,
        keys: reader.readList("key", "8 to 200 visible characters", teamKeyPattern),
        priority: hasPriority ? reader.readInteger("priority", 0, 100) : undefined,
        unit: reader.readEnum("unit", UsageUnit, UsageUnit.Requests),
        plainTokens: reader.readNumber("default-tokens", 0, maximumAmount, 0),
        rate: reader.readNumber("rate-per-second", 0, maximumAmount, 0),
        burst: reader.readNumber("burst", 0, maximumAmount, 0),
        homes: readHomes(reader),
    };
    reader.checkUnknownKeys();
    return team;
}

function readLimits(reader: SectionReader): CallerLimits {
    const limits: CallerLimits = {
        headerBytes: reader.readInteger("header-bytes", 256, maximumCount, 16_384),
        bodyBytes: reader.readInteger("body-bytes", 1, maximumAmount, 1_048_576),
        headerTimeout: reader.readInteger("header-timeout-milliseconds", 1, millisecondsPerHour, 5_000),
        idleTimeout: reader.readInteger("idle-timeout-milliseconds", 1, millisecondsPerHour, 15_000),
    };
    reader.checkUnknownKeys();
    return limits;
}

/** Splits NAME:AMOUNT; the amount defaults to 1. */
function parseNameAndAmount(text: string): { readonly name: string; readonly amount: number; } {
    const separator = text.indexOf(":");
    return separator < 0 ? { name: text, amount: 1 } : { name: text.slice(0, separator), amount: Number(text.slice(separator + 1)) };
}
