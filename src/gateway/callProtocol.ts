/**
 * Header names and other deployment-specific names of the HTTP protocol between callers, nodes and endpoints. Their meaning is the
 * same in all deployments. Header names are in lower case.
 */
export interface CallProtocol {
    /** Id of one attempt of the caller; forwarded unchanged and echoed by the endpoint. */
    readonly attemptId: string;
    /** Milliseconds that the sender still waits for the response. */
    readonly timeLeft: string;
    /** Name of the team whose key the caller used; set only by nodes. */
    readonly team: string;
    /** Id of the only endpoint that may run the request. */
    readonly expectedEndpoint: string;
    /** Marks a response whose request has not run. */
    readonly notRun: string;
    /** The endpoint's signature of a complete response. */
    readonly signature: string;
    /** The endpoint's running requests, waiting requests and slots, separated by commas. */
    readonly load: string;
    /** Marks a response of an endpoint that is leaving; its value is `1`. */
    readonly leaving: string;
    /** Number of rejections in a second that the endpoint survives; absent where rejections do no harm. */
    readonly rejectionLimit: string;
    readonly retryAfter: string;
    readonly lastEventId: string;
    /** Prompt parts as `id:tokens`, separated by commas. */
    readonly promptParts: string;
    /** Number of input tokens and largest number of output tokens, separated by a comma. */
    readonly tokenCounts: string;
    /** Urgency for the engine, 0 to 9, where 0 is first. */
    readonly urgency: string;
    /** Address of an engine to copy cached prompt parts from; undefined where engines do not support copying. */
    readonly cacheSource: string | undefined;
    /** Scheme of the authorization header. */
    readonly authorizationScheme: string;
    /** Further headers that only nodes may set; they are removed from callers' requests. */
    readonly reservedHeaders: readonly string[];
    /** Path of the readiness check that the load balancer requests. */
    readonly readinessPath: string;
}
