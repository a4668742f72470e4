import { CallProtocol } from "./callProtocol.js";

/** The product's default protocol, as specified in docs/INTERFACES.md. */
export const defaultCallProtocol: CallProtocol = {
    attemptId: "x-attempt-id",
    timeLeft: "x-time-left-milliseconds",
    team: "x-team",
    expectedEndpoint: "x-expected-endpoint",
    notRun: "x-request-not-run",
    signature: "x-answer-signature",
    load: "x-endpoint-load",
    leaving: "x-endpoint-leaving",
    rejectionLimit: "x-endpoint-rejection-limit",
    retryAfter: "retry-after",
    lastEventId: "last-event-id",
    promptParts: "x-prompt-parts",
    tokenCounts: "x-token-counts",
    urgency: "x-urgency",
    cacheSource: undefined,
    authorizationScheme: "Bearer",
    reservedHeaders: [],
    readinessPath: "/ready",
};
