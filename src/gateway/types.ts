import { Clock } from "../common/clock.js";
import { Failure } from "../common/failure.js";
import { ResponseFraming } from "../endpoints/responseEnd.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { Evacuations } from "../fleet/evacuations.js";
import { ServicePathTracker } from "../fleet/servicePathTracker.js";
import { PromptShape } from "../fleet/types.js";
import { BrittleEndpoints } from "../placement/brittleEndpoints.js";
import { CallPlacementPolicy } from "../placement/callPlacementPolicy.js";
import { EngineSpeeds } from "../placement/engineSpeeds.js";
import { PlacementUpdates } from "../placement/placementUpdates.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { Placement } from "../placement/types.js";
import { WarmingEndpoints } from "../placement/warmingEndpoints.js";
import { Route, RoutedTeam } from "../routes/types.js";
import { VersionMoves } from "../versions/versionMoves.js";
import { CallerResponse } from "./callerResponse.js";
import { CallProtocol } from "./callProtocol.js";
import { EndpointConnectionPool } from "./endpointConnectionPool.js";
import { EndpointCrashCheck } from "./endpointCrashCheck.js";
import { HeaderForwarder } from "./forwardedHeaders.js";
import { CallSpan } from "./hopTracing.js";
import { PoisonRequestDetector } from "./poisonRequestDetector.js";
import { EventStreamRelay } from "./responseRelay.js";
import { ServicePathProber } from "./servicePathProber.js";

/** A completely received request of a caller. Times are monotonic milliseconds. */
export interface IncomingCall {
    /** The caller's id of this attempt. */
    readonly id: string;
    readonly method: string;
    readonly target: string;
    /** Alternating names and values as received. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly hasBody: boolean;
    readonly route: Route;
    readonly service: string;
    readonly team: RoutedTeam | undefined;
    /** Priority of the team, or else of the route; 0 is the most urgent. */
    readonly rank: number;
    /** Whether callers authenticate with team keys; the keys are not forwarded to endpoints. */
    readonly usesTeamKeys: boolean;
    /** Returns a hash of the team, method, target and body, which is the same on all nodes. Computed at the first use. */
    getFingerprint(): string;
    readonly prompt: PromptShape | undefined;
    readonly lastEventId: string | undefined;
    readonly span: CallSpan;
    readonly arrivedAt: number;
    /** Time at which the caller's or the route's time limit expires, whichever is earlier. */
    readonly deadline: number;
}

/** Outcome of a call, for logs and metrics. */
export enum CallOutcome {
    /** The endpoint's complete response was relayed. */
    Completed = "answered",
    /** The node refused the call; it has not run and will not run. */
    Refused = "refused",
    /** The call is unauthorized, malformed or too large, or its path is not served. */
    Rejected = "rejected",
    /** The call failed and may have run. */
    Failed = "failed",
    /** The response was interrupted after it had started. */
    Interrupted = "broken",
    CallerDisconnected = "caller-left",
}

/** Time limits of an attempt, in milliseconds. */
export interface AttemptTiming {
    /** Longest time to establish a connection. */
    readonly connectTimeout: number;
    /** Time without data from an endpoint that accepts connections after which a backup attempt starts for a retryable call. */
    readonly endpointSilence: number;
}

/** Dependencies of call attempts. */
export interface CallAttemptDependencies {
    readonly clock: Clock;
    readonly protocol: CallProtocol;
    readonly headers: HeaderForwarder;
    readonly connections: EndpointConnectionPool;
    readonly directory: EndpointDirectory;
    readonly callPlacement: CallPlacementPolicy;
    readonly poisonRequestDetector: PoisonRequestDetector;
    readonly crashCheck: EndpointCrashCheck;
    readonly paths: ServicePathTracker;
    readonly brittleEndpoints: BrittleEndpoints;
    readonly warmingEndpoints: WarmingEndpoints;
    readonly engineSpeeds: EngineSpeeds;
    readonly pathProber: ServicePathProber;
    readonly placementUpdates: PlacementUpdates;
    readonly work: ServiceWorkTracker;
    readonly versions: VersionMoves;
    readonly evacuations: Evacuations;
    readonly timing: AttemptTiming;
}

/** Options of one attempt of a call. Times are monotonic milliseconds. */
export interface AttemptOptions {
    readonly call: IncomingCall;
    readonly caller: CallerResponse;
    readonly placement: Placement;
    readonly deadline: number;
    readonly lastEventId: string | undefined;
    /** Relay of the call's event stream; undefined for calls that are not streams. */
    readonly stream: EventStreamRelay | undefined;
    /** Returns whether the call may be served by another attempt if this one fails after it may have run. */
    mayRetry(): boolean;
    /** Returns whether other attempts go on until this one has sent data: the head of a stream does not show that its engine is fast. */
    isRacing(): boolean;
    /** Called, again and again, while the endpoint, or the connection to it, is silent for longer than the limit. */
    handleSilence(): void;
    /** Called before the response, or a further part of it, is relayed. */
    handleResponse(): void;
}

/** Times since data was received last, or since the request was sent, in milliseconds. */
export interface AttemptSilence {
    /** On the connection of the attempt. */
    readonly connection: number;
    /** On any of this node's connections to the endpoint. */
    readonly endpoint: number;
}

/** Result of an attempt; without a failure, the complete response was written to the caller. */
export interface AttemptResult {
    readonly failure: Failure | undefined;
    /** Whether the attempt was aborted at its deadline. */
    readonly isPastDeadline: boolean;
    /** Whether the request may have reached the endpoint. */
    readonly mayHaveArrived: boolean;
    /** Whether a failed attempt was sent on a connection that had carried earlier requests. */
    readonly isConnectionReused: boolean;
    readonly silence: AttemptSilence;
    /** How the endpoint's response marked its end; undefined when there was none. */
    readonly framing: ResponseFraming | undefined;
    readonly sentAt: number;
}
