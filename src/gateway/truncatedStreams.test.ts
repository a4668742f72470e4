import assert from "node:assert/strict";
import { createConnection, createServer } from "node:net";
import { after, before, beforeEach, test } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { startOnLoopback } from "../standins/routed/loopbackHttp.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker, WorkerFault } from "../standins/routed/routedWorker.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";

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
    for (const engine of platform.engines) {
        engine.runs.length = 0;
        engine.faults.length = 0;
        engine.eventCount = 5;
        engine.isDraining = false;
        await waitUntil(() => engine.isListening());
        const endpoint = () => gateway.node.container.get(Keys.Directory).findEndpoint(engine.id);
        await waitUntil(() => endpoint()?.entry.incarnation === engine.born);
        endpoint()?.recordSuccess(1);
    }
});

const events = [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: piece ${id}\n\n`);
const whole = events.join("");

/** Sends a call of its own: one that several tests shared would be quarantined for the crashes of all of them. */
function sendCall(path: string): Promise<CallerView> {
    return gateway.sendCall(path, { method: "POST", body: gateway.createAttemptId() });
}

/** Sends a stream that every engine breaks off with the given fault. */
function sendStream(path: string, fault: WorkerFault): Promise<CallerView> {
    platform.engines.forEach(engine => engine.faults.push(fault));
    return sendCall(path);
}

/** Sends resumable streams until one engine has broken off one of them; returns their responses. */
async function sendUntilBroken(fault: WorkerFault): Promise<CallerView[]> {
    const faulty = platform.engines[0] as RoutedWorker;
    faulty.faults.push(fault);
    const responses: CallerView[] = [];
    while (faulty.faults.length > 0 && responses.length < 50) {
        responses.push(await sendCall("/question/1"));
    }
    assert.equal(faulty.faults.length, 0, "the engine with the fault was not chosen in 50 calls");
    return responses;
}

for (const fault of [WorkerFault.EndUnframedInsideEvent, WorkerFault.EndChunkedInsideEvent]) {
    // Guards against a truncated stream that reaches its caller as complete, because its connection was closed in order.
    test(`a stream that ends inside an event (${fault}) is not passed on as complete`, async () => {
        const response = await sendStream("/notice/1", fault);
        assert.equal(response.isWhole, false, JSON.stringify(response.body));
        assert.equal(events.slice(0, 3).join("").startsWith(response.body), true, JSON.stringify(response.body));
    });

    // Guards against the same loss where the route allows a second endpoint: the stream can still be finished.
    test(`a resumable stream that ends inside an event (${fault}) goes on at another endpoint`, async () => {
        for (const response of await sendUntilBroken(fault)) {
            assert.equal(response.isWhole, true);
            assert.equal(response.body, whole);
        }
    });
}

test("a stream without a length or chunks is complete when its connection is closed in order after a whole event", async () => {
    const response = await sendStream("/notice/1", WorkerFault.UnframedStream);
    assert.equal(response.isWhole, true);
    assert.equal(response.body, whole);
});

// Guards against a crash between two events: the system closes the connections of a crashed process as in an orderly end.
test("a stream without a length or chunks whose endpoint has crashed is not passed on as complete", async () => {
    const response = await sendStream("/notice/1", WorkerFault.CrashUnframed);
    assert.equal(response.isWhole, false, JSON.stringify(response.body));
    platform.engines.forEach(engine => engine.faults.splice(0));
});

test("a resumable stream without a length or chunks whose endpoint has crashed goes on at another endpoint", async () => {
    for (const response of await sendUntilBroken(WorkerFault.CrashUnframed)) {
        assert.equal(response.isWhole, true);
        assert.equal(response.body, whole);
    }
});

// Guards against a crash of all endpoints at once: with none left to compare with, the crash looked like a lost path of the node.
for (const path of ["/notice/1", "/voucher/1", "/lookup/1"]) {
    test(`a response on ${path} without a length or chunks is not passed on as complete when every endpoint has crashed`, async context => {
        const crashed = RoutedPlatform.create();
        await crashed.start(0);
        const server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", (request: Buffer) => {
                const id = /attempt-id: (\S+)/i.exec(request.toString("latin1"))?.[1] ?? "";
                const type = path.startsWith("/notice") ? "text/event-stream" : "text/plain";
                server.close();
                socket.end(
                    `HTTP/1.1 200 OK\r\n${HeaderNames.attemptId}: ${id}\r\n${HeaderNames.seal}: seal\r\ncontent-type: ${type}\r\n`
                        + "connection: close\r\n\r\nid: 1\ndata: piece 1\n\n",
                );
            });
        });
        const service = path.startsWith("/notice") ? routedNames.engines : routedNames.calls;
        const addr = await startOnLoopback(server);
        crashed.store.putObject("servers", "i-only", { service, addr, zone: "xela", version: "v1", slots: 6, state: "ready", born: 1 });
        const before = await RoutedGateway.start(crashed, { name: "before-crash" });
        context.after(async () => {
            await before.stop();
            await crashed.stop();
        });
        const response = await before.sendCall(path, { method: "POST", body: before.createAttemptId() });
        assert.equal(response.status === 200 && response.isWhole, false, JSON.stringify(response));
    });
}

/** Publishes whether an engine is draining, and waits until the gateway knows. */
async function publishDraining(engine: RoutedWorker, isDraining: boolean): Promise<void> {
    engine.isDraining = isDraining;
    platform.publishWorker(engine);
    await waitUntil(() => gateway.node.container.get(Keys.Directory).findEndpoint(engine.id)?.isUsable() === !isDraining);
}

test("the last answer of a leaving endpoint is complete, though the process has ended", async () => {
    const [leaving, other] = platform.engines as [RoutedWorker, RoutedWorker];
    await publishDraining(other, true);
    leaving.eventMilliseconds = 100;
    leaving.faults.push(WorkerFault.EndAfterUnframed);
    const sent = sendCall("/notice/1");
    await waitUntil(() => leaving.runs.length === 1);
    await publishDraining(leaving, true);
    const response = await sent;
    leaving.eventMilliseconds = 5;
    await waitUntil(() => leaving.isListening());
    await publishDraining(leaving, false);
    await publishDraining(other, false);
    assert.equal(response.isWhole, true);
    assert.equal(response.body, whole);
});

test("a response on a route of streams that is no stream is passed on whole", async () => {
    const response = await sendStream("/notice/1", WorkerFault.Reject);
    assert.equal(response.status, 400);
    assert.equal(response.isWhole, true);
    assert.equal(response.body, "{\"error\":\"no prompt\"}");
});

for (const fault of [WorkerFault.FailResumed, WorkerFault.RejectResumed]) {
    // Guards against an error document that is appended to the events which the caller already has, and ends them as complete.
    test(`a stream that breaks off and cannot go on elsewhere (${fault}) is not ended with the body of the failure`, async () => {
        const response = await sendStream("/question/1", fault);
        assert.equal(response.isWhole, false, JSON.stringify(response.body));
        assert.equal(response.body, events.slice(0, 3).join(""));
    });
}

/** Sends a call as an HTTP/1.0 client, whose responses end with the connection; returns the bytes and whether that end was orderly. */
function sendOldCall(
    path: string,
    target = gateway,
    handleData = () => {},
): Promise<{ readonly text: string; readonly isOrderly: boolean; }> {
    return new Promise(resolve => {
        const body = target.createAttemptId();
        const socket = createConnection({ host: "127.0.0.1", port: target.getPort() });
        let text = "";
        let hasError = false;
        socket.on("data", chunk => {
            text += chunk.toString();
            handleData();
        });
        socket.on("error", () => (hasError = true));
        socket.on("close", () => resolve({ text, isOrderly: !hasError }));
        socket.write([
            `POST ${path} HTTP/1.0`,
            `host: ${routedNames.host}`,
            `authorization: Bearer ${routedNames.key}`,
            `${HeaderNames.attemptId}: ${gateway.createAttemptId()}`,
            `${HeaderNames.deadline}: 2000`,
            `content-length: ${body.length}`,
            "",
            body,
        ].join("\r\n"));
    });
}

// Guards against a response without a length or chunks, on the caller's side, that is broken off by an orderly end.
test("a stream that breaks off is reset for a caller whose responses end with the connection", async () => {
    platform.engines.forEach(engine => engine.faults.push(WorkerFault.BreakStream));
    const truncated = await sendOldCall("/notice/1");
    assert.equal(truncated.text.includes("data: piece 3"), true, truncated.text);
    assert.equal(truncated.isOrderly, false);
    platform.engines.forEach(engine => engine.faults.splice(0));
    const complete = await sendOldCall("/notice/1");
    assert.equal(complete.text.endsWith(whole), true, complete.text);
    assert.equal(complete.isOrderly, true);
});

test("a stream that is cut off by the end of the node is reset for a caller whose responses end with the connection", async context => {
    const ending = await RoutedGateway.start(platform, { name: "ending" });
    context.after(() => ending.stop());
    platform.engines.forEach(engine => (engine.eventCount = 1_000));
    let hasData = false;
    const sent = sendOldCall("/notice/1", ending, () => (hasData = true));
    await waitUntil(() => hasData);
    ending.node.container.get(Keys.Server).closeAll();
    assert.equal((await sent).isOrderly, false);
});
