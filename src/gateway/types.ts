import { Clock } from "../common/clock.js";
import { Failure } from "../common/failure.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { PromptShape } from "../fleet/types.js";
import { CallPlacement } from "../placement/callPlacement.js";
import { PlacementNews } from "../placement/placementNews.js";
import { Placement } from "../placement/types.js";
import { WorkMeter } from "../placement/workMeter.js";
import { Route, RoutedTeam } from "../routes/types.js";
import { VersionMoves } from "../versions/versionMoves.js";
import { EventStreamRelay } from "./answerRelay.js";
import { CallerAnswer } from "./callerAnswer.js";
import { CallProtocol } from "./callProtocol.js";
import { CrashWatch } from "./crashWatch.js";
import { EndpointConnections } from "./endpointConnections.js";
import { HeaderForwarder } from "./forwardedHeaders.js";
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
    /** The team's priority, or else the route's; 0 is the most urgent. */
    readonly rank: number;
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

/** Waits of an attempt, in milliseconds. */
export interface AttemptTiming {
    /** Longest wait for a connection. */
    readonly connectTimeout: number;
    /** Silence of an endpoint on all connections after which work that may be repeated goes on elsewhere. */
    readonly endpointSilence: number;
}

/** What attempts work with. */
export interface CallAttemptParts {
    readonly clock: Clock;
    readonly protocol: CallProtocol;
    readonly headers: HeaderForwarder;
    readonly connections: EndpointConnections;
    readonly directory: EndpointDirectory;
    readonly callPlacement: CallPlacement;
    readonly crashes: CrashWatch;
    readonly news: PlacementNews;
    readonly work: WorkMeter;
    readonly versions: VersionMoves;
    readonly timing: AttemptTiming;
}

/** One attempt of a call. Times are monotonic milliseconds. */
export interface AttemptOptions {
    readonly call: IncomingCall;
    readonly caller: CallerAnswer;
    readonly placement: Placement;
    readonly deadline: number;
    readonly lastEventId: string | undefined;
    /** The relay of the call's event stream; undefined for other calls. */
    readonly stream: EventStreamRelay | undefined;
    /** Whether a failure may be followed by another run. */
    readonly mayRunAgain: boolean;
}

/** How an attempt ended; without a failure the whole answer has reached the caller. */
export interface AttemptEnd {
    readonly failure: Failure | undefined;
    /** Whether the deadline ended it. */
    readonly isLate: boolean;
    /** Whether the request may have reached the endpoint. */
    readonly hasArrived: boolean;
    readonly sentAt: number;
}
