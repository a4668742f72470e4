import { InMemorySpanExporter } from "@opentelemetry/sdk-trace-node";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, beforeEach, test } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { Tracing } from "../common/tracing.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker, WorkerFault } from "../standins/routed/routedWorker.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";
import { CollectedTracing } from "./collectedTracing.js";

const platform = RoutedPlatform.create();
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    gateway = await RoutedGateway.start(platform);
});

after(async () => {
    await gateway.stop();
    await platform.stop();
});

beforeEach(async () => {
    for (const worker of platform.listWorkers()) {
        worker.runs.length = 0;
        worker.faults.length = 0;
        worker.refusalPause = undefined;
        worker.workMilliseconds = 0;
        worker.eventCount = 5;
        worker.eventMilliseconds = 5;
    }
    // One whose connection was lost, or whose last responses were slow, is not chosen for a while; each test starts with all endpoints equal.
    for (const endpoint of gateway.node.container.get(directoryKey).listAll()) {
        for (let success = 0; success < forgottenResults; success += 1) {
            endpoint.recordSuccess(1);
        }
        await waitUntil(() => !endpoint.isFull(performance.now()));
    }
});

const directoryKey = Keys.Directory;
/** Successes after which the moving averages of an endpoint hold nothing of earlier results. */
const forgottenResults = 100;

function setFault(workers: readonly RoutedWorker[], fault: WorkerFault): void {
    workers.forEach(worker => worker.faults.push(fault));
}

function countRuns(workers: readonly RoutedWorker[]): number {
    return workers.reduce((sum, worker) => sum + worker.runs.length, 0);
}

test("forwards a call to one worker with only the node's own headers changed, and its response unchanged", async () => {
    const response = await gateway.sendCall("/voucher/7?lot=a%20b", {
        method: "POST",
        body: "{\"shop\":7}",
        headers: { [HeaderNames.tenant]: "somebody-else", [HeaderNames.hold]: "x", "x-shop": "7" },
    });
    assert.equal(response.status, 200);
    const run = platform.callWorkers.flatMap(worker => worker.runs)[0];
    assert.equal(countRuns(platform.callWorkers), 1);
    assert.equal(run?.target, "/voucher/7?lot=a%20b");
    assert.equal(run?.body, "{\"shop\":7}");
    assert.equal(run?.headers[HeaderNames.tenant], routedNames.team);
    assert.equal(run?.headers.authorization, undefined);
    assert.equal(run?.headers[HeaderNames.hold], undefined);
    assert.equal(run?.headers["x-shop"], "7");
    assert.equal(Number(run?.headers[HeaderNames.deadline]) <= 1_500, true);
    assert.equal(response.body, `answer to ${run?.attemptId}`);
    assert.equal(response.headers[HeaderNames.seal], `seal-${run?.attemptId}`);
});

test("rejects calls with an unknown key, an unknown path, too large a body or an invalid deadline before they reach a worker", async () => {
    assert.equal((await gateway.sendCall("/lookup/1", { headers: { authorization: "Bearer nobody" } })).status, 401);
    assert.equal((await gateway.sendCall("/lookups/1")).status, 404);
    assert.equal((await gateway.sendCall("/voucher/1", { method: "POST", body: "x".repeat(70_000) })).status, 413);
    assert.equal((await gateway.sendCall("/lookup/1", { headers: { [HeaderNames.deadline]: "soon" } })).status, 400);
    assert.equal(countRuns(platform.listWorkers()), 0);
});

for (
    const fault of [
        WorkerFault.ResetAfterRun,
        WorkerFault.Truncate,
        WorkerFault.ResetUnframed,
        WorkerFault.ResetUnframedAtOnce,
        WorkerFault.Garble,
        WorkerFault.Unpromised,
    ]
) {
    test(`does not retry a non-idempotent call after worker fault ${fault}, nor report that it has not run`, async () => {
        setFault(platform.callWorkers, fault);
        const response = await gateway.sendCall("/voucher/1", { method: "POST", body: "{}" });
        assert.equal(response.status, 502);
        assert.equal(countRuns(platform.callWorkers), 1);
        assert.equal(response.headers["retry-after"], undefined);
    });

    test(`retries an idempotent call at the other worker after worker fault ${fault}`, async () => {
        const faulty = platform.callWorkers[0] as RoutedWorker;
        faulty.faults.push(fault);
        for (let index = 0; index < 50 && faulty.faults.length > 0; index += 1) {
            const response = await gateway.sendCall("/lookup/1");
            assert.equal(response.status, 200);
        }
        assert.equal(faulty.faults.length, 0, "the worker with the fault was not chosen in 50 calls");
    });
}

