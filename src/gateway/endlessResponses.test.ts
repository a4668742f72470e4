import assert from "node:assert/strict";
import { request as sendHttpRequest } from "node:http";
import { after, before, test } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { EndlessServer, measureMemoryPeak } from "../standins/routed/endlessServer.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Memory that the process may gain while a server sends without end, in bytes: it sends hundreds of megabytes a second. */
const memoryBound = 80_000_000;
/** Calls at once, as many as an engine has slots. */
const concurrentCalls = 64;
/** The same for all of them: the memory of a node's host less that of the process itself, and of the server and the callers here. */
const manyCallsMemoryBound = 250_000_000;
const attemptIdPattern = new RegExp(`${HeaderNames.attemptId}: (\\S+)`, "i");
const block = "x".repeat(65_536);

const platform = RoutedPlatform.create();
let gateway: RoutedGateway;

before(async () => {
    await platform.start(0);
    // The gateway is not ready without an endpoint.
    addEndpoint("unused", "127.0.0.1:9", "unused");
    gateway = await RoutedGateway.start(platform);
});

after(async () => {
    await gateway.stop();
    await platform.stop();
});

function addEndpoint(id: string, address: string, service: string): void {
    platform.store.putObject("servers", id, { service, addr: address, zone: "xela", version: "v1", slots: 6, state: "ready", born: 1 });
}

const createHead = (id: string, more: string) =>
    `HTTP/1.1 200 OK\r\n${HeaderNames.attemptId}: ${id}\r\n${HeaderNames.seal}: seal\r\n${more}\r\n`;

const cases = [
    { title: "one header line", path: "/voucher/1", start: () => "HTTP/1.1 200 OK\r\nx-long: ", repeated: block },
    { title: "header lines", path: "/voucher/1", start: () => "HTTP/1.1 200 OK\r\n", repeated: "x-more: value\r\n".repeat(1_000) },
    { title: "interim responses", path: "/voucher/1", start: () => "", repeated: "HTTP/1.1 100 Continue\r\n\r\n".repeat(100) },
    { title: "bytes that are no response", path: "/voucher/1", start: () => "", repeated: block },
    {
        title: "a chunk size",
        path: "/voucher/1",
        start: (id: string) => createHead(id, "transfer-encoding: chunked\r\n"),
        repeated: "0".repeat(65_536),
    },
    {
        title: "a body without a length",
        path: "/voucher/1",
        start: (id: string) => createHead(id, "connection: close\r\n"),
        repeated: block,
    },
    {
        title: "a refusal's body",
        path: "/voucher/1",
        start: (id: string) =>
            `HTTP/1.1 503 Full\r\n${HeaderNames.attemptId}: ${id}\r\n${HeaderNames.notRun}: 1\r\nconnection: close\r\n\r\n`,
        repeated: block,
    },
    {
        title: "one event",
        path: "/question/1",
        start: (id: string) => `${createHead(id, "content-type: text/event-stream\r\nconnection: close\r\n")}id: 1\ndata: `,
        repeated: block,
    },
];

for (const { title, path, start, repeated } of cases) {
    test(`an endpoint that sends ${title} without end is cut off in bounded time and memory, and its caller gets no whole response`, async context => {
        const service = path.startsWith("/voucher") ? routedNames.calls : routedNames.engines;
        const server = EndlessServer.create(request => start(attemptIdPattern.exec(request)?.[1] ?? ""), repeated);
        const address = await server.start();
        context.after(() => server.stop());
        addEndpoint("endless", address, service);
        const directory = gateway.node.container.get(Keys.Directory);
        await waitUntil(() => directory.findEndpoint("endless") !== undefined);
        const startedAt = performance.now();
        const { result: response, peakBytes } = await measureMemoryPeak(() => sendDiscardingCall(path));
        // The route's time limit or the caller's deadline of two seconds, and a margin for a busy machine.
        assert.equal(performance.now() - startedAt < 4_000, true);
        assert.equal(peakBytes < memoryBound, true, `${peakBytes} bytes`);
        assert.equal(response.status === 200 && response.isWhole, false);
        if (title === "a refusal's body") {
            assert.equal(response.status, 503);
        }
        else {
            assert.equal([0, 200, 502, 504].includes(response.status), true, String(response.status));
        }
        await waitUntil(() => server.countConnections() === 0);
        platform.store.removeObject("servers", "endless");
        await waitUntil(() => directory.findEndpoint("endless") === undefined);
    });
}

