import assert from "node:assert/strict";
import { test } from "node:test";
import { hashSha256 } from "../common/hashing.js";
import { SeededRandom } from "../common/random.js";
import { GossipTestFleet } from "../testing/gossipFleet.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { RateRefusal, SharedRateLimit } from "./sharedRateLimiter.js";
import { computePlace, findSizeClass, UsageDivision } from "./usageDivision.js";

const stepMilliseconds = 10;
const windowMilliseconds = 8_000;
const slack = 140_000;
const overage = 0.1;
const hotFrom = 20_000;
const hotUntil = 35_000;
const hotFactor = 7.5;
/** Factor on its usual calls with which a team asks for three quarters of what a window of a small limit may hold. */
const nearLimitFactor = 2.1;
/** Part of its limit that the team asks for while it is calm. */
const usualShare = 0.55;

/** What happens beside the hot team, in milliseconds. */
interface Disruption {
    readonly cut?: { readonly from: number; readonly until: number; };
    /** Time at which all nodes of a failure domain restart. */
    readonly restartAt?: number;
    /** Time that each digest waits until it is handled while the team is hot. */
    readonly digestDelay?: number;
}

const disruptions: Record<string, Disruption> = {
    "undisturbed": {},
    "beside a cut of a failure domain": { cut: { from: 22_300, until: 27_800 } },
    "that gets hot during a cut": { cut: { from: 18_000, until: 27_800 } },
    "while a failure domain restarts": { restartAt: 24_000 },
};

/** Kinds of calls by size, as they are mixed in the usual load. */
enum CallKind {
    Plain = "plain",
    Note = "note",
    Document = "document",
}

interface AskedCall {
    readonly at: number;
    readonly kind: CallKind;
    readonly units: number;
    readonly refusal: RateRefusal | undefined;
    /** Whether the call passed when it was repeated at another node, if it was. */
    isRepeatPassed: boolean | undefined;
}

function pickCall(random: SeededRandom): { kind: CallKind; units: number; } {
    const kind = random.pickFraction();
    if (kind < 0.26) {
        return { kind: CallKind.Plain, units: 200 };
    }
    if (kind < 0.87) {
        return { kind: CallKind.Note, units: 2_000 + random.pickIndex(800) };
    }
    const units = random.pickFraction() < 0.1 ? 20_000 + random.pickIndex(20_000) : 5_000 + random.pickIndex(12_000);
    return { kind: CallKind.Document, units };
}
const meanUnits = 3_125;

function createLimit(rate: number): SharedRateLimit {
    return { name: "shops", rate, burst: rate };
}

/** Units that a limit lets pass in a window. */
function countAllowed(rate: number): number {
    return rate * windowMilliseconds / 1_000 + rate;
}

/** When a refused caller repeats its call. */
enum Repeat {
    Never,
    AtOnce,
    /** After the time it was told, if that is at most four and a half seconds. */
    AsTold,
}
const longestWaitMilliseconds = 4_500;