test("accepts a response without a length as complete when its worker closes the connection in an orderly way", async () => {
    setFault(platform.callWorkers, WorkerFault.Unframed);
    const response = await gateway.sendCall("/voucher/1", { method: "POST", body: "{}" });
    assert.equal(response.status, 200);
    assert.equal(response.body.startsWith("answer to attempt-"), true);
});

test("retries a call at the other worker after a refusal for lack of capacity, and responds 503 with a retry time when both refuse", async () => {
    (platform.callWorkers[0] as RoutedWorker).faults.push(WorkerFault.Shed);
    (platform.callWorkers[1] as RoutedWorker).faults.push(WorkerFault.Shed);
    const response = await gateway.sendCall("/voucher/1", { method: "POST", body: "{}" });
    assert.equal(response.status, 503);
    assert.equal(Number(response.headers["retry-after"]) > 0, true);
    assert.equal(countRuns(platform.callWorkers), 0);
});

test("never delivers an unexpected extra response on a reused connection to another caller", async () => {
    for (let round = 0; round < 6; round += 1) {
        setFault(platform.callWorkers, WorkerFault.ExtraAnswer);
        const first = await gateway.sendCall("/lookup/1");
        assert.equal(first.status, 200);
        if (round % 2 === 1) {
            await new Promise(resolve => setTimeout(resolve, 30));
        }
        platform.callWorkers.forEach(worker => (worker.faults.length = 0));
        const id = gateway.createAttemptId();
        const next = await gateway.sendCall("/lookup/2", { headers: { [HeaderNames.attemptId]: id } });
        assert.equal(next.body, `answer to ${id}`);
    }
});

test("resumes a truncated resumable stream at another worker without missing or duplicate events", async () => {
    const whole = "12345".split("").map(id => `id: ${id}\ndata: piece ${id}\n\n`).join("");
    const plain = await gateway.sendCall("/notice/1", { method: "POST", body: "{}" });
    assert.equal(plain.body, whole);
    const faulty = platform.engines[0] as RoutedWorker;
    faulty.faults.push(WorkerFault.BreakStream);
    for (let index = 0; index < 50 && faulty.faults.length > 0; index += 1) {
        platform.engines.forEach(worker => (worker.runs.length = 0));
        const response = await gateway.sendCall("/question/1", { method: "POST", body: "{}" });
        assert.equal(response.body, whole);
    }
    const runs = platform.engines.flatMap(worker => worker.runs);
    assert.deepEqual(runs.map(run => run.startedAfter).sort(), [0, 3]);
});

test("truncates the response of a stream that must not be retried instead of ending it as complete", async () => {
    setFault(platform.engines, WorkerFault.BreakStream);
    const response = await gateway.sendCall("/notice/1", { method: "POST", body: "{}" });
    assert.equal(response.isWhole, false);
    assert.equal(response.body.includes("id: 4"), false);
    assert.equal(countRuns(platform.engines), 1);
});

test("cancels the request at the worker when its caller disconnects", async () => {
    platform.engines.forEach(worker => (worker.eventCount = 1_000));
    const leaving = new AbortController();
    const sent = gateway.sendCall("/notice/1", { method: "POST", body: "{}", signal: leaving.signal });
    await waitUntil(() => countRuns(platform.engines) === 1);
    leaving.abort();
    await sent;
    await waitUntil(() => platform.engines.flatMap(worker => worker.runs)[0]?.isCancelled === true);
});

test("fails a call without a response with 504 at its route's time limit, and does not retry it", async () => {
    setFault(platform.callWorkers, WorkerFault.Hang);
    const startedAt = performance.now();
    const response = await gateway.sendCall("/voucher/1", { method: "POST", body: "{}" });
    assert.equal(response.status, 504);
    assert.equal(performance.now() - startedAt >= 1_400, true);
    assert.equal(countRuns(platform.callWorkers), 1);
});

test("stops sending calls to a worker whose address now belongs to another worker", async () => {
    const stale = platform.callWorkers[0] as RoutedWorker;
    platform.store.putObject("servers", "i-gone", { ...stale.createEntry(), born: 1 });
    await waitUntil(() => gateway.node.container.get(directoryKey).findEndpoint("i-gone") !== undefined);
    for (let index = 0; index < 12; index += 1) {
        assert.equal((await gateway.sendCall("/voucher/1", { method: "POST", body: "{}" })).status, 200);
    }
    assert.equal(gateway.node.container.get(directoryKey).findEndpoint("i-gone")?.isUsable() ?? false, false);
    platform.store.removeObject("servers", "i-gone");
});

