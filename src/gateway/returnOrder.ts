import { CallOutcome, IncomingCall } from "./types.js";

/** Shortest time that counts as waited, in milliseconds: callers' clocks and links take up to that much of their time limit. */
const leastWaitMilliseconds = 250;

/**
 * Returns for how long the caller has waited since its first attempt, in milliseconds. A retry carries a new id and reaches another
 * node, but less time is left to it than its route allows; callers whose own limit is longer than the route's have waited longer.
 */
export function computeWaitedTime(call: Pick<IncomingCall, "arrivedAt" | "deadline" | "route">): number {
    const used = call.route.timeLimit - (call.deadline - call.arrivedAt);
    return used >= leastWaitMilliseconds ? used : 0;
}

/** Returns how a returning caller's call ended, for the metric of returning calls. */
export function describeReturn(outcome: CallOutcome): "served" | "refused" | "failed" {
    switch (outcome) {
        case CallOutcome.Completed:
            return "served";
        case CallOutcome.Refused:
        case CallOutcome.Rejected:
            return "refused";
        case CallOutcome.Failed:
        case CallOutcome.Interrupted:
        case CallOutcome.CallerDisconnected:
            return "failed";
    }
}
