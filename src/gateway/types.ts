import { PromptShape } from "../fleet/types.js";
import { Route, RoutedTeam } from "../routes/types.js";
import { CallSpan } from "./hopTracing.js";

/** A request that a caller has sent in full. Times are monotonic milliseconds. */
export interface IncomingCall {
    /** The caller's own id of this attempt. */
    readonly id: string;
    readonly method: string;
    readonly target: string;
    /** Names and values as they came, one after the other. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly hasBody: boolean;
    readonly route: Route;
    readonly service: string;
    readonly team: RoutedTeam | undefined;
    /** Whether the deployment's callers use keys, which are not for endpoints. */
    readonly isKeyed: boolean;
    /** Returns what is the same for every request with this team, target and body, on every node. It is computed when first asked for. */
    getFingerprint(): string;
    readonly prompt: PromptShape | undefined;
    readonly lastEventId: string | undefined;
    readonly span: CallSpan;
    readonly arrivedAt: number;
    /** When the caller or the route stops waiting, whichever is earlier. */
    readonly deadline: number;
}

/** How a call ended, for logs and metrics. */
export enum CallOutcome {
    /** The endpoint's answer was passed on whole. */
    Answered = "answered",
    /** The node refused it; it has not run and will not. */
    Refused = "refused",
    /** The caller's own fault: not allowed, not known, not readable. */
    Rejected = "rejected",
    /** It failed and may have run. */
    Failed = "failed",
    /** An answer that had begun was broken off. */
    Broken = "broken",
    CallerLeft = "caller-left",
}
