import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../common/random.js";
import { generateAnswer } from "../../standins/generation.js";
import { CallerAnswer, sendCompletion } from "../callers.js";
import { createDefaultTeams, Deployment } from "../deployment.js";

const seeds = Array.from({ length: 20 }, (_value, index) => index + 1);
const runsAtOnce = 4;
const streams = 24;
const domains = ["xela", "peten", "coban"];

/** What a run reclaims. */
enum Reclaim {
    OneEndpoint,
    OneNode,
    DomainOfEndpoints,
    EndpointAndNode,
}

test("20 seeded runs of announced reclaims lose nothing and change no byte", async () => {
    for (let start = 0; start < seeds.length; start += runsAtOnce) {
        await Promise.all(seeds.slice(start, start + runsAtOnce).map(runReclaim));
    }
});

async function runReclaim(seed: number): Promise<void> {
    const random = SeededRandom.create(seed);
    const kind = seed % 4 as Reclaim;
    const deployment = await Deployment.create({
        domains,
        nodesPerDomain: 2,
        enginesPerDomain: 2,
        plainPerDomain: 0,
        engine: { stepTime: 10, capacity: 32 },
        teams: createDefaultTeams(),
        seed,
        timing: { drainLimit: 3_600, readinessGrace: 100 },
    });
    try {
        const running: Promise<{ answer: CallerAnswer; expected: string; }>[] = [];
        for (let index = 0; index < streams; index += 1) {
            const prompt = `Lote ${seed}-${index}: ¿está el casco retirado? Jas ub'i' ri lote?`;
            const tokens = 20 + random.pickIndex(100);
            const urls = domains.flatMap((
                _domain,
                domainIndex,
            ) => [deployment.getCallerUrl(domainIndex * 2), deployment.getCallerUrl(domainIndex * 2 + 1)]);
            const rotated = [...urls.slice(index % urls.length), ...urls.slice(0, index % urls.length)];
            const service = index % 3 === 0 ? "draft" : "lookup";
            running.push(
                sendCompletion(rotated, service, prompt, tokens).then(answer => ({ answer, expected: generateAnswer(prompt, tokens) })),
            );
        }
        await new Promise(resolve => setTimeout(resolve, 50 + random.pickIndex(300)));
        await runFault(deployment, kind, random);
        for (const { answer, expected } of await Promise.all(running)) {
            assert.equal(answer.status, 200, `seed ${seed}: ${answer.body}`);
            assert.equal(
                answer.text,
                expected,
                `seed ${seed}, request ${answer.requestId}, whole ${answer.isWhole}: ${answer.body.slice(-300)}`,
            );
            assert.deepEqual(answer.ids, answer.ids.map((_id, index) => index + 1), `seed ${seed}: offsets`);
        }
    }
    finally {
        await deployment.stop();
    }
}

async function runFault(deployment: Deployment, kind: Reclaim, random: SeededRandom): Promise<void> {
    const notice = 200 + random.pickIndex(400);
    const engine = deployment.engines[random.pickIndex(deployment.engines.length)];
    const node = deployment.nodes[random.pickIndex(deployment.nodes.length)];
    assert.ok(engine !== undefined && node !== undefined);
    // Every other engine does not refuse by itself; only the host list and the notice tell.
    const refuses = random.pickFraction() < 0.5;
    switch (kind) {
        case Reclaim.OneEndpoint:
            await deployment.removeEngine(engine, notice, refuses);
            return;
        case Reclaim.OneNode:
            await node.stop();
            return;
        case Reclaim.DomainOfEndpoints: {
            const domain = domains[random.pickIndex(domains.length)] as string;
            const lost = deployment.engines.filter(candidate => candidate.options.name.startsWith(`engine-${domain}-`));
            await Promise.all(lost.map(candidate => deployment.removeEngine(candidate, notice, refuses)));
            return;
        }
        case Reclaim.EndpointAndNode:
            await Promise.all([deployment.removeEngine(engine, notice, refuses), node.stop()]);
    }
}
