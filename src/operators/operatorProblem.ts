import { Response } from "express";
import { Failure } from "../common/failure.js";

/** Answers an operator with a failure. */
export function sendOperatorProblem(response: Response, failure: Failure): void {
    const code = `CW${failure.message.code}`;
    const body = { type: `urn:corianderward:${code}`, title: failure.text, status: failure.message.status, verdict: failure.verdict };
    response.status(failure.message.status).type("application/problem+json").send(JSON.stringify(body));
}
