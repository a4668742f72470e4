import { EvidenceCounts, MoveEvidence } from "./moveEvidence.js";
import { MoveReason } from "./moveRecord.js";
import { CumulativeSumTest, SequentialTest, TestRates, TrialCounts } from "./sequentialTest.js";

/** Bounds of the evidence, as log-likelihood ratios, for all traffic together and for a single route. */
const allTrafficBound = 8.5;
const routeBound = 10;

/** A quality of a version that is tested: its reason for a rollback, the assumed rates and the counts it uses. */
interface Measure {
    readonly reason: MoveReason;
    readonly rates: TestRates;
    readCounts(counts: EvidenceCounts): TrialCounts;
}

const measures: readonly Measure[] = [
    {
        reason: MoveReason.Failures,
        rates: { minimumBaselineRate: 0.01, badRateMargin: 0.2 },
        readCounts: counts => ({ trials: counts.trials, bad: counts.failures }),
    },
    {
        reason: MoveReason.SlowFirstToken,
        rates: { minimumBaselineRate: 0.08, badRateMargin: 0.4 },
        readCounts: counts => ({ trials: counts.timed, bad: counts.slowFirstTokens }),
    },
    {
        reason: MoveReason.SlowTokens,
        rates: { minimumBaselineRate: 0.08, badRateMargin: 0.4 },
        readCounts: counts => ({ trials: counts.timed, bad: counts.slowGaps }),
    },
    {
        reason: MoveReason.Incomplete,
        rates: { minimumBaselineRate: 0.02, badRateMargin: 0.2 },
        readCounts: counts => ({ trials: counts.trials - counts.failures, bad: counts.incomplete }),
    },
];

/** The test that rejected the new version. */
export interface JudgeFinding {
    readonly reason: MoveReason;
    /** Empty for all traffic together. */
    readonly route: string;
}

/** Creates the sequential tests of a judge; benchmarks substitute other tests. */
export interface TestFactory {
    createTest(rates: TestRates, bound: number): SequentialTest;
}

/** Creates cumulative sum tests. */
export const cumulativeSumFactory: TestFactory = { createTest: (rates, bound) => CumulativeSumTest.create(rates, bound) };

/**
 * Judges the new version of one move by failures, latencies and truncated responses, on all traffic and on each route. Routes are
 * tested separately so that a fault on one route is found among the good results of the others.
 */
export class VersionJudge {
    private readonly tests = new Map<string, SequentialTest>();
    private finding: JudgeFinding | undefined;

    private constructor(
        private readonly evidence: MoveEvidence,
        private readonly oldVersion: string,
        private readonly testFactory: TestFactory,
    ) {}

    static create(evidence: MoveEvidence, oldVersion: string, testFactory: TestFactory = cumulativeSumFactory): VersionJudge {
        return new VersionJudge(evidence, oldVersion, testFactory);
    }

    /** Adds new counts of the new version on a route and updates the tests. */
    addCounts(route: string, added: EvidenceCounts): void {
        for (const measure of measures) {
            const counts = measure.readCounts(added);
            if (counts.trials <= 0) {
                continue;
            }
            this.addTrials(measure, "", allTrafficBound, counts, this.evidence.computeCounts(this.oldVersion));
            this.addTrials(measure, route, routeBound, counts, this.evidence.computeCounts(this.oldVersion, route));
        }
    }

    /** Returns the first finding against the new version, or undefined. A finding is never withdrawn. */
    getFinding(): JudgeFinding | undefined {
        return this.finding;
    }

    /** Returns the strongest evidence against the new version as a share of its bound, from 0 to 1. */
    getEvidence(): number {
        let strongest = 0;
        for (const test of this.tests.values()) {
            strongest = Math.max(strongest, test.getEvidence());
        }
        return strongest;
    }

    private addTrials(measure: Measure, route: string, bound: number, counts: TrialCounts, baseline: EvidenceCounts): void {
        const key = `${measure.reason}/${route}`;
        let test = this.tests.get(key);
        if (test === undefined) {
            test = this.testFactory.createTest(measure.rates, bound);
            this.tests.set(key, test);
        }
        test.addTrials(counts, measure.readCounts(baseline));
        if (this.finding === undefined && test.isBad()) {
            this.finding = { reason: measure.reason, route };
        }
    }
}
