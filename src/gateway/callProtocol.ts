/**
 * The header names and words of a call between callers, nodes and endpoints. Each deployment gives its own; what they mean
 * is the same everywhere. Header names are in lower case.
 */
export interface CallProtocol {
    /** Identifies one attempt of the caller; forwarded as it is and echoed by the endpoint. */
    readonly attemptId: string;
    /** Milliseconds that the sender still waits for the answer. */
    readonly timeLeft: string;
    /** Name of the team whose key the caller used; only nodes set it. */
    readonly team: string;
    /** Identity of the one endpoint that may run the request. */
    readonly expectedEndpoint: string;
    /** Marks an answer whose request has not run. */
    readonly notRun: string;
    /** The endpoint's signature of a complete answer. */
    readonly signature: string;
    /** Running requests, waiting requests and slots, separated by commas. */
    readonly load: string;
    readonly retryAfter: string;
    readonly lastEventId: string;
    /** Parts of the prompt as id and tokens. */
    readonly promptParts: string;
    /** Tokens in and most tokens out. */
    readonly tokenCounts: string;
    /** Urgency for the engine, 0 to 9, where 0 is first. */
    readonly urgency: string;
    /** Address of an engine from which cached parts of the prompt are copied; undefined where engines cannot do that. */
    readonly cacheSource: string | undefined;
    /** Scheme of the authorization header. */
    readonly authorizationScheme: string;
    /** Headers that only nodes may set; what a caller sends of them is dropped. */
    readonly reservedHeaders: readonly string[];
    /** Path of the readiness check, asked by the balancer. */
    readonly readinessPath: string;
}
