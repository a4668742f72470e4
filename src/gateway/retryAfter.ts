import { Failure } from "../common/failure.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Largest fraction of the caller's remaining time to wait before a retry; after a longer wait too little time is left to serve it. */
const maximumShareOfTimeLeft = 0.3;
/** Wait when the duration of the cause is unknown; nodes exchange their load twice a second. */
const defaultWaitMilliseconds = 400;
/** Shortest wait; an earlier retry would encounter the same load. */
const minimumWaitMilliseconds = 50;

/** Returns the number of seconds after which a refused caller's retry is likely to be served. `timeLeft` is in milliseconds. */
export function chooseRetryAfter(failure: Failure, timeLeft: number): number {
    const requested = failure.retryAfterSeconds === undefined ? defaultWaitMilliseconds : failure.retryAfterSeconds * millisecondsPerSecond;
    const maximum = Math.max(minimumWaitMilliseconds, timeLeft * maximumShareOfTimeLeft);
    return Math.min(Math.max(requested, minimumWaitMilliseconds), maximum) / millisecondsPerSecond;
}
