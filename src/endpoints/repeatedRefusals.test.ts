import assert from "node:assert/strict";
import { test, TestContext } from "node:test";
import { Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ScriptedServer } from "../standins/scriptedServer.js";
import { TcpConnectionProbe } from "./connectionProbe.js";
import { TcpEndpointConnector } from "./endpointConnector.js";
import { HttpModelEndpointClient } from "./httpModelEndpoint.js";
import { HttpPlainEndpointClient } from "./plainEndpoint.js";

/** Sends one attempt to an endpoint. */
type SendAttempt = (address: NetworkAddress, attemptId: string) => Promise<Result<unknown, { readonly verdict: Verdict; }>>;

function createCallSender(): SendAttempt {
    const client = HttpPlainEndpointClient.create(TcpConnectionProbe.create(TcpEndpointConnector.create(), 300));
    return (address, attemptId) =>
        client.sendCall(address, {
            requestId: "request",
            attemptId,
            version: "v1",
            method: "GET",
            path: "lookup",
            contentType: undefined,
            idempotencyKey: undefined,
            body: Buffer.alloc(0),
            timeLimit: 2_000,
            connectTimeout: 300,
            answerBytes: 1_000,
            mayReuseConnection: true,
            traceHeaders: {},
        }, new AbortController().signal);
}

function createGenerationSender(): SendAttempt {
    const client = HttpModelEndpointClient.create();
    return (address, attemptId) =>
        client.runGeneration(
            address,
            {
                requestId: "request",
                attemptId,
                model: "m",
                prompt: "prompt",
                maxTokens: 4,
                sampling: {},
                priority: 1,
                emittedTokens: [],
                cacheHandle: undefined,
                silenceLimit: 2_000,
                connectTimeout: 300,
                traceHeaders: {},
            },
            { appendToken: () => {} },
            new AbortController().signal,
        );
}

const senders = [
    { title: "call", createSender: createCallSender },
    { title: "generation", createSender: createGenerationSender },
];
const refusalHeaders = ["x-request-not-run: 1", "x-endpoint-leaving: 1\r\nx-request-not-run: 1"];

/** Formats a refusal, for the attempt if one is given. */
function formatRefusal(headers: string, attemptId: string | undefined): string {
    const id = attemptId === undefined ? "" : `x-attempt-id: ${attemptId}\r\n`;
    return `HTTP/1.1 503 Service Unavailable\r\n${headers}\r\n${id}content-length: 0\r\n\r\n`;
}

async function startServer(
    context: TestContext,
    createResponse: (count: number, attemptId: string | undefined) => string,
): Promise<[ScriptedServer, NetworkAddress]> {
    const server = ScriptedServer.create((request, count, socket) => {
        socket.write(createResponse(count, /^x-attempt-id: (\S+)/im.exec(request)?.[1]));
    });
    const address = parseAddress(await server.start()) as NetworkAddress;
    context.after(() => server.stop());
    return [server, address];
}

/** Formats a complete answer to a call and to a generation alike. */
function formatAnswer(attemptId: string): string {
    const event = `data: {"id":"${attemptId}","choices":[{"text":"a","finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`;
    return `HTTP/1.1 200 OK\r\nx-attempt-id: ${attemptId}\r\ncontent-length: ${event.length}\r\n\r\n${event}`;
}

for (const { title, createSender } of senders) {
    // Guards against an earlier refusal on a kept connection that is taken for one of the request that now runs there.
    test(`a refusal of an earlier attempt on a kept connection does not prove that a ${title} has not run`, async context => {
        for (const headers of refusalHeaders) {
            for (const repeatedId of ["attempt-1", undefined]) {
                const [server, address] = await startServer(
                    context,
                    count => count === 1 ? formatAnswer("attempt-1") : formatRefusal(headers, repeatedId),
                );
                const send = createSender();
                assert.equal((await send(address, "attempt-1")).ok, true);
                const repeated = await send(address, "attempt-2");
                assert.equal(server.connections, 1);
                assert.equal(repeated.err && repeated.val.verdict, Verdict.MayHaveRun, `${headers}, ${repeatedId ?? "no id"}`);
            }
        }
    });

    // Guards against an answer that arrives on an idle connection and is read as the answer to the next request.
    test(`a refusal that arrives while its connection is idle is not an answer to the next ${title}`, async context => {
        const server = ScriptedServer.create((_request, count, socket) => {
            socket.write(formatAnswer(`attempt-${server.connections}`));
            if (count === 1) {
                setTimeout(() => socket.write(formatRefusal("x-request-not-run: 1", "attempt-0")), 20);
            }
        });
        const address = parseAddress(await server.start()) as NetworkAddress;
        context.after(() => server.stop());
        const send = createSender();
        await send(address, "attempt-1");
        await new Promise(resolve => setTimeout(resolve, 60));
        assert.equal((await send(address, "attempt-2")).ok, true);
        assert.equal(server.connections, 2);
    });

    test(`a refusal of a ${title} on a new connection, or with the attempt's own id, proves that it has not run`, async context => {
        for (const headers of refusalHeaders) {
            const [, address] = await startServer(context, (_count, attemptId) => formatRefusal(headers, attemptId));
            const send = createSender();
            for (const id of ["attempt-1", "attempt-2"]) {
                const refused = await send(address, id);
                assert.equal(refused.err && refused.val.verdict, Verdict.NotRun);
            }
            const [, newAddress] = await startServer(context, () => formatRefusal(headers, undefined));
            const unnamed = await createSender()(newAddress, "attempt-1");
            assert.equal(unnamed.err && unnamed.val.verdict, Verdict.NotRun);
        }
    });
}