/** Plays one team that asks for several times its limit, over relays, with callers that a hash spreads unevenly over the nodes. */
async function replayHotTeam(
    nodes: number,
    rate: number,
    isDivided: boolean,
    disruption: Disruption,
    repeat = Repeat.Never,
    factorWhenHot = hotFactor,
): Promise<AskedCall[]> {
    const clock = VirtualClock.create();
    const random = SeededRandom.create(nodes);
    const fleet = new GossipTestFleet(clock, nodes, ["a", "b", "c"], { slack, window: windowMilliseconds, overage, isDivided });
    const limit = createLimit(rate);
    const asked: AskedCall[] = [];
    const returns: { readonly at: number; readonly call: AskedCall; readonly take: (waited: number) => RateRefusal | undefined; }[] = [];
    let due = 0;
    for (let now = 0; now < hotUntil + windowMilliseconds; now += stepMilliseconds) {
        await clock.runUntil(now);
        const { cut, restartAt } = disruption;
        fleet.cutOffDomain = cut !== undefined && now >= cut.from && now < cut.until ? "c" : undefined;
        if (now === restartAt) {
            fleet.nodes.forEach((node, index) => node.failureDomain === "b" ? fleet.replaceNode(index) : undefined);
        }
        fleet.digestDelay = now >= hotFrom ? disruption.digestDelay ?? 0 : 0;
        fleet.runDueExchanges(stepMilliseconds);
        const factor = now >= hotFrom && now < hotUntil ? factorWhenHot : 1;
        due += rate * usualShare * factor * stepMilliseconds / 1_000 / meanUnits;
        for (; due >= 1; due -= 1) {
            const pickCaps = () => fleet.nodes[Math.min(random.pickIndex(nodes), random.pickIndex(nodes))]?.caps;
            const { kind, units } = pickCall(random);
            const fingerprint = hashSha256(String(asked.length));
            const take = (waited: number) =>
                pickCaps()?.takeUnits(limit, units, units, { rank: 0, waited, getFingerprint: () => fingerprint });
            const call: AskedCall = { at: now, kind, units, refusal: take(0), isRepeatPassed: undefined };
            asked.push(call);
            const wait = (call.refusal?.wait ?? Infinity) * 1_000;
            if (repeat === Repeat.AtOnce && call.refusal !== undefined) {
                call.isRepeatPassed = take(0) === undefined;
            }
            if (repeat === Repeat.AsTold && wait <= longestWaitMilliseconds) {
                returns.push({ at: now + wait, call, take });
            }
        }
        for (const { at, call, take } of returns.filter(other => other.at > now - stepMilliseconds && other.at <= now)) {
            call.isRepeatPassed = take(at - call.at) === undefined;
        }
    }
    return asked;
}

/** Returns the units that passed in each window that begins at a multiple of 100 ms, by its begin. */
function countWindows(asked: readonly AskedCall[]): Map<number, number> {
    const slot = 100;
    const bySlot = new Map<number, number>();
    for (const { at, units, refusal } of asked) {
        bySlot.set(Math.floor(at / slot), (bySlot.get(Math.floor(at / slot)) ?? 0) + (refusal === undefined ? units : 0));
    }
    const windows = new Map<number, number>();
    for (let first = 0; first * slot <= hotUntil; first += 1) {
        let sum = 0;
        for (let index = first; index < first + windowMilliseconds / slot; index += 1) {
            sum += bySlot.get(index) ?? 0;
        }
        windows.set(first * slot, sum);
    }
    return windows;
}

function computeServedShare(asked: readonly AskedCall[], isCounted: (call: AskedCall) => boolean): number {
    const counted = asked.filter(call => call.at >= hotFrom && call.at < hotUntil && isCounted(call));
    return counted.filter(call => call.refusal === undefined).length / counted.length;
}

// Pattern: one team asks for four times its limit within a second, at all nodes, while a failure domain is cut off or restarts.
for (const [nodes, rate] of [[21, 100_000], [70, 100_000], [70, 220_000]] as const) {
    for (const [name, disruption] of Object.entries(disruptions)) {
        test(`${nodes} nodes divide ${rate} units a second of a hot team ${name} without breaking its limit or shutting it out`, async () => {
            const asked = await replayHotTeam(nodes, rate, true, disruption);
            const allowed = countAllowed(rate);
            const windows = countWindows(asked);
            const bound = allowed * (1 + overage) + slack;
            const fullest = Math.max(...windows.values());
            assert.equal(fullest <= bound, true, `${fullest / allowed} of the limit in a window, bound ${bound / allowed}`);
            const emptiest = Math.min(
                ...[...windows].filter(([at]) => at >= hotFrom && at + windowMilliseconds <= hotUntil).map(([, sum]) => sum),
            );
            assert.equal(emptiest >= allowed * 0.65, true, `${emptiest / allowed} of the limit used in a window`);
        });
    }
}

