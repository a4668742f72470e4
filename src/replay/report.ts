import { build, Histogram } from "hdr-histogram-js";
import { CallerOutcome, CallerRecord } from "./types.js";

const microsecondsPerMillisecond = 1_000;

/** Quantiles in milliseconds; undefined when nothing was measured. */
export interface Quantiles {
    readonly p50: number | undefined;
    readonly p95: number | undefined;
    readonly p99: number | undefined;
    readonly count: number;
}

/** What the callers of one service saw. */
export interface ServiceReport {
    readonly service: string;
    readonly requests: number;
    readonly finished: number;
    readonly refused: number;
    readonly firstToken: Quantiles;
    readonly betweenTokens: Quantiles;
}

/** What the stand-ins themselves recorded; the truth that a run is judged by. */
export interface StandInTruth {
    /** Effects by idempotency key. */
    readonly effectsByKey: ReadonlyMap<string, number>;
    /** Ids of requests that an endpoint saw. */
    readonly seenRequestIds: ReadonlySet<string>;
    readonly tokensRecomputed: number;
    readonly tokensGenerated: number;
    readonly endpointsKilledByRequests: number;
    readonly longestWorkAfterLeavingSeconds: number;
    readonly hostCost: number;
    readonly moves: readonly MoveTruth[];
    readonly badVersionRequests: number;
    readonly configurationSeconds: readonly number[];
}

/** How a move ended, by the record and by what the endpoints served. */
export interface MoveTruth {
    readonly service: string;
    readonly to: string;
    readonly state: string;
    readonly isSettledInTime: boolean;
    readonly isAccountTrue: boolean;
}

/** The result of a replay. */
export interface ReplayReport {
    readonly trace: string;
    readonly seed: number;
    readonly requests: number;
    readonly accepted: number;
    readonly finished: number;
    readonly refusedNotRun: number;
    readonly toldMayHaveRun: number;
    readonly failed: number;
    readonly lost: number;
    readonly refusalsFollowed: number;
    readonly duplicatedEffects: number;
    readonly incompleteOrCrossed: number;
    readonly untrueRefusals: number;
    readonly tokensRecomputed: number;
    readonly tokensGenerated: number;
    readonly endpointsKilledByRequests: number;
    readonly longestWorkAfterLeavingSeconds: number;
    readonly hostCost: number;
    readonly moves: readonly MoveTruth[];
    readonly movesUnsettled: number;
    readonly movesUntrue: number;
    readonly movesCompleted: number;
    readonly movesTakenBack: number;
    readonly badVersionShare: number;
    readonly configurationSecondsP99: number | undefined;
    readonly services: readonly ServiceReport[];
    readonly problems: readonly string[];
}

/** Problems that a report names one by one. */
const problemLimit = 20;

/** Judges what callers saw by what the stand-ins recorded. */
export function createReport(trace: string, seed: number, records: readonly CallerRecord[], truth: StandInTruth): ReplayReport {
    const problems: string[] = [];
    const countOutcome = (outcome: CallerOutcome) => records.filter(record => record.outcome === outcome).length;
    // A request that ends endpoints is not owed an answer: it counts neither as lost nor as failed.
    const owed = records.filter(record => !record.kills);
    const incomplete = owed.filter(record => isIncompleteOrCrossed(record));
    const untrue = records.flatMap(record => record.notRunIds.filter(id => truth.seenRequestIds.has(id)));
    const duplicated = [...truth.effectsByKey].filter(([key, count]) => key !== "" && count > 1);
    const lost = owed.filter(record => record.outcome === CallerOutcome.Lost);
    const failed = owed.filter(record => record.outcome === CallerOutcome.Failed);
    lost.forEach(record => problems.push(`lost: ${record.service} at ${record.at} s: ${record.detail}`));
    failed.forEach(record => problems.push(`failed: ${record.service} at ${record.at} s: ${record.detail}`));
    incomplete.forEach(record => problems.push(`incomplete or crossed: ${record.service} at ${record.at} s`));
    untrue.forEach(id => problems.push(`untrue refusal: ${id}`));
    duplicated.forEach(([key, count]) => problems.push(`duplicated effect: key ${key} ran ${count} times`));
    return {
        trace,
        seed,
        requests: records.length,
        accepted: records.filter(record => record.wasAccepted).length,
        finished: countOutcome(CallerOutcome.Finished),
        refusedNotRun: countOutcome(CallerOutcome.RefusedNotRun),
        toldMayHaveRun: countOutcome(CallerOutcome.ToldMayHaveRun),
        failed: failed.length,
        lost: lost.length,
        refusalsFollowed: records.reduce((sum, record) => sum + record.refusals, 0),
        duplicatedEffects: duplicated.length,
        incompleteOrCrossed: incomplete.length,
        untrueRefusals: untrue.length,
        tokensRecomputed: truth.tokensRecomputed,
        tokensGenerated: truth.tokensGenerated,
        endpointsKilledByRequests: truth.endpointsKilledByRequests,
        longestWorkAfterLeavingSeconds: truth.longestWorkAfterLeavingSeconds,
        hostCost: truth.hostCost,
        moves: truth.moves,
        movesUnsettled: truth.moves.filter(move => !move.isSettledInTime).length,
        movesUntrue: truth.moves.filter(move => !move.isAccountTrue).length,
        movesCompleted: truth.moves.filter(move => move.state === "completed").length,
        movesTakenBack: truth.moves.filter(move => move.state === "taken-back").length,
        badVersionShare: truth.badVersionRequests / Math.max(1, records.length),
        configurationSecondsP99: pickQuantile(truth.configurationSeconds, 0.99),
        services: createServiceReports(records),
        problems: problems.slice(0, problemLimit),
    };
}

function isIncompleteOrCrossed(record: CallerRecord): boolean {
    if (record.outcome !== CallerOutcome.Finished || record.expectedText === undefined) {
        return false;
    }
    return record.text !== record.expectedText;
}

function createServiceReports(records: readonly CallerRecord[]): ServiceReport[] {
    const names = [...new Set(records.map(record => record.service))].sort();
    return names.map(service => {
        const own = records.filter(record => record.service === service);
        const firstToken = createHistogram();
        const betweenTokens = createHistogram();
        for (const record of own) {
            if (record.firstToken !== undefined) {
                firstToken.recordValue(Math.round(record.firstToken * microsecondsPerMillisecond));
            }
            record.gaps.forEach(gap => betweenTokens.recordValue(Math.round(gap * microsecondsPerMillisecond)));
        }
        return {
            service,
            requests: own.length,
            finished: own.filter(record => record.outcome === CallerOutcome.Finished).length,
            refused: own.filter(record => record.outcome === CallerOutcome.RefusedNotRun).length,
            firstToken: readQuantiles(firstToken),
            betweenTokens: readQuantiles(betweenTokens),
        };
    });
}

function createHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
}

function readQuantiles(histogram: Histogram): Quantiles {
    if (histogram.totalCount === 0) {
        return { p50: undefined, p95: undefined, p99: undefined, count: 0 };
    }
    const read = (percentile: number) => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
    return { p50: read(50), p95: read(95), p99: read(99), count: histogram.totalCount };
}

/** Returns the value below which a share of the values lies. */
export function pickQuantile(values: readonly number[], share: number): number | undefined {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