test("a stream that sends a byte now and then but no whole event ends at its time limit, and a slow one with whole events is not cut", async context => {
    const head = (id: string) => createHead(id, "content-type: text/event-stream\r\nconnection: close\r\n");
    const findId = (request: string) => attemptIdPattern.exec(request)?.[1] ?? "";
    const directory = gateway.node.container.get(Keys.Directory);
    const trickling = EndlessServer.create(request => head(findId(request)), "x", 100);
    const slow = RoutedWorker.create("slow", routedNames.engines, "xela", true);
    slow.eventCount = 4;
    slow.eventMilliseconds = 400;
    context.after(() => Promise.all([trickling.stop(), slow.stop()]));
    addEndpoint("trickling", await trickling.start(), routedNames.engines);
    await waitUntil(() => directory.findEndpoint("trickling") !== undefined);
    const startedAt = performance.now();
    const trickled = await sendDiscardingCall("/notice/1");
    assert.equal(trickled.isWhole && trickled.status === 200, false);
    assert.equal(performance.now() - startedAt < 4_000, true);
    await waitUntil(() => trickling.countConnections() === 0);
    platform.store.removeObject("servers", "trickling");
    await slow.start();
    platform.publishWorker(slow);
    await waitUntil(() => directory.findEndpoint("slow") !== undefined && directory.findEndpoint("trickling") === undefined);
    const whole = await gateway.sendCall("/notice/1", { method: "POST", body: "{}", headers: { [HeaderNames.deadline]: "4000" } });
    assert.equal(whole.isWhole && whole.status === 200, true);
    assert.equal(whole.body.match(/^id: /gm)?.length, 4);
});

/** Sends a call and discards the bytes of the response, so that only the gateway could accumulate them. */
function sendDiscardingCall(path: string): Promise<{ readonly status: number; readonly isWhole: boolean; }> {
    const headers = {
        host: routedNames.host,
        authorization: `Bearer ${routedNames.key}`,
        [HeaderNames.attemptId]: gateway.createAttemptId(),
        [HeaderNames.deadline]: "2000",
    };
    return new Promise(resolve => {
        const request = sendHttpRequest({ host: "127.0.0.1", port: gateway.getPort(), path, method: "POST", headers });
        request.once("error", () => resolve({ status: 0, isWhole: false }));
        request.once("response", response => {
            response.resume();
            response.on("error", () => {});
            response.once("close", () => resolve({ status: response.statusCode ?? 0, isWhole: response.complete }));
        });
        request.end("{}");
    });
}

// Guards against the sum of what is kept for many calls at once: a faulty endpoint has as many as its slots.
for (const { title, path, start, repeated } of cases) {
    test(`many callers at once of an endpoint that sends ${title} without end do not exhaust the node's memory`, async context => {
        const service = path.startsWith("/voucher") ? routedNames.calls : routedNames.engines;
        const server = EndlessServer.create(request => start(attemptIdPattern.exec(request)?.[1] ?? ""), repeated);
        const address = await server.start();
        context.after(() => server.stop());
        const slots = concurrentCalls;
        const entry = { service, addr: address, zone: "xela", version: "v1", slots, state: "ready", born: 1 };
        platform.store.putObject("servers", "endless", entry);
        const directory = gateway.node.container.get(Keys.Directory);
        await waitUntil(() => directory.findEndpoint("endless") !== undefined);
        const { peakBytes } = await measureMemoryPeak(() =>
            Promise.all(Array.from({ length: concurrentCalls }, () => sendDiscardingCall(path)))
        );
        assert.equal(peakBytes < manyCallsMemoryBound, true, `${peakBytes} bytes`);
        platform.store.removeObject("servers", "endless");
        await waitUntil(() => directory.findEndpoint("endless") === undefined);
    });
}