// Guards against a team that gets more than its limit since counts reach the nodes late, as on hosts that are short of processor time.
for (
    const [nodes, rate, factor, digestDelay] of [
        [70, 100_000, hotFactor, 300],
        [70, 220_000, hotFactor, 300],
        [70, 100_000, 12, 150],
        [70, 220_000, 12, 150],
    ] as const
) {
    test(`${nodes} nodes whose digests wait ${digestDelay} ms keep ${rate} units a second of a team that asks for ${factor} times its usual`, async () => {
        const asked = await replayHotTeam(nodes, rate, true, { digestDelay }, Repeat.Never, factor);
        const allowed = countAllowed(rate);
        const windows = countWindows(asked);
        const fullest = Math.max(...windows.values());
        assert.equal(fullest <= allowed * (1 + overage) + slack, true, `${fullest / allowed} of the limit in a window`);
    });
}

// Pattern: a team whose lowered limit leaves it little room asks for about as much as it may, in few and partly large calls.
test("a team that asks for three quarters of what its window may hold is hardly refused while room is left, and keeps its limit", async () => {
    const rate = 60_000;
    const bound = countAllowed(rate) * (1 + overage) + slack;
    const asked = await replayHotTeam(16, rate, true, {}, Repeat.Never, nearLimitFactor);
    const windows = countWindows(asked);
    const fullest = Math.max(...windows.values());
    assert.equal(fullest <= bound, true, `${fullest / bound} of what a window may hold`);
    const counted = asked.filter(({ at }) => at >= hotFrom && at < hotUntil);
    const early = counted.filter(({ at, units, refusal }) =>
        refusal !== undefined && (windows.get(Math.floor((at - windowMilliseconds) / 100) * 100) ?? 0) + units <= bound * 0.75
    );
    assert.equal(early.length <= counted.length * 0.01, true, `${early.length} of ${counted.length} refused with room left`);
});

// Pattern: nodes that have run for a while get the first calls of a team, of which no node has reported anything yet.
test("the first calls of a team are not refused for what other nodes might have admitted", async () => {
    const clock = VirtualClock.create();
    const fleet = new GossipTestFleet(clock, 16, ["a", "b", "c"], { slack, window: windowMilliseconds, overage, isDivided: true });
    await fleet.runRounds(30);
    for (let index = 0; index < 16; index += 1) {
        const claim = { rank: 0, waited: 0, getFingerprint: () => hashSha256(String(index)) };
        assert.equal(fleet.nodes[index]?.caps.takeUnits(createLimit(60_000), 20_000, 20_000, claim), undefined, `call ${index}`);
    }
});

// Pattern: one team asks for four times its limit while a failure domain is cut off; each side can only assume what the other admits.
for (const nodes of [21, 70]) {
    test(`${nodes} nodes that admit by their parts keep a hot team's limit beside a cut and restarts, and use it`, async () => {
        const rate = 100_000;
        const allowed = countAllowed(rate);
        for (const disruption of Object.values(disruptions).filter(other => Object.keys(other).length > 0)) {
            const asked = await replayHotTeam(nodes, rate, false, disruption);
            const windows = countWindows(asked);
            const fullest = Math.max(...windows.values());
            assert.equal(fullest <= allowed * (1 + overage) + slack, true, `${fullest / allowed} of the limit in a window`);
            // What the fleet is thought to have admitted, once all nodes have heard of the cut, against what it admitted.
            for (const { at, refusal } of asked.filter(call => call.at >= 24_500 && call.at < 27_500 && call.refusal !== undefined)) {
                const admitted = windows.get(Math.floor((at - windowMilliseconds) / 100) * 100) ?? 0;
                const ratio = (refusal?.passed ?? 0) / admitted;
                assert.equal(ratio <= 1.25, true, `${ratio} times what was admitted, at ${at}`);
            }
        }
    });
}

