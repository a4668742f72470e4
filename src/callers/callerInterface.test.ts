import { InMemorySpanExporter } from "@opentelemetry/sdk-trace-node";
import assert from "node:assert/strict";
import { request } from "node:http";
import { after, before, test } from "node:test";
import OpenAI from "openai";
import { Tracing } from "../common/tracing.js";
import { Keys, replaceBinding } from "../node/keys.js";
import { generateAnswer } from "../standins/generation.js";
import { createCallerHeaders, sendCompletion } from "../testing/callers.js";
import { createDefaultTeams, createTestTeam, createTestToken, Deployment } from "../testing/deployment.js";

const exporter = new InMemorySpanExporter();
let deployment: Deployment;

before(async () => {
    deployment = await Deployment.create({
        teams: [...createDefaultTeams(), createTestTeam("shops", [])],
        settings: { operatorTokenHash: "0".repeat(64) },
        customize: container => replaceBinding(container, Keys.Tracing, Tracing.create({ node: "test", sampleRatio: 1, exporter })),
    });
});

after(() => deployment.stop());

interface Problem {
    readonly status: number;
    readonly verdict: string;
    readonly code: string;
}

async function sendPost(
    path: string,
    body: string | Uint8Array<ArrayBuffer>,
    headers: Record<string, string> = createCallerHeaders(),
): Promise<Problem> {
    const response = await fetch(deployment.getCallerUrl() + path, { method: "POST", headers, body });
    const problem = await response.json() as { verdict: string; error: { code: string; }; };
    assert.match(response.headers.get("content-type") ?? "", /application\/problem\+json/);
    return { status: response.status, verdict: problem.verdict, code: problem.error.code };
}

test("an unmodified OpenAI client can run completions, stream chat completions and list models", async () => {
    const client = new OpenAI({ apiKey: createTestToken("desk"), baseURL: `${deployment.getCallerUrl()}/v1` });
    const completion = await client.completions.create({ model: "lookup", prompt: "¿Lote 9?", max_tokens: 7 });
    assert.equal(completion.choices[0]?.text, generateAnswer("¿Lote 9?", 7));
    let streamed = "";
    const stream = await client.chat.completions.create({
        model: "lookup",
        messages: [{ role: "user", content: "¿Lote 10?" }],
        max_tokens: 6,
        stream: true,
    });
    for await (const chunk of stream) {
        streamed += chunk.choices[0]?.delta.content ?? "";
    }
    assert.equal(streamed, generateAnswer("user: ¿Lote 10?\nassistant:", 6));
    const models = await client.models.list();
    assert.deepEqual(models.data.map(model => model.id).sort(), ["draft", "lookup"]);
    await assert.rejects(
        client.completions.create({ model: "nothing", prompt: "x" }),
        (error: { status?: number; }) => error.status === 404,
    );
});

test("a malformed or unauthorized request gets a 4xx problem response with verdict NotRun", async () => {
    const validBody = JSON.stringify({ model: "lookup", prompt: "x", max_tokens: 2 });
    const cases: [string, Problem][] = [
        ["truncated JSON", await sendPost("/v1/completions", "{\"model\": \"lookup\", \"prom")],
        ["invalid UTF-8", await sendPost("/v1/completions", Uint8Array.from([0x7b, 0x22, 0xff, 0xfe, 0x22, 0x7d]))],
        ["missing prompt", await sendPost("/v1/completions", "{\"model\": \"lookup\"}")],
        ["several choices", await sendPost("/v1/completions", "{\"model\": \"lookup\", \"prompt\": \"x\", \"n\": 3}")],
        ["unknown service", await sendPost("/v1/completions", "{\"model\": \"nothing\", \"prompt\": \"x\"}")],
        ["plain service as a model", await sendPost("/v1/completions", "{\"model\": \"records\", \"prompt\": \"x\"}")],
        ["missing token", await sendPost("/v1/completions", validBody, { "content-type": "application/json" })],
        [
            "wrong token",
            await sendPost("/v1/completions", validBody, { "authorization": "Bearer wrong", "content-type": "application/json" }),
        ],
        ["another team's service", await sendPost("/v1/completions", validBody, createCallerHeaders("shops"))],
        [
            "malformed timeout",
            await sendPost("/v1/completions", validBody, { ...createCallerHeaders(), "x-request-timeout-seconds": "soon" }),
        ],
        ["missing idempotency key", await sendPost("/services/voucher/issue", "{}")],
        [
            "malformed idempotency key",
            await sendPost("/services/voucher/issue", "{}", { ...createCallerHeaders(), "idempotency-key": "a b" }),
        ],
        ["unknown path", await sendPost("/v2/completions", validBody)],
    ];
    for (const [name, problem] of cases) {
        assert.ok(problem.status >= 400 && problem.status < 500, `${name}: ${problem.status}`);
        assert.equal(problem.verdict, "NotRun", name);
        assert.match(problem.code, /^CW2\d{3}$/, name);
    }
    assert.equal(cases[0]?.[1].code, "CW2005");
    assert.equal(cases[1]?.[1].code, "CW2015");
});

test("a 50 MB body is rejected with 413 and the node keeps serving", async () => {
    const status = await new Promise<number>((resolve, reject) => {
        const upload = request(
            `${deployment.getCallerUrl()}/v1/completions`,
            { method: "POST", headers: createCallerHeaders() },
            response => {
                response.resume();
                resolve(response.statusCode ?? 0);
            },
        );
        upload.on("error", reject);
        upload.write(Buffer.alloc(50_000_000, "x"));
        upload.end();
    });
    assert.equal(status, 413);
    const completion = await sendCompletion([deployment.getCallerUrl()], "lookup", "¿Sigue?", 3);
    assert.equal(completion.text, generateAnswer("¿Sigue?", 3));
});

test("a request has one span per hop, all in the caller's trace and below its span", async () => {
    const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    await fetch(`${deployment.getCallerUrl()}/services/voucher/issue`, {
        method: "POST",
        headers: { ...createCallerHeaders(), "traceparent": parent, "idempotency-key": "traced" },
        body: "{}",
    });
    await deployment.nodes[0]?.container.get(Keys.Tracing).flush();
    const spans = exporter.getFinishedSpans().filter(span => span.spanContext().traceId === "0af7651916cd43dd8448eb211c80319c");
    assert.deepEqual(spans.map(span => span.name).sort(), ["caller request", "claim", "endpoint"]);
    const root = spans.find(span => span.name === "caller request");
    assert.equal(root?.parentSpanContext?.spanId, "b7ad6b7169203331");
    assert.ok(spans.filter(span => span !== root).every(span => span.parentSpanContext?.spanId === root?.spanContext().spanId));
});

test("the operator interface rejects a missing token and a caller's token, and /healthz needs no token", async () => {
    const url = `${deployment.getOperatorUrl()}/v1/status`;
    assert.equal((await fetch(url)).status, 401);
    assert.equal((await fetch(url, { headers: createCallerHeaders() })).status, 401);
    assert.equal((await fetch(`${deployment.getOperatorUrl()}/healthz`)).status, 200);
});

test("a team cannot read another team's request", async () => {
    const completion = await sendCompletion([deployment.getCallerUrl()], "lookup", "Mío", 3);
    const fetchRequest = (team: string) =>
        fetch(`${deployment.getCallerUrl()}/v1/requests/${completion.requestId}`, { headers: createCallerHeaders(team) });
    assert.equal((await fetchRequest("shops")).status, 404);
    assert.equal((await fetchRequest("desk")).status, 200);
});
