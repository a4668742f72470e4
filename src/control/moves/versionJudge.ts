import { EvidenceCounts, MoveEvidence } from "./moveEvidence.js";
import { MoveReason } from "./moveRecord.js";
import { CumulativeSumTest, SequentialTest, TestRates, TrialCounts } from "./sequentialTest.js";

/** Bound of the evidence, as a logarithm of odds, for all traffic together and for a single route. */
const wholeBound = 8.5;
const routeBound = 10;

/** What is judged of a version. */
interface Measure {
    readonly reason: MoveReason;
    readonly rates: TestRates;
    readCounts(counts: EvidenceCounts): TrialCounts;
}

const measures: readonly Measure[] = [
    {
        reason: MoveReason.Failures,
        rates: { leastBaseline: 0.01, badMargin: 0.2 },
        readCounts: counts => ({ trials: counts.trials, bad: counts.failures }),
    },
    {
        reason: MoveReason.SlowFirstToken,
        rates: { leastBaseline: 0.08, badMargin: 0.4 },
        readCounts: counts => ({ trials: counts.timed, bad: counts.slowFirstTokens }),
    },
    {
        reason: MoveReason.SlowTokens,
        rates: { leastBaseline: 0.08, badMargin: 0.4 },
        readCounts: counts => ({ trials: counts.timed, bad: counts.slowGaps }),
    },
    {
        reason: MoveReason.Incomplete,
        rates: { leastBaseline: 0.02, badMargin: 0.2 },
        readCounts: counts => ({ trials: counts.trials - counts.failures, bad: counts.incomplete }),
    },
];

/** What the judge found. */
export interface JudgeFinding {
    readonly reason: MoveReason;
    /** Empty for all traffic together. */
    readonly route: string;
}

/** Creates the tests that a judge uses; benches compare others. */
export interface TestFactory {
    createTest(rates: TestRates, bound: number): SequentialTest;
}

/** Judges by cumulative sums. */
export const cumulativeSumFactory: TestFactory = { createTest: (rates, bound) => CumulativeSumTest.create(rates, bound) };

/** Judges the new version of one move: on all traffic and on each route, by failures, times and whole answers. */
export class VersionJudge {
    private readonly tests = new Map<string, SequentialTest>();
    private finding: JudgeFinding | undefined;

    private constructor(
        private readonly evidence: MoveEvidence,
        private readonly oldVersion: string,
        private readonly factory: TestFactory,
    ) {}

    static create(evidence: MoveEvidence, oldVersion: string, factory: TestFactory = cumulativeSumFactory): VersionJudge {
        return new VersionJudge(evidence, oldVersion, factory);
    }

    /** Adds what a node counted of the new version on a route. */
    addCounts(route: string, added: EvidenceCounts): void {
        for (const measure of measures) {
            const counts = measure.readCounts(added);
            if (counts.trials <= 0) {
                continue;
            }
            this.addTrials(measure, "", wholeBound, counts, this.evidence.computeCounts(this.oldVersion));
            this.addTrials(measure, route, routeBound, counts, this.evidence.computeCounts(this.oldVersion, route));
        }
    }

    /** Returns why the version is bad, or undefined. A finding stays. */
    getFinding(): JudgeFinding | undefined {
        return this.finding;
    }

    /** Returns the strongest evidence against the version as a share of its bound. */
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
            test = this.factory.createTest(measure.rates, bound);
            this.tests.set(key, test);
        }
        test.addTrials(counts, measure.readCounts(baseline));
        if (this.finding === undefined && test.isBad()) {
            this.finding = { reason: measure.reason, route };
        }
    }
}