// Pattern: a hot team mixes plain calls, short notes and documents of very uneven sizes.
test("small calls of a hot team are not behind its large ones, and its large ones are not shut out", async () => {
    const asked = await replayHotTeam(21, 220_000, true, {});
    const all = computeServedShare(asked, () => true);
    const ofKind = (kind: CallKind) => computeServedShare(asked, call => call.kind === kind);
    const [plain, note, document] = [CallKind.Plain, CallKind.Note, CallKind.Document].map(ofKind) as [number, number, number];
    const large = computeServedShare(asked, call => call.units >= 20_000);
    const shares = `plain ${plain}, note ${note}, document ${document}, largest documents ${large}, all ${all}`;
    assert.equal(plain >= 0.95 && plain >= note && note >= document, true, shares);
    assert.equal(document >= all / 4, true, shares);
    assert.equal(large >= document / 2, true, shares);
});

// Pattern: callers that do not wait as they are told, but repeat a refused call at once, at another node.
test("a refused call of a hot team that is repeated at once at another node is not served before others", async () => {
    const asked = await replayHotTeam(21, 220_000, true, {}, Repeat.AtOnce);
    const refused = asked.filter(call => call.at >= hotFrom + 3_000 && call.at < hotUntil && call.refusal !== undefined);
    const repeated = refused.filter(call => call.isRepeatPassed === true).length / refused.length;
    const first = computeServedShare(asked, call => call.at >= hotFrom + 3_000 && call.kind !== CallKind.Plain);
    assert.equal(repeated <= first / 2, true, `${repeated} of the repeats pass, ${first} of first attempts`);
});

// Pattern: callers of a hot team that wait as they are told and come back to another node, while as many new calls arrive.
test("most refused calls of a hot team that come back when they were told are served then", async () => {
    const asked = await replayHotTeam(21, 220_000, true, {}, Repeat.AsTold);
    const told = asked.filter(call =>
        call.at >= hotFrom + 3_000 && call.at < hotUntil - longestWaitMilliseconds && call.isRepeatPassed !== undefined
    );
    const served = told.filter(call => call.isRepeatPassed === true).length / told.length;
    assert.equal(served >= 0.5, true, `${served} of ${told.length}`);
    const allowed = countAllowed(220_000);
    const returned = asked.filter(call => call.isRepeatPassed === true).map(call => ({
        ...call,
        at: call.at + (call.refusal?.wait ?? 0) * 1_000,
        refusal: undefined,
    }));
    const fullest = Math.max(...countWindows([...asked, ...returned]).values());
    assert.equal(fullest <= allowed * (1 + overage) + slack, true, `${fullest / allowed} of the limit in a window`);
});

test("urgent calls pass at least as often as less urgent ones of the same size, and each class at half the mean share or more", () => {
    const requested: number[] = [];
    requested[findSizeClass(2_400, 0)] = 50_000;
    requested[findSizeClass(2_400, 2)] = 50_000;
    requested[findSizeClass(40_000, 2)] = 100_000;
    const filled = Array.from({ length: requested.length }, (_value, index) => requested[index] ?? 0);
    const division = UsageDivision.create(filled, 50_000, 1_000);
    const [urgent, other, large] = [[2_400, 0], [2_400, 2], [40_000, 2]].map(([units, rank]) =>
        division.getServedShare(findSizeClass(units as number, rank as number))
    ) as [number, number, number];
    assert.equal(urgent > other && other > large && large >= 0.25 / 2, true, `${urgent} ${other} ${large}`);
    assert.equal(division.countServed(filled) <= 50_001, true);
});

test("a call's place changes once a term, so that no call is last for long, and at another time for each call", () => {
    const fingerprints = Array.from({ length: 200 }, (_value, index) => hashSha256(`call ${index}`));
    const changedAt = (time: number) =>
        fingerprints.filter(fingerprint => computePlace(fingerprint, time, 8_000) !== computePlace(fingerprint, time - 1_000, 8_000))
            .length;
    for (let time = 1_000_000; time < 1_016_000; time += 1_000) {
        assert.equal(changedAt(time) < fingerprints.length / 4, true, `${changedAt(time)} change at ${time}`);
    }
    for (const fingerprint of fingerprints) {
        const places = Array.from({ length: 8 }, (_value, turn) => computePlace(fingerprint, turn * 8_000, 8_000));
        assert.equal(Math.min(...places) < 0.25, true, places.join(" "));
    }
});
