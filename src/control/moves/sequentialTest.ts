/** Number of trials, and of the bad ones among them. */
export interface TrialCounts {
    readonly trials: number;
    readonly bad: number;
}

/** Sequential test that decides after each group of trials whether the new version is worse than the old one. */
export interface SequentialTest {
    /** Adds trials of the new version; the baseline holds the old version's counts of the same move. */
    addTrials(counts: TrialCounts, baseline: TrialCounts): void;
    /** Returns whether the evidence against the new version has reached the bound. */
    isBad(): boolean;
    /** Returns the evidence as a share of the bound, from 0 to 1. */
    getEvidence(): number;
}

/** Rates of bad trials that a test assumes for a sound and for a bad version. */
export interface TestRates {
    /** Minimum rate assumed for a sound version. */
    readonly minimumBaselineRate: number;
    /** Amount by which a bad version's rate is assumed to exceed the baseline rate. */
    readonly badRateMargin: number;
}

/** Upper limit of the baseline rate; above it a bad version cannot be distinguished from a good one. */
const maximumBaselineRate = 0.6;
const maximumBadRate = 0.95;
/** Weight of the minimum baseline rate against the observed rate, in trials. */
const priorTrials = 20;

/**
 * Cumulative sum (CUSUM) test: a sequential probability ratio test whose sum is never below zero. Earlier good trials therefore
 * don't delay the detection of a version that becomes bad later.
 */
export class CumulativeSumTest implements SequentialTest {
    private sum = 0;

    private constructor(private readonly rates: TestRates, private readonly bound: number) {}

    /** The bound is a log-likelihood ratio: a higher one makes false alarms rarer and detection slower. */
    static create(rates: TestRates, bound: number): CumulativeSumTest {
        return new CumulativeSumTest(rates, bound);
    }

    addTrials(counts: TrialCounts, baseline: TrialCounts): void {
        const soundRate = computeBaselineRate(baseline, this.rates);
        const bad = Math.min(maximumBadRate, soundRate + this.rates.badRateMargin);
        const badTrialWeight = Math.log(bad / soundRate);
        const goodTrialWeight = Math.log((1 - bad) / (1 - soundRate));
        // Good trials are added first: the order within one report is unknown, and the sum does not go below zero.
        this.sum = Math.max(0, this.sum + (counts.trials - counts.bad) * goodTrialWeight);
        this.sum += counts.bad * badTrialWeight;
    }

    isBad(): boolean {
        return this.sum >= this.bound;
    }

    getEvidence(): number {
        return Math.min(1, this.sum / this.bound);
    }
}

/** Estimates the rate of bad trials of a sound version from the old version's counts and the minimum rate. */
export function computeBaselineRate(baseline: TrialCounts, rates: TestRates): number {
    const observed = (baseline.bad + rates.minimumBaselineRate * priorTrials) / (baseline.trials + priorTrials);
    return Math.min(maximumBaselineRate, Math.max(rates.minimumBaselineRate, observed));
}
