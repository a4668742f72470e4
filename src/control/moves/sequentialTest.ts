/** Counts of trials and of bad ones among them. */
export interface TrialCounts {
    readonly trials: number;
    readonly bad: number;
}

/** Decides, trial by trial, whether a version is worse than another. */
export interface SequentialTest {
    /** Adds trials of the new version; the baseline is what the old version showed in the same window. */
    addTrials(counts: TrialCounts, baseline: TrialCounts): void;
    /** Says whether the evidence against the new version has reached the bound. */
    isBad(): boolean;
    /** Returns the evidence as a share of the bound, from 0 to 1. */
    getEvidence(): number;
}

/** What a test takes for granted of sound and of bad versions. */
export interface TestRates {
    /** Least share of bad trials that is assumed of a sound version. */
    readonly leastBaseline: number;
    /** By how much a bad version's share of bad trials is assumed to lie above the baseline. */
    readonly badMargin: number;
}

/** Share of bad trials that a baseline cannot exceed; above it nothing can be told apart. */
const mostBaseline = 0.6;
const mostBadRate = 0.95;
/** Weight, in trials, of the least baseline against the observed one. */
const priorTrials = 20;

/**
 * A cumulative sum test: a sequential probability ratio test that begins anew whenever the evidence
 * speaks for the version. So it keeps watching a version that goes bad later.
 */
export class CumulativeSumTest implements SequentialTest {
    private sum = 0;

    private constructor(private readonly rates: TestRates, private readonly bound: number) {}

    /** The bound is a logarithm of odds: the higher, the rarer a false alarm and the later a true one. */
    static create(rates: TestRates, bound: number): CumulativeSumTest {
        return new CumulativeSumTest(rates, bound);
    }

    addTrials(counts: TrialCounts, baseline: TrialCounts): void {
        const sound = computeBaselineRate(baseline, this.rates);
        const bad = Math.min(mostBadRate, sound + this.rates.badMargin);
        const gain = Math.log(bad / sound);
        const loss = Math.log((1 - bad) / (1 - sound));
        // Good trials first: their order within one report is not known, and a sum that starts at zero forgives them.
        this.sum = Math.max(0, this.sum + (counts.trials - counts.bad) * loss);
        this.sum += counts.bad * gain;
    }

    isBad(): boolean {
        return this.sum >= this.bound;
    }

    getEvidence(): number {
        return Math.min(1, this.sum / this.bound);
    }
}

/** Estimates a sound version's share of bad trials, from the old version and the least baseline. */
export function computeBaselineRate(baseline: TrialCounts, rates: TestRates): number {
    const observed = (baseline.bad + rates.leastBaseline * priorTrials) / (baseline.trials + priorTrials);
    return Math.min(mostBaseline, Math.max(rates.leastBaseline, observed));
}
