import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../common/random.js";
import { Priority, TeamConfiguration } from "../config/types.js";
import { pickQuantile } from "../replay/report.js";
import { createCallerHeaders } from "../testing/callers.js";
import { createTestService, createTestTeam, Deployment } from "../testing/deployment.js";
import { Bench, BenchFields, BenchResult } from "./types.js";

const loads = [0.5, 1, 1.5, 2, 5];
const seconds = 10;
const warmUpSeconds = 3;
const lookupTokens = 20;
const draftTokens = 60;
const draftPart = 0.1;
const firstTokenLimit = 1_100;
const lookupQueueLimit = 800;
const draftQueueLimit = 10_000;
const spikeSeconds = 15;
const recoverySeconds = 10;
const spikeLoad = 5;
const refusalLimit = 100;
const capacityProbeLoad = 3;

/** What one caller saw. Times are in milliseconds. */
interface Seen {
    readonly team: string;
    readonly at: number;
    readonly status: number;
    readonly firstToken: number | undefined;
    readonly took: number;
    readonly isWhole: boolean;
    readonly attempts: number;
    readonly gaps: readonly number[];
    readonly isLookup: boolean;
}

/** Goodput, latency and refusals at several loads, a spike with callers that send again, and a team that floods. */
export const overloadBench: Bench = {
    name: "overload",
    description: `Lookups and drafts at ${
        loads.join(", ")
    } times the capacity for ${seconds} s each; a spike of ${spikeLoad} times; a flooding team.`,
    run: runOverload,
};

function createTeams(): TeamConfiguration[] {
    const lookup = createTestService("lookup", { queueTimeLimit: lookupQueueLimit, timeLimit: 10_000, callers: ["shops"] });
    const draft = createTestService("draft", { priority: Priority.Draft, timeLimit: 30_000, queueTimeLimit: draftQueueLimit });
    return [createTestTeam("desk", [lookup, draft]), createTestTeam("shops", [])];
}

function createDeployment(): Promise<Deployment> {
    return Deployment.create({
        nodesPerDomain: 2,
        enginesPerDomain: 3,
        plainPerDomain: 0,
        engine: { capacity: 8, stepTime: 20, stepGrowth: 0.05, waitingLimit: 4 },
        teams: createTeams(),
    });
}

async function runOverload(): Promise<BenchResult> {
    const capacity = await measureCapacity();
    const fields: BenchFields = { capacity_requests_per_second: capacity };
    const goodputs: number[] = [];
    let lookupP95 = 0;
    let gapP95 = 0;
    let refusalP99 = 0;
    let mostAttempts = 0;
    for (const load of loads) {
        const seen = await runLoad(capacity * load, seconds);
        const good = seen.filter(isGood);
        const accepted = seen.filter(entry => entry.status === 200);
        const refused = seen.filter(entry => entry.status === 503 || entry.status === 429);
        const name = `load_${String(load).replace(".", "_")}`;
        goodputs.push(good.length / seconds);
        const firstTokens = accepted.filter(entry => entry.isLookup && entry.firstToken !== undefined).map(entry =>
            entry.firstToken as number
        );
        const p95 = pickQuantile(firstTokens, 0.95) ?? 0;
        fields[`${name}_goodput_per_second`] = good.length / seconds;
        fields[`${name}_lookup_first_token_p95_milliseconds`] = p95;
        fields[`${name}_refused_share`] = refused.length / seen.length;
        lookupP95 = Math.max(lookupP95, p95);
        gapP95 = Math.max(gapP95, pickQuantile(accepted.flatMap(entry => entry.gaps), 0.95) ?? 0);
        refusalP99 = Math.max(refusalP99, pickQuantile(refused.map(entry => computeRefusalDelay(entry)), 0.95) ?? 0);
        mostAttempts = Math.max(mostAttempts, seen.reduce((sum, entry) => sum + entry.attempts, 0) / Math.max(1, seen.length));
    }
    const best = Math.max(...goodputs);
    const overloaded = goodputs.filter((_goodput, index) => (loads[index] as number) >= 1);
    const spike = await measureSpike(capacity);
    const flood = await measureFlood(capacity);
    return {
        fields: {
            ...fields,
            goodput_least_share_of_best: Math.min(...overloaded) / best,
            lookup_first_token_p95_milliseconds: lookupP95,
            between_tokens_p95_milliseconds: gapP95,
            refusal_p95_milliseconds: refusalP99,
            attempts_per_request: mostAttempts,
            recovery_seconds: spike,
            flooded_team_loss_share: flood,
        },
        atMost: {
            lookup_first_token_p95_milliseconds: firstTokenLimit,
            between_tokens_p95_milliseconds: 45,
            refusal_p95_milliseconds: refusalLimit,
            attempts_per_request: 1.1,
            recovery_seconds: recoverySeconds,
            flooded_team_loss_share: 0.05,
        },
        atLeast: { goodput_least_share_of_best: 0.95 },
    };
}

function isGood(entry: Seen): boolean {
    const isInTime = !entry.isLookup || (entry.firstToken ?? Infinity) <= firstTokenLimit;
    return entry.status === 200 && entry.isWhole && isInTime;
}

