import { Response } from "express";
import { Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { RequestHistory } from "../requests/requestRecord.js";

/** Headers that every answer to a caller carries. */
export enum AnswerHeader {
    RequestId = "x-request-id",
    Verdict = "x-request-verdict",
    Attempts = "x-request-attempts",
    Replayed = "x-request-replayed",
}

/** The body of a refusal or failure: RFC 9457 with the verdict, and the error member that OpenAI clients read. */
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

const callerClosedStatus = 499;
const retriableStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Creates the problem body of a failure. */
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

/** Sets the headers that every answer carries. */
export function setAnswerHeaders(response: Response, requestId: string, verdict: Verdict, attempts: number): void {
    response.setHeader(AnswerHeader.RequestId, requestId);
    response.setHeader(AnswerHeader.Verdict, verdict);
    response.setHeader(AnswerHeader.Attempts, String(attempts));
}

/** Answers with a failure. Does nothing when the answer has begun or the caller is gone. */
export function sendProblem(response: Response, failure: Failure, requestId: string, history?: RequestHistory): void {
    if (response.headersSent || response.destroyed || failure.message.status === callerClosedStatus) {
        response.destroy();
        return;
    }
    const attempts = history?.attempts.length ?? 0;
    setAnswerHeaders(response, requestId, failure.verdict, attempts);
    if (failure.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", String(Math.max(1, Math.ceil(failure.retryAfterSeconds))));
    }
    else if (retriableStatuses.has(failure.message.status)) {
        response.setHeader("retry-after", "1");
    }
    response.status(failure.message.status).type("application/problem+json").send(
        JSON.stringify(createProblemBody(failure, requestId, attempts)),
    );
}
