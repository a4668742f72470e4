import { Request } from "express";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";

/** Request header with the caller's time limit, in seconds from the arrival of the request. */
export const timeoutHeader = "x-request-timeout-seconds";
const idempotencyHeader = "idempotency-key";
const lastEventHeader = "last-event-id";
const idempotencyKeyPattern = /^[!-~]{1,255}$/;
const maxTimeoutSeconds = 86_400;

/** Returns the deadline in Unix milliseconds, from the shorter of the caller's and the service's time limit. Fails on a malformed header. */
export function readDeadline(request: Request, now: number, timeLimit: number): Result<number, Failure> {
    const header = request.headers[timeoutHeader];
    if (header === undefined) {
        return Ok(now + timeLimit);
    }
    const seconds = Number(header);
    const isValid = typeof header === "string" && header.trim() !== "" && Number.isFinite(seconds) && seconds > 0
        && seconds <= maxTimeoutSeconds;
    if (!isValid) {
        return Err(
            Failure.create(Verdict.NotRun, Diagnostics.Header_0_is_not_valid_1, timeoutHeader, "a number of seconds above 0 is allowed"),
        );
    }
    return Ok(now + Math.min(timeLimit, seconds * millisecondsPerSecond));
}

/** Returns the idempotency key, or undefined when the header is absent. Fails on a malformed key. */
export function readIdempotencyKey(request: Request): Result<string | undefined, Failure> {
    const header = request.headers[idempotencyHeader];
    if (header === undefined) {
        return Ok(undefined);
    }
    if (typeof header !== "string" || !idempotencyKeyPattern.test(header)) {
        return Err(
            Failure.create(
                Verdict.NotRun,
                Diagnostics.Header_0_is_not_valid_1,
                idempotencyHeader,
                "1 to 255 visible characters are allowed",
            ),
        );
    }
    return Ok(header);
}

/** Returns how many tokens the caller has received, from the Last-Event-ID header; 0 when the header is absent. Fails on a malformed header. */
export function readLastEventId(request: Request): Result<number, Failure> {
    const header = request.headers[lastEventHeader];
    if (header === undefined) {
        return Ok(0);
    }
    const count = Number(header);
    if (typeof header !== "string" || header === "" || !Number.isInteger(count) || count < 0) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Header_0_is_not_valid_1, lastEventHeader, "the id of an event is allowed"));
    }
    return Ok(count);
}

/** Returns whether the Prefer header requests asynchronous processing (RFC 7240 `respond-async`). */
export function hasAsyncPreference(request: Request): boolean {
    const header = request.headers["prefer"];
    return typeof header === "string" && header.split(",").some(part => part.trim().toLowerCase() === "respond-async");
}
