import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Time over which the growth of demand is measured, in milliseconds. Growth counts only if both halves show it: large requests are no trend. */
const trendMilliseconds = 3_000;
/** Largest growth that a forecast assumes, as a share of the demand. A steeper one is mostly a burst that ends before an endpoint has started. */
const largestGrowthShare = 0.5;

/** Time for which demand is remembered, in milliseconds. */
const keptMilliseconds = 10_000;

interface DemandSample {
    readonly at: number;
    readonly demand: number;
}

/** Forecasts the demand at the time at which an endpoint ordered now begins to serve. */
export class DemandForecast {
    private samples: DemandSample[] = [];

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): DemandForecast {
        return new DemandForecast(clock);
    }

    /** Records the demand of now, in any unit. */
    recordDemand(demand: number): void {
        const at = this.clock.getMonotonicTime();
        this.samples.push({ at, demand });
        this.samples = this.samples.filter(sample => at - sample.at <= keptMilliseconds);
    }

    /** Returns the demand expected after some seconds. A falling demand is not extrapolated: it may rise again before endpoints could. */
    computeExpected(seconds: number): number {
        const samples = this.listLatest(trendMilliseconds);
        const first = samples[0];
        const last = samples.at(-1);
        if (first === undefined || last === undefined) {
            return 0;
        }
        const middle = samples.find(sample => sample.at - first.at >= trendMilliseconds / 2);
        const growth = middle === undefined ? 0 : Math.min(computeGrowth(first, middle), computeGrowth(middle, last));
        return last.demand + Math.min(last.demand * largestGrowthShare, Math.max(0, growth) * seconds);
    }

    /** Returns the demand that has lasted: its mean over the latest seconds. A peak that is shorter ends before an endpoint could serve it. */
    computeLasting(seconds: number): number {
        const samples = this.listLatest(seconds * millisecondsPerSecond);
        return samples.reduce((sum, { demand }) => sum + demand, 0) / Math.max(1, samples.length);
    }

    private listLatest(age: number): DemandSample[] {
        const now = this.clock.getMonotonicTime();
        return this.samples.filter(sample => now - sample.at <= age);
    }
}

/** Returns the growth between two samples, for a second. */
function computeGrowth(from: DemandSample, to: DemandSample): number {
    return to.at > from.at ? (to.demand - from.demand) / (to.at - from.at) * millisecondsPerSecond : 0;
}
