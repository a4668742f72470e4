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
}

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
/** Choices are fractions of this. */
const choiceRange = 1_000_000;

/** Plans faults in series that overlap, the same for the same seed. */
export function createSoakPlan(seed: number, duration: number): PlannedFault[] {
    const random = SeededRandom.create(seed);
    const kinds = Object.values(FaultKind);
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
        at += pickBetween(random, shortestPauseMilliseconds, longestPauseMilliseconds);
    }
    return faults;
}

function pickBetween(random: RandomSource, least: number, most: number): number {
    return Math.round(least + random.pickFraction() * (most - least));
}
