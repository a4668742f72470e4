import { createFileDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { Err, Ok, Result } from "../common/results.js";
import { readIniDocument } from "../config/iniDocument.js";
import { findNearestName } from "../config/sectionReader.js";
import { ReplayReport, ServiceReport } from "./report.js";

const atMost = "-at-most";
const atLeast = "-at-least";

/** A bound that a run must keep. */
export interface StatedOutcome {
    readonly name: string;
    readonly service: string | undefined;
    readonly measure: string;
    readonly isUpperBound: boolean;
    readonly bound: number;
    readonly line: number;
}

/** Whether a run kept a bound. */
export interface JudgedOutcome {
    readonly outcome: StatedOutcome;
    readonly seen: number | undefined;
    readonly holds: boolean;
}

/** Measures of a whole run, by the names that outcomes files use. */
const runMeasures: Record<string, (report: ReplayReport) => number | undefined> = {
    "accepted": report => report.accepted,
    "finished": report => report.finished,
    "finished-share": report => report.finished / Math.max(1, report.requests),
    "accepted-finished-share": report => report.finished / Math.max(1, report.accepted),
    "refused-not-run": report => report.refusedNotRun,
    "refused-share": report => report.refusedNotRun / Math.max(1, report.requests),
    "told-may-have-run": report => report.toldMayHaveRun,
    "failed": report => report.failed,
    "lost": report => report.lost,
    "duplicated-effects": report => report.duplicatedEffects,
    "incomplete-or-crossed-answers": report => report.incompleteOrCrossed,
    "untrue-refusals": report => report.untrueRefusals,
    "tokens-recomputed": report => report.tokensRecomputed,
    "endpoints-killed-by-requests": report => report.endpointsKilledByRequests,
    "seconds-with-work-sent-to-leaving-endpoints": report => report.longestWorkAfterLeavingSeconds,
    "moves-unsettled-at-deadline": report => report.movesUnsettled,
    "moves-with-untrue-account": report => report.movesUntrue,
    "moves-completed": report => report.movesCompleted,
    "moves-taken-back": report => report.movesTakenBack,
    "bad-version-request-share": report => report.badVersionShare,
    "configuration-seconds-p99": report => report.configurationSecondsP99,
};

/** Measures of one service. */
const serviceMeasures: Record<string, (report: ServiceReport) => number | undefined> = {
    "finished-share": report => report.finished / Math.max(1, report.requests),
    "first-token-p50-milliseconds": report => report.firstToken.p50,
    "first-token-p95-milliseconds": report => report.firstToken.p95,
    "first-token-p99-milliseconds": report => report.firstToken.p99,
    "between-tokens-p50-milliseconds": report => report.betweenTokens.p50,
    "between-tokens-p95-milliseconds": report => report.betweenTokens.p95,
    "between-tokens-p99-milliseconds": report => report.betweenTokens.p99,
};

/** Reads an outcomes file: `[run]` and `[service.NAME]` with keys such as `lost-at-most = 0`. */
export function readOutcomes(file: string): Result<StatedOutcome[], Diagnostic[]> {
    const document = readIniDocument(file);
    if (document.err) {
        return document;
    }
    const faults: Diagnostic[] = [];
    const outcomes: StatedOutcome[] = [];
    for (const section of document.val.sections) {
        const service = section.name.startsWith("service.") ? section.name.slice("service.".length) : undefined;
        if (section.name !== "run" && service === undefined) {
            faults.push(createFileDiagnostic(file, section.line, Diagnostics.Unknown_section_0_did_you_mean_1, section.name, "run"));
            continue;
        }
        const measures = Object.keys(service === undefined ? runMeasures : serviceMeasures);
        for (const entry of section.entries.values()) {
            const outcome = parseOutcome(entry.key, entry.values[0] as string, entry.line, service, measures);
            if (outcome === undefined) {
                const names = measures.flatMap(name => [name + atMost, name + atLeast]);
                const nearest = findNearestName(entry.key, names);
                faults.push(
                    createFileDiagnostic(
                        file,
                        entry.line,
                        Diagnostics.Outcomes_file_cannot_be_read_0,
                        `'${entry.key}' needs a number; nearest valid name '${nearest}'`,
                    ),
                );
                continue;
            }
            outcomes.push(outcome);
        }
    }
    return faults.length > 0 ? Err(faults) : Ok(outcomes);
}

function parseOutcome(
    key: string,
    text: string,
    line: number,
    service: string | undefined,
    measures: readonly string[],
): StatedOutcome | undefined {
    const isUpperBound = key.endsWith(atMost);
    const isLowerBound = key.endsWith(atLeast);
    const measure = key.slice(0, isUpperBound ? -atMost.length : -atLeast.length);
    const bound = Number(text);
    if ((!isUpperBound && !isLowerBound) || !measures.includes(measure) || text === "" || !Number.isFinite(bound)) {
        return undefined;
    }
    const name = service === undefined ? key : `${service}: ${key}`;
    return { name, service, measure, isUpperBound, bound, line };
}

/** Judges a run by the stated outcomes. A measure that the run does not have fails. */
export function compareOutcomes(outcomes: readonly StatedOutcome[], report: ReplayReport): JudgedOutcome[] {
    return outcomes.map(outcome => {
        const seen = readMeasure(outcome, report);
        const holds = seen !== undefined && (outcome.isUpperBound ? seen <= outcome.bound : seen >= outcome.bound);
        return { outcome, seen, holds };
    });
}

function readMeasure(outcome: StatedOutcome, report: ReplayReport): number | undefined {
    if (outcome.service === undefined) {
        return runMeasures[outcome.measure]?.(report);
    }
    const service = report.services.find(candidate => candidate.service === outcome.service);
    return service === undefined ? undefined : serviceMeasures[outcome.measure]?.(service);
}
