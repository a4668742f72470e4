import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { EndlessServer, measureMemoryPeak } from "../standins/routed/endlessServer.js";
import { startOnLoopback, stopServer } from "../standins/routed/loopbackHttp.js";
import { createPlainCall } from "../testing/attemptSenders.js";
import { TcpConnectionProbe } from "./connectionProbe.js";
import { TcpEndpointConnector } from "./endpointConnector.js";
import { HttpModelEndpointClient } from "./httpModelEndpoint.js";
import { HttpPlainEndpointClient } from "./plainEndpoint.js";

/** Memory that the process may gain while a server sends without end, in bytes: it sends hundreds of megabytes a second. */
const memoryBound = 80_000_000;
const timeLimitMilliseconds = 1_500;
const block = "x".repeat(65_536);
const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n";

const cases = [
    { title: "one header line", start: "HTTP/1.1 200 OK\r\nx-long: ", repeated: block },
    { title: "interim responses", start: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n".repeat(100) },
    { title: "bytes that are no response", start: "", repeated: block },
    { title: "a chunk size", start: `${head}transfer-encoding: chunked\r\n\r\n`, repeated: "0".repeat(65_536) },
    { title: "a body", start: `${head}\r\n`, repeated: block },
    { title: "one event", start: `${head}content-type: text/event-stream\r\n\r\ndata: `, repeated: block },
    { title: "events of another request", start: `${head}\r\n`, repeated: "data: {\"id\":\"other\"}\n\n".repeat(1_000) },
    { title: "comments", start: `${head}\r\n`, repeated: ": nothing\n".repeat(1_000) },
    { title: "a failure's body", start: "HTTP/1.1 500 Failed\r\nconnection: close\r\n\r\n", repeated: block },
];

function sendPlainCall(address: NetworkAddress, signal: AbortSignal) {
    const connector = TcpEndpointConnector.create();
    return HttpPlainEndpointClient.create(TcpConnectionProbe.create(connector, 300)).sendCall(
        address,
        createPlainCall("attempt-1", { timeLimit: timeLimitMilliseconds, answerBytes: 1_000_000 }),
        signal,
    );
}

function runGeneration(address: NetworkAddress, signal: AbortSignal) {
    return HttpModelEndpointClient.create().runGeneration(
        address,
        {
            requestId: "request-1",
            attemptId: "attempt-1",
            model: "lookup",
            prompt: "hello",
            maxTokens: 8,
            emittedTokens: 0,
            priority: 1,
            sampling: {},
            cacheHandle: undefined,
            traceHeaders: {},
            connectTimeout: 300,
            silenceLimit: timeLimitMilliseconds,
        } as never,
        { appendToken: () => {} } as never,
        signal,
    );
}

for (const { title, start, repeated } of cases) {
    // Guards against a faulty endpoint on the product's own interface whose bytes are all kept.
    test(`an endpoint that sends ${title} without end costs bounded time and memory, and its response is no success`, async context => {
        for (const send of [sendPlainCall, runGeneration]) {
            const server = EndlessServer.create(() => start, repeated);
            const address = parseAddress(await server.start()) as NetworkAddress;
            context.after(() => server.stop());
            const signal = AbortSignal.timeout(2 * timeLimitMilliseconds);
            const { result, peakBytes } = await measureMemoryPeak<Result<unknown, Failure>>(() => send(address, signal));
            assert.equal(result.err && result.val.verdict !== Verdict.NotRun, true, JSON.stringify(result));
            assert.equal(peakBytes < memoryBound, true, `${peakBytes} bytes`);
        }
    });
}

test("the reports of an endpoint that sends without end cost bounded memory", async context => {
    const server = createServer((_request, response) => {
        const send = () => {
            while (!response.destroyed && response.write(block)) {
                // Sends until the connection is full.
            }
        };
        response.on("drain", send);
        send();
    });
    const address = parseAddress(await startOnLoopback(server)) as NetworkAddress;
    context.after(() => stopServer(server));
    const { result, peakBytes } = await measureMemoryPeak(() => HttpModelEndpointClient.create().fetchLoad(address, timeLimitMilliseconds));
    assert.equal(result.err, true);
    assert.equal(peakBytes < memoryBound, true, `${peakBytes} bytes`);
});
