import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { generateAnswer } from "../standins/generation.js";
import { createTestToken, Deployment } from "../testing/deployment.js";

const headers = { authorization: `Bearer ${createTestToken("desk")}`, "content-type": "application/json" };
let deployment: Deployment;

before(async () => {
    deployment = await Deployment.create({ nodesPerDomain: 2 });
});

after(() => deployment.stop());

test("a streamed completion contains every token, with consecutive event ids from 1", async () => {
    const body = JSON.stringify({ model: "lookup", prompt: "¿Está mi casco en la lista?", max_tokens: 12, stream: true });
    const response = await fetch(`${deployment.getCallerUrl()}/v1/completions`, { method: "POST", headers, body });
    const text = await response.text();
    const events = text.split("\n\n").filter(event => event.includes(`"text":" `));
    const completion = events.map(event =>
        (JSON.parse(event.split("data: ")[1] as string) as { choices: { text: string; }[]; }).choices[0]?.text
    ).join("");
    assert.equal(response.status, 200);
    assert.equal(completion, generateAnswer("¿Está mi casco en la lista?", 12));
    assert.deepEqual(events.map(event => event.split("\n")[0]), events.map((_event, index) => `id: ${index + 1}`));
    assert.ok(text.endsWith("data: [DONE]\n\n"));
});

test("a non-idempotent call with an idempotency key runs once, even if it is retried on another node", async () => {
    const send = (index: number) =>
        fetch(`${deployment.getCallerUrl(index)}/services/voucher/issue`, {
            method: "POST",
            headers: { ...headers, "idempotency-key": "voucher-7" },
            body: JSON.stringify({ shop: 7 }),
        });
    const first = await send(0);
    const second = await send(1);
    assert.equal(first.status, 200);
    assert.equal(first.headers.get("x-request-verdict"), "Ran");
    assert.equal(second.headers.get("x-request-replayed"), "true");
    assert.equal(await second.text(), await first.text());
    assert.equal(deployment.plainServices.flatMap(service => service.effects).length, 1);
});

test("metrics count requests by service, team, outcome and verdict", async () => {
    const metrics = await (await fetch(`${deployment.getOperatorUrl()}/metrics`)).text();
    assert.match(metrics, /corianderward_requests_total\{service="voucher",team="desk",outcome="finished",verdict="Ran"\} 1/);
});
