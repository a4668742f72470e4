import { Request } from "express";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";

/** The header with the time, in seconds, after which the caller no longer wants the answer. */
export const timeoutHeader = "x-request-timeout-seconds";
const idempotencyHeader = "idempotency-key";
const lastEventHeader = "last-event-id";
const keyPattern = /^[!-~]{1,255}$/;
const longestTimeoutSeconds = 86_400;

/** Returns the deadline in Unix milliseconds: the caller's or the service's time limit, whichever is earlier. */
export function readDeadline(request: Request, now: number, timeLimit: number): Result<number, Failure> {
    const header = request.headers[timeoutHeader];
    if (header === undefined) {
        return Ok(now + timeLimit);
    }
    const seconds = Number(header);
    const isValid = typeof header === "string" && header.trim() !== "" && Number.isFinite(seconds) && seconds > 0
        && seconds <= longestTimeoutSeconds;
    if (!isValid) {
        return Err(
            Failure.create(Verdict.NotRun, Diagnostics.Header_0_is_not_valid_1, timeoutHeader, "a number of seconds above 0 is allowed"),
        );
    }
    return Ok(now + Math.min(timeLimit, seconds * millisecondsPerSecond));
}

/** Returns the idempotency key, or undefined when there is none. */
export function readIdempotencyKey(request: Request): Result<string | undefined, Failure> {
    const header = request.headers[idempotencyHeader];
    if (header === undefined) {
        return Ok(undefined);
    }
    if (typeof header !== "string" || !keyPattern.test(header)) {
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

/** Returns how many tokens the caller already has, from the Last-Event-ID header. */
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

/** Says whether the caller asked for an asynchronous answer. */
export function hasAsyncPreference(request: Request): boolean {
    const header = request.headers["prefer"];
    return typeof header === "string" && header.split(",").some(part => part.trim().toLowerCase() === "respond-async");
}
