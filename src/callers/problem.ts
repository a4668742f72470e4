import { Response } from "express";
import { ServerResponse } from "node:http";
import { sendResponse } from "../common/callerConnections.js";
import { Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { RequestHistory } from "../requests/requestRecord.js";

/** Headers on responses to callers. `Replayed` marks the stored response of an earlier call with the same idempotency key. */
export enum ResponseHeader {
    RequestId = "x-request-id",
    Verdict = "x-request-verdict",
    Attempts = "x-request-attempts",
    Replayed = "x-request-replayed",
}

/** Body of an error response: RFC 9457 problem details, plus the verdict and the `error` member that OpenAI clients read. */
export interface ProblemBody {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    readonly verdict: Verdict;
    readonly request_id: string;
    readonly attempts: number;
    readonly error: { readonly message: string; readonly type: string; readonly code: string; };
}

/** Status of a failure whose caller closed the connection; it is never sent. */
const callerClosedStatus = 499;
/** Statuses whose responses carry a Retry-After header even when the failure specifies no delay. */
const statusesWithRetryAfter: ReadonlySet<number> = new Set([429, 503]);

/** Creates the error response body for a failure. */
export function createProblemBody(failure: Failure, requestId: string, attempts: number): ProblemBody {
    const code = `CW${failure.message.code}`;
    return {
        type: `urn:corianderward:${code}`,
        title: failure.text,
        status: failure.message.status,
        detail: failure.text,
        verdict: failure.verdict,
        request_id: requestId,
        attempts,
        error: { message: failure.text, type: failure.verdict, code },
    };
}

/** Sets the request id, verdict and attempt count headers, which are on every response for a request. */
export function setResponseHeaders(response: ServerResponse, requestId: string, verdict: Verdict, attempts: number): void {
    response.setHeader(ResponseHeader.RequestId, requestId);
    response.setHeader(ResponseHeader.Verdict, verdict);
    response.setHeader(ResponseHeader.Attempts, String(attempts));
}

/** Sends a failure of a request that has not been read whole, and ends its connection. */
export function sendLastProblem(response: ServerResponse, failure: Failure, requestId: string): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    setResponseHeaders(response, requestId, failure.verdict, 0);
    setRetryAfter(response, failure);
    const body = JSON.stringify(createProblemBody(failure, requestId, 0));
    const headers = ["content-type", "application/problem+json", "content-length", String(Buffer.byteLength(body)), "connection", "close"];
    response.shouldKeepAlive = false;
    sendResponse(response, failure.message.status, headers, body);
}

/** Sends a failure as an error response. Destroys the response when its headers were sent or the caller has disconnected. */
export function sendProblem(response: Response, failure: Failure, requestId: string, history?: RequestHistory): void {
    if (response.headersSent || response.destroyed || failure.message.status === callerClosedStatus) {
        response.destroy();
        return;
    }
    const attempts = history?.attempts.length ?? 0;
    setResponseHeaders(response, requestId, failure.verdict, attempts);
    setRetryAfter(response, failure);
    response.status(failure.message.status).type("application/problem+json").send(
        JSON.stringify(createProblemBody(failure, requestId, attempts)),
    );
}

function setRetryAfter(response: ServerResponse, failure: Failure): void {
    if (failure.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", String(Math.max(1, Math.ceil(failure.retryAfterSeconds))));
    }
    else if (statusesWithRetryAfter.has(failure.message.status)) {
        response.setHeader("retry-after", "1");
    }
}
