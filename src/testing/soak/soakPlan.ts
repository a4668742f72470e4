import { RandomSource, SeededRandom } from "../../common/random.js";

/** What a fault does. */
export enum FaultKind {
    NodeKill = "node-kill",
    NodeFreeze = "node-freeze",
    NodeStop = "node-stop",
    NodeReload = "node-reload",
    AllNodesKill = "all-nodes-kill",
    StoreRefusing = "store-refusing",
    StoreSilent = "store-silent",
    StoreLosingAnswers = "store-losing-answers",
    HistoryLost = "history-lost",
    StoreLink = "store-link",
    CallerLink = "caller-link",
    EndpointLink = "endpoint-link",
    EndpointCrash = "endpoint-crash",
    EndpointDrain = "endpoint-drain",
    EndpointErrors = "endpoint-errors",
    Configuration = "configuration",
    CallerCrowd = "caller-crowd",
}

/** Kinds that come in a series of their own, so that a seed's other faults stay what they were when it was recorded. */
const separateKinds: ReadonlySet<FaultKind> = new Set([FaultKind.CallerCrowd]);

/** One fault of a plan. Times are in milliseconds from the start. */
export interface PlannedFault {
    readonly at: number;
    readonly kind: FaultKind;
    readonly duration: number;
    /** Picks the node, endpoint or link that it strikes. */
    readonly choice: number;
    /** Picks the variant. */
    readonly variant: number;
}

/** Pauses between faults, in milliseconds: some come together, none waits until the one before has passed. */
const shortestPauseMilliseconds = 100;
const longestPauseMilliseconds = 2_500;
const shortestFaultMilliseconds = 500;
const longestFaultMilliseconds = 4_000;
const shortestCrowdPauseMilliseconds = 3_000;
const longestCrowdPauseMilliseconds = 9_000;
/** Choices are fractions of this. */
const choiceRange = 1_000_000;

/** Plans faults in series that overlap, the same for the same seed. */
export function createSoakPlan(seed: number, duration: number): PlannedFault[] {
    const usual = Object.values(FaultKind).filter(kind => !separateKinds.has(kind));
    return [
        ...createSeries(SeededRandom.create(seed), usual, duration, shortestPauseMilliseconds, longestPauseMilliseconds),
        ...createSeries(
            SeededRandom.create(seed + choiceRange),
            [...separateKinds],
            duration,
            shortestCrowdPauseMilliseconds,
            longestCrowdPauseMilliseconds,
        ),
    ];
}

/** Creates a series of faults of some kinds, each a pause after the start of the one before. */
function createSeries(
    random: RandomSource,
    kinds: readonly FaultKind[],
    duration: number,
    shortestPause: number,
    longestPause: number,
): PlannedFault[] {
    const faults: PlannedFault[] = [];
    let at = 1_000;
    while (at < duration) {
        faults.push({
            at,
            kind: kinds[random.pickIndex(kinds.length)] as FaultKind,
            duration: pickBetween(random, shortestFaultMilliseconds, longestFaultMilliseconds),
            choice: random.pickIndex(choiceRange),
            variant: random.pickIndex(choiceRange),
        });
        at += pickBetween(random, shortestPause, longestPause);
    }
    return faults;
}

function pickBetween(random: RandomSource, least: number, most: number): number {
    return Math.round(least + random.pickFraction() * (most - least));
}
