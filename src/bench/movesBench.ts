import { SeededRandom } from "../common/random.js";
import { MoveState } from "../control/moves/moveRecord.js";
import { pickQuantile } from "../replay/report.js";
import { MoveOutcome, MoveScenario, MoveWorld, pickAttempt, VersionKind } from "../testing/moveWorld.js";
import { Bench, BenchResult } from "./types.js";

const movesPerTrace = 104;
const goodShare = 0.5;
const badKinds = Object.values(VersionKind).filter(kind => kind !== VersionKind.Good);
/** Requests a second of the service that moves, as in the two traces, and the deadlines of its moves. */
const traces = [
    { name: "recall-desk", requestsPerSecond: 7.2, deadlineSeconds: 240 },
    { name: "register", requestsPerSecond: 4.5, deadlineSeconds: 300 },
];
const baselineSteps = [0.05, 0.25, 0.5, 1];
const baselineWindow = 100;
const baselineThreshold = 0.05;

/** Good and bad versions moved by the product's own classes in virtual time, against two simple ways. */
export const movesBench: Bench = {
    name: "moves",
    description: `${movesPerTrace} moves for each of two traces, half good; bad kinds: ${
        badKinds.join(", ")
    }; seeds 1 to ${movesPerTrace}.`,
    run: runMoves,
};

interface Played {
    readonly scenario: MoveScenario;
    readonly outcome: MoveOutcome;
}

async function runMoves(): Promise<BenchResult> {
    const played: Played[] = [];
    for (const trace of traces) {
        for (let seed = 1; seed <= movesPerTrace; seed += 1) {
            const isGood = seed <= movesPerTrace * goodShare;
            const kind = isGood ? VersionKind.Good : badKinds[seed % badKinds.length] as VersionKind;
            const scenario = {
                kind,
                seed,
                requestsPerSecond: trace.requestsPerSecond,
                deadlineSeconds: trace.deadlineSeconds,
                domains: ["a", "b", "c"],
                nodesPerDomain: 1,
            };
            played.push({ scenario, outcome: await MoveWorld.create(scenario).runScenario() });
        }
    }
    const good = played.filter(entry => entry.scenario.kind === VersionKind.Good);
    const bad = played.filter(entry => entry.scenario.kind !== VersionKind.Good);
    const completed = good.filter(entry =>
        entry.outcome.record.state === MoveState.Completed && (entry.outcome.endedAt ?? Infinity) <= entry.outcome.deadline
    );
    const takenBack = bad.filter(entry => entry.outcome.record.state === MoveState.TakenBack);
    const harm = bad.map(entry => countHarm(entry.outcome));
    const delays = bad.map(entry => entry.outcome.takeBackDelay).filter(delay => delay !== undefined).map(delay => delay / 1_000);
    const further = bad.map(entry => entry.outcome.badAfterFirst);
    const completionSeconds = completed.map(entry =>
        ((entry.outcome.endedAt ?? 0) - (entry.outcome.deadline - entry.scenario.deadlineSeconds * 1_000)) / 1_000
    );
    const guarded = runBaselines(true);
    const unguarded = runBaselines(false);
    return {
        fields: {
            moves: played.length,
            good_completed_share: completed.length / good.length,
            bad_taken_back_share: takenBack.length / bad.length,
            harmed_share_median: pickQuantile(harm, 0.5) ?? 1,
            harmed_share_worst: Math.max(...harm),
            take_back_p95_seconds: pickQuantile(delays, 0.95) ?? Infinity,
            further_bad_requests_p95: pickQuantile(further, 0.95) ?? Infinity,
            completion_p50_seconds: pickQuantile(completionSeconds, 0.5) ?? 0,
            worst_kind: findWorstKind(bad),
            ...guarded,
            ...unguarded,
        },
        atMost: { harmed_share_median: 0.01, harmed_share_worst: 0.03, take_back_p95_seconds: 3, further_bad_requests_p95: 20 },
        atLeast: { good_completed_share: 0.99, bad_taken_back_share: 1 },
    };
}

function countHarm(outcome: MoveOutcome): number {
    const harmed = outcome.requests.filter(request => request.isNew && request.isBad).length;
    return harmed / Math.max(1, outcome.requests.length);
}

function findWorstKind(bad: readonly Played[]): string {
    const worst = [...bad].sort((left, right) => countHarm(right.outcome) - countHarm(left.outcome))[0];
    return worst === undefined ? "" : `${worst.scenario.kind} seed ${worst.scenario.seed}`;
}

/** Fixed steps, each for a quarter of the time; with a guard, a share of failures above a threshold takes the move back. */
function runBaselines(hasGuard: boolean): Record<string, number> {
    let goodCompleted = 0;
    let goodCount = 0;
    let badTakenBack = 0;
    const harms: number[] = [];
    for (const trace of traces) {
        for (let seed = 1; seed <= movesPerTrace; seed += 1) {
            const isGood = seed <= movesPerTrace * goodShare;
            const kind = isGood ? VersionKind.Good : badKinds[seed % badKinds.length] as VersionKind;
            const result = runBaseline(kind, seed, trace.requestsPerSecond * trace.deadlineSeconds, hasGuard);
            goodCount += isGood ? 1 : 0;
            goodCompleted += isGood && !result.isTakenBack ? 1 : 0;
            badTakenBack += !isGood && result.isTakenBack ? 1 : 0;
            if (!isGood) {
                harms.push(result.harmedShare);
            }
        }
    }
    const name = hasGuard ? "baseline_threshold" : "baseline_unguarded";
    return {
        [`${name}_good_completed_share`]: goodCompleted / goodCount,
        [`${name}_bad_taken_back_share`]: badTakenBack / harms.length,
        [`${name}_harmed_share_median`]: pickQuantile(harms, 0.5) ?? 0,
        [`${name}_harmed_share_worst`]: Math.max(...harms),
    };
}

function runBaseline(
    kind: VersionKind,
    seed: number,
    requests: number,
    hasGuard: boolean,
): { isTakenBack: boolean; harmedShare: number; } {
    const random = SeededRandom.create(seed * 7 + 3);
    const window: boolean[] = [];
    let harmed = 0;
    let trials = 0;
    let isTakenBack = false;
    for (let index = 0; index < requests; index += 1) {
        const share = baselineSteps[Math.floor(index / requests * baselineSteps.length)] as number;
        if (isTakenBack || random.pickFraction() >= share) {
            continue;
        }
        const team = ["desk", "shops", "parents"][random.pickIndex(3)] as string;
        const route = ["completions", "chat"][random.pickIndex(2)] as string;
        const drawn = pickAttempt(kind, random, random.pickFraction() * 0.9, team, route, trials);
        trials += 1;
        harmed += drawn.isBad ? 1 : 0;
        window.push(!drawn.succeeded);
        if (window.length > baselineWindow) {
            window.shift();
        }
        const failures = window.filter(failed => failed).length;
        isTakenBack = hasGuard && window.length >= baselineWindow / 4 && failures / window.length > baselineThreshold;
    }
    return { isTakenBack, harmedShare: harmed / requests };
}
