import assert from "node:assert/strict";
import { test } from "node:test";
import { generateAnswer } from "../../standins/generation.js";
import { createCallerHeaders } from "../callers.js";
import { Deployment } from "../deployment.js";

const draftTokens = 150;
const answerLimitMilliseconds = 20_000;

async function sendDraft(url: string, prompt: string): Promise<string> {
    const response = await fetch(`${url}/v1/completions`, {
        method: "POST",
        headers: { ...createCallerHeaders(), prefer: "respond-async" },
        body: JSON.stringify({ model: "draft", prompt, max_tokens: draftTokens }),
    });
    assert.equal(response.status, 202);
    return response.headers.get("location") ?? "";
}

async function pollDraft(url: string, location: string): Promise<string> {
    const until = performance.now() + answerLimitMilliseconds;
    while (performance.now() < until) {
        const response = await fetch(url + location, { headers: createCallerHeaders() });
        const body = await response.text();
        if (response.status === 200) {
            return (JSON.parse(body) as { choices: { text: string; }[]; }).choices[0]?.text ?? "";
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
    return "";
}

async function createDeployment(): Promise<Deployment> {
    return Deployment.create({
        nodesPerDomain: 3,
        enginesPerDomain: 2,
        plainPerDomain: 0,
        engine: { stepTime: 15 },
        timing: { drainLimit: 3_500, peerSilence: 500 },
    });
}

test("drafts of a node that is killed are adopted by another and arrive whole", async () => {
    const deployment = await createDeployment();
    try {
        const locations = await Promise.all([1, 2, 3].map(index => sendDraft(deployment.getCallerUrl(0), `Vistoria ${index}`)));
        await deployment.nodes[0]?.kill();
        const texts = await Promise.all(locations.map(location => pollDraft(deployment.getCallerUrl(1), location)));
        assert.deepEqual(texts, [1, 2, 3].map(index => generateAnswer(`Vistoria ${index}`, draftTokens)));
    }
    finally {
        await deployment.stop();
    }
});

test("drafts of a node that shuts down go on at a peer and arrive whole, also when the node dies in the middle of handing over", async () => {
    const deployment = await createDeployment();
    try {
        const locations = await Promise.all([1, 2, 3, 4].map(index => sendDraft(deployment.getCallerUrl(0), `Laudo ${index}`)));
        const stopped = deployment.nodes[0]?.stop();
        // The drain limit of 3.5 s leaves 0.5 s before handing over begins.
        await new Promise(resolve => setTimeout(resolve, 520));
        await deployment.nodes[0]?.kill();
        await stopped;
        const texts = await Promise.all(locations.map(location => pollDraft(deployment.getCallerUrl(2), location)));
        assert.deepEqual(texts, [1, 2, 3, 4].map(index => generateAnswer(`Laudo ${index}`, draftTokens)));
    }
    finally {
        await deployment.stop();
    }
});

test("a draft is accepted only when it is stored", async () => {
    const deployment = await createDeployment();
    try {
        deployment.platform.faults.isDown = true;
        const response = await fetch(`${deployment.getCallerUrl(0)}/v1/completions`, {
            method: "POST",
            headers: { ...createCallerHeaders(), prefer: "respond-async" },
            body: JSON.stringify({ model: "draft", prompt: "x", max_tokens: 5 }),
        });
        assert.equal(response.status, 503);
        assert.equal(response.headers.get("x-request-verdict"), "NotRun");
        assert.ok(Number(response.headers.get("retry-after")) >= 1);
    }
    finally {
        await deployment.stop();
    }
});
