import { Agent, IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { findResponseFault } from "../common/headCheck.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { NetworkAddress } from "../config/types.js";
import { ConnectionProbe, ProbeResult } from "./connectionProbe.js";
import { EndpointRequest } from "./endpointRequest.js";
import { computeSuspiciousSilence, GuardedAgent, readStatedIdleTimeout } from "./guardedAgent.js";
import { attemptIdHeader, createAttemptFailure, leavingHeader, notRunHeader } from "./httpModelEndpoint.js";
import { PlainCall, PlainResponse } from "./types.js";

/** Client interface to plain services. */
export interface PlainEndpointClient {
    /** Sends one call and reads the whole response; `handleSilence` is called while it is silent. A failure carries a verdict. */
    sendCall(
        address: NetworkAddress,
        call: PlainCall,
        signal: AbortSignal,
        handleSilence?: () => void,
    ): Promise<Result<PlainResponse, Failure>>;
}

const idleSocketMilliseconds = 3_000;
const crashError = new Error("the endpoint ended with a response that has neither a length nor chunks");

/** Calls plain services over HTTP, with pooled connections for calls that may be retried and a new connection for all others. */
export class HttpPlainEndpointClient implements PlainEndpointClient {
    private constructor(
        private readonly pooledAgent: GuardedAgent,
        private readonly singleUseAgent: Agent,
        private readonly probe: ConnectionProbe,
    ) {}

    /** The probe tells whether the endpoint is still there after a response that ended with its connection. */
    static create(probe: ConnectionProbe): HttpPlainEndpointClient {
        const pooledAgent = GuardedAgent.createGuarded({
            getIdleLimit: headers => Math.min(idleSocketMilliseconds, readStatedIdleTimeout(headers) ?? Infinity),
            maxFreeSockets: 32,
        });
        return new HttpPlainEndpointClient(pooledAgent, new Agent({ keepAlive: false }), probe);
    }

    async sendCall(
        address: NetworkAddress,
        call: PlainCall,
        signal: AbortSignal,
        handleSilence = () => {},
    ): Promise<Result<PlainResponse, Failure>> {
        const request = EndpointRequest.create({
            address,
            method: call.method,
            path: `/${call.path}`,
            headers: createCallHeaders(call),
            body: call.body.length > 0 ? call.body : undefined,
            agent: call.mayReuseConnection ? this.pooledAgent : this.singleUseAgent,
            connectTimeout: call.connectTimeout,
            silenceLimit: call.silenceLimit,
            handleSilence,
            suspiciousSilence: computeSuspiciousSilence(Math.min(call.timeLimit, call.silenceLimit)),
            handleSuspiciousSilence: () => this.pooledAgent.closeSilent(address),
            signal,
        });
        const timer = setTimeout(() => request.close(), call.timeLimit);
        try {
            const response = await request.send();
            const answer = await readResponse(response, request, call);
            if (answer.ok && await this.hasEndpointCrashed(address, request)) {
                return Err(request.connection.createFailure(crashError));
            }
            return answer;
        }
        catch (error) {
            return Err(request.connection.createFailure(error));
        }
        finally {
            clearTimeout(timer);
            request.close();
        }
    }

    /** Returns whether the endpoint is gone after a response whose end only its connection marked: it may have crashed in the middle. */
    private async hasEndpointCrashed(address: NetworkAddress, request: EndpointRequest): Promise<boolean> {
        return request.isResponseEndedByClose() && await this.probe.checkAddress(address) === ProbeResult.Refused;
    }
}

function createCallHeaders(call: PlainCall): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = {
        "x-request-id": call.requestId,
        [attemptIdHeader]: call.attemptId,
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

async function readResponse(
    response: IncomingMessage,
    request: EndpointRequest,
    call: PlainCall,
): Promise<Result<PlainResponse, Failure>> {
    const headFault = findResponseFault(response);
    if (headFault !== undefined) {
        return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_sent_an_answer_that_cannot_be_read_0, headFault));
    }
    const chunks: Buffer[] = [];
    let size = 0;
    await request.readChunks(chunk => {
        size += chunk.length;
        chunks.push(chunk);
        return size <= call.answerBytes;
    });
    if (size > call.answerBytes) {
        return Err(Failure.create(Verdict.Ran, Diagnostics.Answer_is_larger_than_0_bytes, call.answerBytes));
    }
    if (response.headers[notRunHeader] !== undefined || response.headers[leavingHeader] !== undefined) {
        return Err(createAttemptFailure(response, call.attemptId, request.isConnectionReused()));
    }
    const responseAttemptId = response.headers[attemptIdHeader];
    if (responseAttemptId !== undefined && responseAttemptId !== call.attemptId) {
        return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_names_another_request_0, String(responseAttemptId)));
    }
    return Ok({ status: response.statusCode ?? 0, contentType: response.headers["content-type"], body: Buffer.concat(chunks) });
}
