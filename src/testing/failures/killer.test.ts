import assert from "node:assert/strict";
import { test } from "node:test";
import { Keys } from "../../node/keys.js";
import { killerText } from "../../standins/engineTypes.js";
import { generateAnswer } from "../../standins/generation.js";
import { sendCompletion } from "../callers.js";
import { Deployment } from "../deployment.js";

const innocents = 24;
const innocentTokens = 120;
const resends = 8;
/** Stated bound for what goes through the platform to be in force everywhere, in milliseconds. */
const learnLimitMilliseconds = 6_000;

async function runKiller(deployment: Deployment): Promise<void> {
    const urls = deployment.nodes.map((_node, index) => deployment.getCallerUrl(index));
    const running = Array.from({ length: innocents }, (_value, index) => {
        const rotated = [...urls.slice(index % urls.length), ...urls.slice(0, index % urls.length)];
        return sendCompletion(rotated, "draft", `Lote inocente ${index}`, innocentTokens);
    });
    await new Promise(resolve => setTimeout(resolve, 300));
    for (let count = 0; count < resends; count += 1) {
        const answer = await sendCompletion([urls[count % urls.length] as string], "lookup", `Lote ${killerText}`, 10);
        assert.notEqual(answer.status, 200);
    }
    const answers = await Promise.all(running);
    answers.forEach((answer, index) => {
        assert.equal(
            answer.text,
            generateAnswer(`Lote inocente ${index}`, innocentTokens),
            `innocent ${index}: ${answer.body.slice(-300)}`,
        );
    });
}

test("a request that ends endpoints ends at most 2 in one failure domain, however often it is sent, and the others finish", async () => {
    const deployment = await Deployment.create({ nodesPerDomain: 3, enginesPerDomain: 6, plainPerDomain: 0, engine: { stepTime: 10 } });
    try {
        await runKiller(deployment);
        const ended = deployment.engines.filter(engine => engine.diedOfRequest).length;
        assert.ok(ended >= 1 && ended <= 2, `${ended} endpoints ended`);
    }
    finally {
        await deployment.stop();
    }
});

test("a request that ends endpoints ends at most 3 across failure domains that can talk", async () => {
    const deployment = await Deployment.create({
        domains: ["xela", "peten", "coban"],
        nodesPerDomain: 2,
        enginesPerDomain: 3,
        plainPerDomain: 0,
        engine: { stepTime: 10 },
    });
    try {
        await runKiller(deployment);
        const ended = deployment.engines.filter(engine => engine.diedOfRequest).length;
        assert.ok(ended >= 1 && ended <= 3, `${ended} endpoints ended`);
    }
    finally {
        await deployment.stop();
    }
});

// Guards against taking the first tokens of a request as proof that it does not crash its endpoint.
test("a request that ends endpoints after its first tokens ends at most 2, however often it is sent", async () => {
    const deployment = await Deployment.create({
        domains: ["xela"],
        nodesPerDomain: 1,
        enginesPerDomain: 6,
        plainPerDomain: 0,
        engine: { stepTime: 10, tokensBeforeCrash: 3 },
    });
    try {
        for (let count = 0; count < resends; count += 1) {
            await sendCompletion([deployment.getCallerUrl(0)], "lookup", `Lote ${killerText}`, 10);
        }
        const ended = deployment.engines.filter(engine => engine.diedOfRequest).length;
        assert.ok(ended >= 1 && ended <= 2, `${ended} endpoints ended`);
    }
    finally {
        await deployment.stop();
    }
});

test("failure domains cut off from each other learn of a quarantine through the platform", async () => {
    const deployment = await Deployment.create({ domains: ["xela", "peten"], nodesPerDomain: 1, enginesPerDomain: 3, plainPerDomain: 0 });
    try {
        deployment.cuts.addMutualCut("xela", "peten");
        await sendCompletion([deployment.getCallerUrl(0)], "lookup", `Lote ${killerText}`, 10);
        const ledger = deployment.nodes[1]?.container.get(Keys.Ledger);
        const until = performance.now() + learnLimitMilliseconds;
        while (ledger?.listRecords().some(record => record.endpoints.length >= 2) !== true) {
            assert.ok(performance.now() < until, "the other domain did not learn of the quarantine");
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        const answer = await sendCompletion([deployment.getCallerUrl(1)], "lookup", `Lote ${killerText}`, 10);
        assert.equal(answer.status, 422);
        assert.equal(answer.verdict, "NotRun");
        assert.equal(deployment.engines.filter(engine => engine.diedOfRequest).length, 2);
    }
    finally {
        await deployment.stop();
    }
});
