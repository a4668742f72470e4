/** Latest observations that are kept for each latency kind and load level. */
const windowSize = 64;
/** Observations required before a time is compared. */
const minimumObservations = 10;
/** Quantile of the old version's times from which the threshold is computed. */
const slowQuantile = 0.9;
/** A time is slow when it exceeds the quantile times this factor plus this margin, in the unit of the recorded times. */
const slowFactor = 1.3;
const slowMargin = 5;
/** Load of an endpoint, as a share of its capacity, from which it counts as heavy. */
const heavyLoadThreshold = 0.5;

/** Which latency of an attempt is compared. */
export enum LatencyKind {
    FirstToken = "first-token",
    BetweenTokens = "between-tokens",
}

/** Keeps recent latencies of the old version, under light and heavy load separately, and classifies times of the new version as slow. */
export class LatencyBaseline {
    private readonly windows = new Map<string, number[]>();

    private constructor() {}

    static create(): LatencyBaseline {
        return new LatencyBaseline();
    }

    /** Records a latency of the old version. The unit is the caller's choice, the same for all calls; the load is a share of the capacity. */
    recordTime(kind: LatencyKind, load: number, time: number): void {
        const key = createKey(kind, load);
        const window = this.windows.get(key) ?? [];
        window.push(time);
        if (window.length > windowSize) {
            window.shift();
        }
        this.windows.set(key, window);
    }

    /** Returns whether a time is slow compared with the old version under similar load; undefined with too few observations. */
    isSlow(kind: LatencyKind, load: number, time: number): boolean | undefined {
        const window = this.windows.get(createKey(kind, load)) ?? [];
        if (window.length < minimumObservations) {
            return undefined;
        }
        const sorted = [...window].sort((left, right) => left - right);
        const quantile = sorted[Math.floor(sorted.length * slowQuantile)] as number;
        return time > quantile * slowFactor + slowMargin;
    }
}

function createKey(kind: LatencyKind, load: number): string {
    return `${kind}/${load >= heavyLoadThreshold ? "heavy" : "light"}`;
}
