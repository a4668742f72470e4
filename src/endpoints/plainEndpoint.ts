import got, { Got, Request as GotRequest, Response } from "got";
import { Agent, ClientRequest } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ConnectionVerdict } from "./connectionVerdict.js";
import { createStatusFailure, leavingHeader, notRunHeader } from "./httpModelEndpoint.js";
import { PlainAnswer, PlainCall } from "./types.js";

/** The interface to plain services. */
export interface PlainEndpointClient {
    /** Makes one call and reads the whole answer. Fails with a verdict. */
    sendCall(address: NetworkAddress, call: PlainCall, signal: AbortSignal): Promise<Result<PlainAnswer, Failure>>;
}

const idleSocketMilliseconds = 3_000;

/** Calls plain services over HTTP. */
export class HttpPlainEndpointClient implements PlainEndpointClient {
    private constructor(private readonly pooled: Got, private readonly fresh: Got) {}

    static create(): HttpPlainEndpointClient {
        const base = got.extend({ retry: { limit: 0 }, throwHttpErrors: false, followRedirect: false, decompress: false });
        const pooled = base.extend({ agent: { http: new Agent({ keepAlive: true, timeout: idleSocketMilliseconds, maxFreeSockets: 8 }) } });
        const fresh = base.extend({ agent: { http: new Agent({ keepAlive: false }) } });
        return new HttpPlainEndpointClient(pooled, fresh);
    }

    async sendCall(address: NetworkAddress, call: PlainCall, signal: AbortSignal): Promise<Result<PlainAnswer, Failure>> {
        const connection = ConnectionVerdict.create();
        const client = call.mayReuseConnection ? this.pooled : this.fresh;
        const hasBody = call.body.length > 0;
        const stream = client.stream(`http://${formatAddress(address)}/${call.path}`, {
            method: call.method as "GET",
            ...(hasBody ? { body: call.body } : {}),
            allowGetBody: true,
            headers: createCallHeaders(call),
            signal,
            timeout: { connect: call.connectTimeout, request: call.timeLimit },
        });
        stream.on("request", (request: ClientRequest) => connection.observeRequest(request));
        try {
            return await readAnswer(stream, call);
        }
        catch (error) {
            return Err(connection.createFailure(error));
        }
        finally {
            stream.destroy();
        }
    }
}

function createCallHeaders(call: PlainCall): Record<string, string> {
    const headers: Record<string, string> = {
        "x-request-id": call.requestId,
        "x-attempt-id": call.attemptId,
        "x-service-version": call.version,
    };
    if (call.contentType !== undefined) {
        headers["content-type"] = call.contentType;
    }
    if (call.idempotencyKey !== undefined) {
        headers["idempotency-key"] = call.idempotencyKey;
    }
    return { ...headers, ...call.traceHeaders };
}

async function readAnswer(stream: GotRequest, call: PlainCall): Promise<Result<PlainAnswer, Failure>> {
    const chunks: Buffer[] = [];
    let size = 0;
    let response: Response | undefined;
    stream.once("response", (received: Response) => {
        response = received;
    });
    for await (const chunk of stream) {
        size += (chunk as Buffer).length;
        if (size > call.answerBytes) {
            return Err(Failure.create(Verdict.Ran, Diagnostics.Answer_is_larger_than_0_bytes, call.answerBytes));
        }
        chunks.push(chunk as Buffer);
    }
    if (response === undefined) {
        return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "no answer"));
    }
    if (response.headers[notRunHeader] !== undefined || response.headers[leavingHeader] !== undefined) {
        return Err(createStatusFailure(response));
    }
    const named = response.headers["x-attempt-id"];
    if (named !== undefined && named !== call.attemptId) {
        return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_names_another_request_0, String(named)));
    }
    return Ok({ status: response.statusCode, contentType: response.headers["content-type"], body: Buffer.concat(chunks) });
}
