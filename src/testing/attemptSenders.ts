import { Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { TcpConnectionProbe } from "../endpoints/connectionProbe.js";
import { TcpEndpointConnector } from "../endpoints/endpointConnector.js";
import { HttpModelEndpointClient } from "../endpoints/httpModelEndpoint.js";
import { HttpPlainEndpointClient } from "../endpoints/plainEndpoint.js";
import { PlainCall } from "../endpoints/types.js";

/** Sends one attempt to an endpoint. */
export type SendAttempt = (
    address: NetworkAddress,
    attemptId: string,
    handleToken?: (token: string) => void,
) => Promise<Result<unknown, { readonly verdict: Verdict; }>>;

/** Creates a call to a plain service. */
export function createPlainCall(attemptId: string, parts: Partial<PlainCall> = {}): PlainCall {
    return {
        requestId: "request-1",
        attemptId,
        version: "v1",
        method: "GET",
        path: "lookup",
        contentType: undefined,
        idempotencyKey: undefined,
        body: Buffer.alloc(0),
        timeLimit: 2_000,
        silenceLimit: 2_000,
        connectTimeout: 300,
        answerBytes: 1_000,
        mayReuseConnection: false,
        traceHeaders: {},
        ...parts,
    };
}

function createCallSender(timeLimit = 2_000): SendAttempt {
    const client = HttpPlainEndpointClient.create(TcpConnectionProbe.create(TcpEndpointConnector.create(), 300));
    return (address, attemptId) =>
        client.sendCall(address, createPlainCall(attemptId, { mayReuseConnection: true, timeLimit }), new AbortController().signal);
}

function createGenerationSender(silenceLimit = 2_000): SendAttempt {
    const client = HttpModelEndpointClient.create();
    return (address, attemptId, handleToken = () => {}) =>
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
                silenceLimit,
                connectTimeout: 300,
                traceHeaders: {},
            },
            { appendToken: handleToken },
            new AbortController().signal,
        );
}

/** Clients of the product's own interface that use kept connections; each sender takes its time without an answer in milliseconds. */
export const attemptSenders = [
    { title: "call", createSender: createCallSender },
    { title: "generation", createSender: createGenerationSender },
];

/** Formats a complete response to a call and to a generation alike. */
export function formatAttemptResponse(attemptId: string): string {
    const event = `data: {"id":"${attemptId}","choices":[{"text":"a","finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`;
    return `HTTP/1.1 200 OK\r\nx-attempt-id: ${attemptId}\r\ncontent-length: ${event.length}\r\n\r\n${event}`;
}
