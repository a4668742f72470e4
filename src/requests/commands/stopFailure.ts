import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Verdict } from "../../common/verdict.js";

/** Creates the failure of a request that the stop of its node ends: a refusal if it has not run. */
export function createStopFailure(verdict: Verdict): Failure {
    if (verdict === Verdict.NotRun) {
        return Failure.create(verdict, Diagnostics.Node_is_shutting_down);
    }
    return Failure.create(verdict, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "the node is shutting down");
}
