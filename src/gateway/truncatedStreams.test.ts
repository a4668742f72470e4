import assert from "node:assert/strict";
import { after, before, beforeEach, test } from "node:test";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
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

/** Sends a stream that every engine breaks off with the given fault. */
function sendStream(path: string, fault: WorkerFault): Promise<CallerView> {
    platform.engines.forEach(engine => engine.faults.push(fault));
    return gateway.sendCall(path, { method: "POST", body: "{}" });
}

/** Sends resumable streams until one engine has broken off one of them; returns their responses. */
async function sendUntilBroken(fault: WorkerFault): Promise<CallerView[]> {
    const faulty = platform.engines[0] as RoutedWorker;
    faulty.faults.push(fault);
    const responses: CallerView[] = [];
    while (faulty.faults.length > 0 && responses.length < 50) {
        responses.push(await gateway.sendCall("/question/1", { method: "POST", body: "{}" }));
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
