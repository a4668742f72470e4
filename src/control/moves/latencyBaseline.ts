/** Observations that are kept of each kind of load. */
const windowSize = 64;
/** Observations needed before anything is called slow. */
const leastObservations = 10;
/** Share of the old version's observations that lie below the threshold. */
const quantileShare = 0.9;
/** Factor and addition, in milliseconds, by which a time must pass that quantile to be called slow. */
const slowFactor = 1.3;
const slowAddition = 5;
/** Share of an endpoint's capacity that divides light load from heavy load. */
const heavyLoadShare = 0.5;

/** Which of a version's times is meant. */
export enum LatencyKind {
    FirstToken = "first-token",
    BetweenTokens = "between-tokens",
}

/** Remembers how fast the old version is, under light and under heavy load, and tells which times are slow. */
export class LatencyBaseline {
    private readonly windows = new Map<string, number[]>();

    private constructor() {}

    static create(): LatencyBaseline {
        return new LatencyBaseline();
    }

    /** Records a time of the old version, in milliseconds. */
    recordTime(kind: LatencyKind, load: number, time: number): void {
        const key = createKey(kind, load);
        const window = this.windows.get(key) ?? [];
        window.push(time);
        if (window.length > windowSize) {
            window.shift();
        }
        this.windows.set(key, window);
    }

    /** Says whether a time is slow against the old version under comparable load; undefined while too little is known. */
    isSlow(kind: LatencyKind, load: number, time: number): boolean | undefined {
        const window = this.windows.get(createKey(kind, load)) ?? [];
        if (window.length < leastObservations) {
            return undefined;
        }
        const sorted = [...window].sort((left, right) => left - right);
        const quantile = sorted[Math.floor(sorted.length * quantileShare)] as number;
        return time > quantile * slowFactor + slowAddition;
    }
}

function createKey(kind: LatencyKind, load: number): string {
    return `${kind}/${load >= heavyLoadShare ? "heavy" : "light"}`;
}
