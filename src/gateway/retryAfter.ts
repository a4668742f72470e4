import { Failure } from "../common/failure.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Part of its time left that a caller waits at most before it comes back: later it has too little left to be served. */
const longestShareOfTimeLeft = 0.3;
/** Wait where nothing says how long the cause will last, in milliseconds: load is told between nodes twice a second. */
const defaultWaitMilliseconds = 400;
/** Least wait, in milliseconds: an earlier return meets the same load. */
const leastWaitMilliseconds = 50;

/** Returns the seconds after which a refused caller should come back, so that it is likely to be served then. */
export function chooseRetryAfter(failure: Failure, timeLeft: number): number {
    const wanted = failure.retryAfterSeconds === undefined ? defaultWaitMilliseconds : failure.retryAfterSeconds * millisecondsPerSecond;
    const longest = Math.max(leastWaitMilliseconds, timeLeft * longestShareOfTimeLeft);
    return Math.min(Math.max(wanted, leastWaitMilliseconds), longest) / millisecondsPerSecond;
}
