import { Agent, IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { EndpointRequest, readAnswerChunks } from "./endpointRequest.js";
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
    private constructor(private readonly pooled: Agent, private readonly fresh: Agent) {}

    static create(): HttpPlainEndpointClient {
        const pooled = new Agent({ keepAlive: true, timeout: idleSocketMilliseconds, maxFreeSockets: 32 });
        return new HttpPlainEndpointClient(pooled, new Agent({ keepAlive: false }));
    }

    async sendCall(address: NetworkAddress, call: PlainCall, signal: AbortSignal): Promise<Result<PlainAnswer, Failure>> {
        const request = EndpointRequest.create({
            address,
            method: call.method,
            path: `/${call.path}`,
            headers: createCallHeaders(call),
            body: call.body.length > 0 ? call.body : undefined,
            agent: call.mayReuseConnection ? this.pooled : this.fresh,
            connectTimeout: call.connectTimeout,
            silenceLimit: call.timeLimit,
            signal,
        });
        // The time limit holds for the whole call, not only for its silences.
        const timer = setTimeout(() => request.close(), call.timeLimit);
        try {
            return await readAnswer(await request.send(), call);
        }
        catch (error) {
            return Err(request.connection.createFailure(error));
        }
        finally {
            clearTimeout(timer);
            request.close();
        }
    }
}

function createCallHeaders(call: PlainCall): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = {
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
    if (call.body.length > 0) {
        headers["content-length"] = call.body.length;
    }
    return { ...headers, ...call.traceHeaders };
}

async function readAnswer(answer: IncomingMessage, call: PlainCall): Promise<Result<PlainAnswer, Failure>> {
    const chunks: Buffer[] = [];
    let size = 0;
    await readAnswerChunks(answer, chunk => {
        size += chunk.length;
        chunks.push(chunk);
        return size <= call.answerBytes;
    });
    if (size > call.answerBytes) {
        return Err(Failure.create(Verdict.Ran, Diagnostics.Answer_is_larger_than_0_bytes, call.answerBytes));
    }
    if (answer.headers[notRunHeader] !== undefined || answer.headers[leavingHeader] !== undefined) {
        return Err(createStatusFailure(answer));
    }
    const named = answer.headers["x-attempt-id"];
    if (named !== undefined && named !== call.attemptId) {
        return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_names_another_request_0, String(named)));
    }
    return Ok({ status: answer.statusCode ?? 0, contentType: answer.headers["content-type"], body: Buffer.concat(chunks) });
}
