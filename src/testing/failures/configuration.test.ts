import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../common/random.js";
import { configurationPrefix } from "../../config/objectNames.js";
import { TeamConfiguration } from "../../config/types.js";
import { Keys } from "../../node/keys.js";
import { pickQuantile } from "../../replay/report.js";
import { createTestService, createTestTeam } from "../deployment.js";
import { VirtualFleet, VirtualNode } from "../virtualFleet.js";

const schedules = 200;
const domains = ["xela", "peten", "coban"];
const nodesPerDomain = 2;
const scheduleMilliseconds = 12_000;
/** Time without faults at the end, after which every node must have the last revision. */
const calmMilliseconds = 4_000;
/** Stated bound for today: in force on every reachable node within 2 s at p99. */
const inForceLimitMilliseconds = 2_000;

const team = createTestTeam("desk", [createTestService("lookup")]);

interface Observation {
    readonly node: string;
    readonly revision: number;
    readonly at: number;
}

test("200 seeded schedules of races, restarts, stale reads, outages and partitions: revisions never fall, the last one is in force everywhere", async () => {
    const delays: number[] = [];
    for (let seed = 1; seed <= schedules; seed += 1) {
        delays.push(...await runSchedule(seed));
    }
    const p99 = pickQuantile(delays, 0.99) ?? Infinity;
    assert.ok(delays.length > schedules, "changes were seen in calm times");
    assert.ok(p99 <= inForceLimitMilliseconds, `in force within ${p99} ms at p99`);
});

/** Runs one schedule; returns the delays, in virtual milliseconds, of the changes published while nothing was wrong. */
async function runSchedule(seed: number): Promise<number[]> {
    const fleet = VirtualFleet.create({ domains, nodesPerDomain, teams: [team], seed, timing: {} });
    const random = SeededRandom.create(seed);
    const seen: Observation[] = [];
    const published = new Map<number, { at: number; isCalm: boolean; }>();
    let faults = 0;
    fleet.nodes.forEach(node => observeNode(fleet, node, seen));
    await fleet.world.runUntil(1_500);
    while (fleet.world.getMonotonicTime() < scheduleMilliseconds) {
        faults = applyFault(fleet, random, seen, faults);
        publish(fleet, random, published, faults === 0);
        await fleet.world.runUntil(fleet.world.getMonotonicTime() + 200 + random.pickIndex(800));
    }
    endFaults(fleet);
    await fleet.world.runUntil(scheduleMilliseconds + calmMilliseconds);
    const last = publish(fleet, random, published, true);
    await fleet.world.runUntil(scheduleMilliseconds + 2 * calmMilliseconds);
    checkMonotone(seen, seed);
    for (const node of fleet.nodes) {
        assert.equal(node.container.get(Keys.Configuration).getRevision("desk"), last, `seed ${seed}: ${node.name} at the end`);
    }
    fleet.stop();
    return seen.filter(entry => published.get(entry.revision)?.isCalm === true).map(entry =>
        entry.at - (published.get(entry.revision)?.at ?? 0)
    );
}

function observeNode(fleet: VirtualFleet, node: VirtualNode, seen: Observation[]): void {
    node.container.get(Keys.ConfigurationConsumer).addListener({
        handleConfiguration: (_team, revision) => {
            // A replaced node starts anew; its name carries the time of its start.
            seen.push({
                node: `${node.name}@${node.container.get(Keys.Directory).identity.incarnation}`,
                revision,
                at: fleet.world.getMonotonicTime(),
            });
        },
    });
}

function publish(
    fleet: VirtualFleet,
    random: SeededRandom,
    published: Map<number, { at: number; isCalm: boolean; }>,
    isCalm: boolean,
): number {
    const changed: TeamConfiguration = { ...team, team: { ...team.team, requestsPerSecond: 1 + random.pickIndex(10_000) } };
    const revision = fleet.publishTeam(changed);
    if (random.pickFraction() < 0.2) {
        // Another operator races: the first change is never to come back.
        const raced = fleet.publishTeam(team);
        published.set(raced, { at: fleet.world.getMonotonicTime(), isCalm });
        return raced;
    }
    published.set(revision, { at: fleet.world.getMonotonicTime(), isCalm });
    return revision;
}

function applyFault(fleet: VirtualFleet, random: SeededRandom, seen: Observation[], faults: number): number {
    const node = fleet.nodes[random.pickIndex(fleet.nodes.length)] as VirtualNode;
    const [from, to] = [domains[random.pickIndex(domains.length)] as string, domains[random.pickIndex(domains.length)] as string];
    switch (random.pickIndex(9)) {
        case 0:
            fleet.nodes.forEach(other => (other.store.faults.isDown = true));
            return faults + 1;
        case 1:
            node.store.faults.isDown = true;
            return faults + 1;
        case 2:
            fleet.nodes.forEach(other => (other.store.faults.staleReadShare = 0.5));
            return faults + 1;
        case 3:
            fleet.addCut(from, to);
            return faults + 1;
        case 4:
            fleet.addCut(from, to);
            fleet.addCut(to, from);
            return faults + 1;
        case 5: {
            fleet.killNode(node);
            observeNode(fleet, fleet.startNode(node.domain, node.name), seen);
            return faults + 1;
        }
        case 6:
            node.clock.addPause(500 + random.pickIndex(4_000));
            return faults + 1;
        case 7:
            endFaults(fleet);
            return 0;
        default:
            return faults;
    }
}

function endFaults(fleet: VirtualFleet): void {
    fleet.removeCuts();
    for (const node of fleet.nodes) {
        node.store.faults.isDown = false;
        node.store.faults.staleReadShare = 0;
    }
}

function checkMonotone(seen: readonly Observation[], seed: number): void {
    const highest = new Map<string, number>();
    for (const entry of seen) {
        assert.ok(
            entry.revision > (highest.get(entry.node) ?? 0),
            `seed ${seed}: ${entry.node} went from ${highest.get(entry.node)} to ${entry.revision}`,
        );
        highest.set(entry.node, entry.revision);
    }
}

test("a node that starts while the platform is away takes the highest revision that its peers hold", async () => {
    const fleet = VirtualFleet.create({ domains: ["xela"], nodesPerDomain: 3, teams: [team], seed: 5, timing: {} });
    await fleet.world.runUntil(2_000);
    const revision = fleet.publishTeam({ ...team, team: { ...team.team, share: 7 } });
    await fleet.world.runUntil(4_000);
    fleet.nodes.forEach(node => (node.store.faults.isDown = true));
    const old = fleet.nodes[0] as VirtualNode;
    fleet.killNode(old);
    const replaced = fleet.startNode("xela", old.name);
    replaced.store.faults.isDown = true;
    assert.equal(replaced.container.get(Keys.Gate).listUnreadyReasons().includes("no configuration"), true, "not ready before it has one");
    await fleet.world.runUntil(6_000);
    assert.equal(replaced.container.get(Keys.Configuration).getRevision("desk"), revision);
    assert.equal(fleet.objects.objects.get(`${configurationPrefix}desk`)?.revision, revision);
    fleet.stop();
});