/**
 * A refusal counts from the moment at which the wait had to pass the deadline: at arrival, or when the time to wait was over.
 * For one in between, the moment at which the estimate passed the deadline cannot be seen from outside; it counts as 0.
 */
function computeRefusalDelay(entry: Seen): number {
    const limit = entry.isLookup ? lookupQueueLimit : draftQueueLimit;
    return entry.took > limit ? entry.took - limit : 0;
}

/** Measures the capacity as the requests finished under a steady overload. */
async function measureCapacity(): Promise<number> {
    const estimate = 3 * 8 * 1_000 / (lookupTokens * 20 * 1.4);
    const seen = await runLoad(estimate * capacityProbeLoad, seconds);
    return seen.filter(entry => entry.status === 200 && entry.isWhole).length / seconds;
}

async function runLoad(requestsPerSecond: number, span: number): Promise<Seen[]> {
    const deployment = await createDeployment();
    const random = SeededRandom.create(7);
    await sendSteadily(deployment, random, requestsPerSecond, warmUpSeconds, "desk");
    const seen = await sendSteadily(deployment, random, requestsPerSecond, span, "desk");
    await deployment.stop();
    return seen;
}

/** A spike, with callers that follow Retry-After; returns the seconds after it until the goodput is back at 95 % of before. */
async function measureSpike(capacity: number): Promise<number> {
    const deployment = await createDeployment();
    const random = SeededRandom.create(9);
    const before = await sendSteadily(deployment, random, capacity * 0.8, 6, "desk");
    const goodBefore = before.filter(isGood).length / 6;
    const spike = sendSteadily(deployment, random, capacity * spikeLoad, spikeSeconds, "desk", true);
    await sleep(spikeSeconds * 1_000);
    const after = await sendSteadily(deployment, random, capacity * 0.8, recoverySeconds + 2, "desk");
    await spike;
    await deployment.stop();
    for (let second = 0; second <= recoverySeconds; second += 1) {
        const inSecond = after.filter(entry => entry.at >= second * 1_000 && entry.at < (second + 2) * 1_000);
        if (inSecond.filter(isGood).length / 2 >= goodBefore * 0.95) {
            return second;
        }
    }
    return Infinity;
}

/** Returns the share that a team loses of what it asks for, within its share, while another floods. */
async function measureFlood(capacity: number): Promise<number> {
    const deployment = await createDeployment();
    const random = SeededRandom.create(11);
    const flood = sendSteadily(deployment, random, capacity * 4, seconds, "desk");
    const quiet = await sendSteadily(deployment, SeededRandom.create(13), capacity * 0.3, seconds, "shops");
    await flood;
    await deployment.stop();
    const late = quiet.filter(entry => entry.at > 2_000);
    return 1 - late.filter(isGood).length / Math.max(1, late.length);
}

async function sendSteadily(
    deployment: Deployment,
    random: SeededRandom,
    requestsPerSecond: number,
    span: number,
    team: string,
    sendsAgain = false,
): Promise<Seen[]> {
    const startedAt = performance.now();
    const running: Promise<Seen>[] = [];
    let next = 0;
    for (;;) {
        next += -Math.log(1 - random.pickFraction()) * 1_000 / requestsPerSecond;
        if (next >= span * 1_000) {
            break;
        }
        const wait = next - (performance.now() - startedAt);
        if (wait > 1) {
            await sleep(wait);
        }
        const isLookup = team !== "desk" || random.pickFraction() >= draftPart;
        running.push(send(deployment, random, team, isLookup, next, sendsAgain));
    }
    return Promise.all(running);
}

async function send(
    deployment: Deployment,
    random: SeededRandom,
    team: string,
    isLookup: boolean,
    at: number,
    sendsAgain: boolean,
): Promise<Seen> {
    const url = deployment.getCallerUrl(random.pickIndex(deployment.nodes.length));
    for (let count = 0;; count += 1) {
        const seen = await sendOnce(url, team, isLookup, at, random.pickIndex(1_000_000));
        if (!sendsAgain || seen.status !== 503 || count >= 2) {
            return seen;
        }
        await sleep(1_000);
    }
}

async function sendOnce(url: string, team: string, isLookup: boolean, at: number, number: number): Promise<Seen> {
    const body = JSON.stringify({
        model: isLookup ? "lookup" : "draft",
        prompt: `Lote ${number}`,
        max_tokens: isLookup ? lookupTokens : draftTokens,
        stream: true,
    });
    const startedAt = performance.now();
    const response = await fetch(`${url}/v1/completions`, { method: "POST", headers: createCallerHeaders(team), body });
    let firstToken: number | undefined;
    let lastAt = 0;
    let text = "";
    const gaps: number[] = [];
    for await (const chunk of response.body ?? []) {
        const now = performance.now();
        if (firstToken === undefined) {
            firstToken = now - startedAt;
        }
        else {
            gaps.push(now - lastAt);
        }
        lastAt = now;
        text += Buffer.from(chunk as Uint8Array).toString("utf8");
    }
    return {
        team,
        at,
        status: response.status,
        firstToken: response.status === 200 ? firstToken : undefined,
        took: performance.now() - startedAt,
        isWhole: text.includes("[DONE]"),
        attempts: Number(response.headers.get("x-request-attempts") ?? 0),
        gaps: response.status === 200 ? gaps : [],
        isLookup,
    };
}