test("sends no more requests to a worker that reports that it is draining", async () => {
    const leaving = platform.callWorkers[0] as RoutedWorker;
    leaving.isDraining = true;
    platform.publishWorker(leaving);
    const directory = gateway.node.container.get(directoryKey);
    await waitUntil(() => directory.findEndpoint(leaving.id)?.isUsable() === false);
    for (let index = 0; index < 8; index += 1) {
        assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
    }
    assert.equal(leaving.runs.length, 0);
    leaving.isDraining = false;
    platform.publishWorker(leaving);
    await waitUntil(() => directory.findEndpoint(leaving.id)?.isUsable() === true);
});

test("reuses connections to workers for many calls without leaking event listeners", async () => {
    const warnings: string[] = [];
    const record = (warning: Error) => warnings.push(warning.message);
    process.on("warning", record);
    const before = platform.callWorkers.reduce((sum, worker) => sum + worker.connections, 0);
    for (let index = 0; index < 40; index += 1) {
        assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
    }
    const opened = platform.callWorkers.reduce((sum, worker) => sum + worker.connections, 0) - before;
    process.off("warning", record);
    assert.equal(opened <= 4, true, `${opened} connections for 40 calls`);
    assert.deepEqual(warnings, []);
});

test("creates a span for each call and a child span for each hop, and sends the hop's context to the endpoint", async () => {
    const exporter = new InMemorySpanExporter();
    const tracing = Tracing.create({ node: "traced", sampleRatio: 1, exporter });
    const traced = await RoutedGateway.start(platform, { name: "traced", tracing: CollectedTracing.create(tracing) });
    platform.callWorkers.forEach(worker => (worker.runs.length = 0));
    const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    assert.equal((await traced.sendCall("/lookup/1", { headers: { traceparent: parent } })).status, 200);
    await tracing.flush();
    const spans = exporter.getFinishedSpans();
    const hop = spans.find(span => span.name === "endpoint");
    const call = spans.find(span => span.name === "call");
    assert.equal(hop?.parentSpanContext?.spanId, call?.spanContext().spanId);
    assert.equal(call?.spanContext().traceId, "0af7651916cd43dd8448eb211c80319c");
    const run = platform.callWorkers.flatMap(worker => worker.runs)[0];
    assert.equal(String(run?.headers["traceparent"]).includes(String(hop?.spanContext().spanId)), true);
    await traced.stop();
});

/** Sends a request whose worker crashes while running it, and waits until the gateway has recorded the worker's next incarnation. */
async function killRunningWorker(send: () => Promise<CallerView>): Promise<void> {
    setFault(platform.callWorkers, WorkerFault.ResetAfterRun);
    assert.equal((await send()).status, 502);
    const crashed = platform.callWorkers.find(worker => worker.runs.length > 0) as RoutedWorker;
    platform.callWorkers.forEach(worker => (worker.faults.length = 0));
    crashed.runs.length = 0;
    crashed.born += 1;
    platform.publishWorker(crashed);
    await waitUntil(() => gateway.node.container.get(directoryKey).findEndpoint(crashed.id)?.entry.incarnation === crashed.born);
}

test("refuses a request that crashed three endpoints, before it crashes another one, and still serves other requests", async () => {
    const sendPoisonRequest = () => gateway.sendCall("/voucher/killer", { method: "POST", body: "boom" });
    for (let crash = 0; crash < 3; crash += 1) {
        await killRunningWorker(sendPoisonRequest);
    }
    // A suspect request is refused only after half a second, in which a success would clear it.
    await new Promise(resolve => setTimeout(resolve, 600));
    const refused = await sendPoisonRequest();
    assert.equal(refused.status, 503);
    assert.equal(countRuns(platform.callWorkers), 0);
    assert.equal((await gateway.sendCall("/voucher/killer", { method: "POST", body: "harmless" })).status, 200);
});

test("does not refuse a harmless request that ran on crashed endpoints, once it has been served elsewhere", async () => {
    const sendHarmlessRequest = () => gateway.sendCall("/voucher/popular", { method: "POST", body: "same" });
    for (let crash = 0; crash < 4; crash += 1) {
        await killRunningWorker(sendHarmlessRequest);
        assert.equal((await sendHarmlessRequest()).status, 200);
        platform.callWorkers.forEach(worker => (worker.runs.length = 0));
    }
});

