import { setTimeout as sleep } from "node:timers/promises";
import { configurationPrefix } from "../config/objectNames.js";
import { CorianderNode } from "../node/corianderNode.js";
import { Keys } from "../node/keys.js";
import { pickQuantile } from "../replay/report.js";
import { createDefaultTeams, Deployment } from "../testing/deployment.js";
import { Bench, BenchFields, BenchResult } from "./types.js";

const sizes = [6, 18, 36];
const changes = 20;
const domains = ["a", "b", "c", "d", "e", "f"];
const changePauseMilliseconds = 400;
const settleMilliseconds = 3_000;

/** When a revision was published or came into force, in monotonic milliseconds. */
interface InForce {
    readonly revision: number;
    readonly at: number;
}

/** Time from a publish until it is in force on every node, over the number of nodes. */
export const configSpreadBench: Bench = {
    name: "config-spread",
    description: `Publishes ${changes} changes to deployments of ${sizes.join(", ")} nodes in ${domains.length} failure domains.`,
    run: runConfigSpread,
};

async function runConfigSpread(): Promise<BenchResult> {
    const fields: BenchFields = {};
    let worst = 0;
    for (const size of sizes) {
        const delays = await measureSize(size);
        const p99 = pickQuantile(delays, 0.99) ?? Infinity;
        fields[`in_force_${size}_nodes_p50_milliseconds`] = pickQuantile(delays, 0.5) ?? Infinity;
        fields[`in_force_${size}_nodes_p99_milliseconds`] = p99;
        worst = Math.max(worst, p99);
    }
    fields["in_force_p99_milliseconds"] = worst;
    return { fields, atMost: { in_force_p99_milliseconds: 2_000 }, atLeast: {} };
}

async function measureSize(size: number): Promise<number[]> {
    const deployment = await Deployment.create({
        domains,
        nodesPerDomain: size / domains.length,
        enginesPerDomain: 0,
        plainPerDomain: 0,
        timing: { exchangeInterval: 500 },
    });
    const seen = deployment.nodes.map(node => observeNode(node));
    const published: InForce[] = [];
    await sleep(2_000);
    for (let change = 0; change < changes; change += 1) {
        const teams = createDefaultTeams().map(team => ({ ...team, team: { ...team.team, requestsPerSecond: 1_000 + change } }));
        const at = performance.now();
        await deployment.publishTeams(teams);
        published.push({ revision: deployment.platform.getRevision(`${configurationPrefix}desk`), at });
        await sleep(changePauseMilliseconds);
    }
    await sleep(settleMilliseconds);
    await deployment.stop();
    return published.flatMap(change => seen.map(times => computeDelay(change, times)));
}

function observeNode(node: CorianderNode): InForce[] {
    const times: InForce[] = [];
    node.container.get(Keys.ConfigurationConsumer).addListener({
        handleConfiguration: (_team, revision) => times.push({ revision, at: performance.now() }),
    });
    return times;
}

/** Returns the time until a node had a change, or a later one, in force; without end when it never had. */
function computeDelay(change: InForce, times: readonly InForce[]): number {
    const first = times.find(time => time.revision >= change.revision);
    return first === undefined ? Infinity : first.at - change.at;
}
