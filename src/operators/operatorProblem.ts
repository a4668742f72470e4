import { Response } from "express";
import { Failure } from "../common/failure.js";

/** Sends a failure to an operator as problem details (application/problem+json) with the status of its diagnostic. */
export function sendOperatorProblem(response: Response, failure: Failure): void {
    const code = `CW${failure.message.code}`;
    const body = { type: `urn:corianderward:${code}`, title: failure.text, status: failure.message.status, verdict: failure.verdict };
    response.status(failure.message.status).type("application/problem+json").send(JSON.stringify(body));
}