test("counts a stream as usage at its first event, while it is still running", async () => {
    const usage = gateway.node.container.get(Keys.Usage);
    // Sums all windows since the start of the test, because a window may end while it runs.
    const first = usage.getWindow(Date.now());
    const countRequests = () => {
        let sum = 0;
        for (let window = first; window <= usage.getWindow(Date.now()); window += 1) {
            sum += usage.listUsage(window).reduce((total, { requests }) => total + requests, 0);
        }
        return sum;
    };
    const before = countRequests();
    platform.engines.forEach(engine => (engine.eventMilliseconds = 1_000));
    const leaving = new AbortController();
    const call = gateway.sendCall("/notice/1", { method: "POST", body: "long", signal: leaving.signal });
    await waitUntil(() => countRequests() === before + 1);
    platform.engines.forEach(engine => (engine.eventMilliseconds = 5));
    leaving.abort();
    await call;
});

test("serves several calls of a caller on one reused connection", async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let index = 0; index < 5; index += 1) {
        assert.equal((await gateway.sendCall("/lookup/1", { agent })).status, 200);
    }
    agent.destroy();
});

test("sends nothing more to a worker from its first response that says it is leaving, though its entry says it is ready", async () => {
    const [leaving, staying] = await startExtraWorkers("leaving", "staying");
    leaving.announcesLeaving = true;
    await waitUntil(() => gateway.node.container.get(directoryKey).findEndpoint("leaving") !== undefined);
    for (let call = 0; call < 40 && leaving.runs.length === 0; call += 1) {
        await gateway.sendCall("/lookup/1");
    }
    assert.equal(leaving.runs.length, 1);
    platform.store.putObject("servers", "leaving", { ...leaving.createEntry(), slots: 7 });
    await waitUntil(() => gateway.node.container.get(directoryKey).findEndpoint("leaving")?.entry.slots === 7);
    for (let call = 0; call < 40; call += 1) {
        assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
    }
    assert.equal(leaving.runs.length, 1);
    await stopExtraWorkers(leaving, staying);
});

test("sends nothing to a worker for the time that its refusal states, then uses it again", async () => {
    const [pausing, other] = await startExtraWorkers("pausing", "other");
    pausing.refusalPause = "0.6";
    setFault([pausing], WorkerFault.Shed);
    while (pausing.faults.length > 0) {
        await gateway.sendCall("/lookup/1");
    }
    const refusedAt = performance.now();
    const runs = pausing.runs.length;
    while (performance.now() < refusedAt + 450) {
        await gateway.sendCall("/lookup/1");
    }
    assert.equal(pausing.runs.length, runs);
    await waitUntil(() => !(gateway.node.container.get(directoryKey).findEndpoint("pausing")?.isFull(performance.now()) ?? true));
    for (let call = 0; call < 100 && pausing.runs.length === runs; call += 1) {
        await gateway.sendCall("/lookup/1");
    }
    assert.equal(pausing.runs.length > runs, true);
    await stopExtraWorkers(pausing, other);
});

test("ignores a stated pause that is no positive number, and limits a very long one", async () => {
    const expected = new Map([["-5", 0], ["Fri, 04 Dec 2026 10:00:00 GMT", 0], ["soon", 0], ["", 0], ["99999999999", 300_000], [
        "2",
        2_000,
    ]]);
    for (const [header, longest] of expected) {
        const [worker] = await startExtraWorkers("odd");
        const endpoint = () => gateway.node.container.get(directoryKey).findEndpoint("odd");
        worker.refusalPause = header;
        setFault([worker], WorkerFault.Shed);
        while (worker.faults.length > 0) {
            await gateway.sendCall("/lookup/1");
        }
        const pause = Math.max(0, (endpoint()?.getPausedUntil() ?? 0) - performance.now());
        assert.equal(pause <= longest && pause > longest - 1_000, true, `"${header}": ${pause}`);
        await stopExtraWorkers(worker);
    }
});

/** Starts further workers of the plain service and waits until the gateway knows them. */
async function startExtraWorkers<Ids extends string[]>(...ids: Ids): Promise<{ [Index in keyof Ids]: RoutedWorker; }> {
    const service = platform.callWorkers[0]?.service ?? "";
    const workers = ids.map(id => RoutedWorker.create(id, service, "xela", false));
    for (const worker of workers) {
        await worker.start();
        platform.store.putObject("servers", worker.id, worker.createEntry());
    }
    await waitUntil(() => ids.every(id => gateway.node.container.get(directoryKey).findEndpoint(id) !== undefined));
    return workers as { [Index in keyof Ids]: RoutedWorker; };
}

async function stopExtraWorkers(...workers: RoutedWorker[]): Promise<void> {
    for (const worker of workers) {
        platform.store.removeObject("servers", worker.id);
        await waitUntil(() => gateway.node.container.get(directoryKey).findEndpoint(worker.id) === undefined);
        await worker.stop();
    }
}
