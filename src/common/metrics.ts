import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency histograms' buckets. */
const latencyBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.1, 2.5, 5, 10, 30, 60];

/** Prometheus metrics of a node. Each node has its own registry, because one process may run several nodes. */
export class Metrics {
    readonly requests: Counter<"service" | "team" | "outcome" | "verdict">;
    readonly attempts: Counter<"service" | "outcome">;
    readonly firstToken: Histogram<"service">;
    readonly betweenTokens: Histogram<"service">;
    readonly queueWait: Histogram<"service">;
    readonly tokens: Counter<"service">;
    readonly tokensRecomputed: Counter<"service">;
    readonly resumes: Counter<"service" | "way">;
    readonly queued: Gauge<"service">;
    readonly running: Gauge<"service">;
    readonly openStreams: Gauge;
    readonly quarantines: Counter<"service">;
    readonly claims: Counter<"service" | "outcome">;
    readonly adoptions: Counter<"outcome">;
    readonly handovers: Counter<"outcome">;
    readonly staleResponses: Counter<"service">;
    readonly configurationRevision: Gauge<"team">;
    readonly configurationRefused: Counter<"reason">;
    readonly platformCalls: Counter<"call" | "outcome">;
    readonly platformReachable: Gauge;
    readonly peerExchanges: Counter<"outcome">;
    readonly peerBytes: Counter<"direction">;
    readonly leaseHeld: Gauge<"lease">;
    readonly endpointState: Gauge<"endpoint" | "state">;
    readonly closedConnections: Counter<"cause">;
    readonly silentConnections: Counter<"hop">;
    readonly moveShare: Gauge<"service">;
    readonly moves: Counter<"service" | "state">;

    private constructor(readonly registry: Registry) {
        const registers = [registry];
        const createCounter = <T extends string>(name: string, help: string, labelNames: T[] = []) =>
            new Counter<T>({ name: `corianderward_${name}`, help, labelNames, registers });
        const createGauge = <T extends string>(name: string, help: string, labelNames: T[] = []) =>
            new Gauge<T>({ name: `corianderward_${name}`, help, labelNames, registers });
        const createHistogram = <T extends string>(name: string, help: string, labelNames: T[] = []) =>
            new Histogram<T>({ name: `corianderward_${name}`, help, labelNames, registers, buckets: latencyBucketsSeconds });

        this.requests = createCounter("requests_total", "Requests by how they ended.", ["service", "team", "outcome", "verdict"]);
        this.attempts = createCounter("attempts_total", "Attempts at endpoints by how they ended.", ["service", "outcome"]);
        this.firstToken = createHistogram("first_token_seconds", "Time from arrival to the first token.", ["service"]);
        this.betweenTokens = createHistogram("between_tokens_seconds", "Time between two tokens.", ["service"]);
        this.queueWait = createHistogram("queue_wait_seconds", "Time spent in the queue.", ["service"]);
        this.tokens = createCounter("tokens_total", "Tokens relayed.", ["service"]);
        this.tokensRecomputed = createCounter("tokens_recomputed_total", "Tokens that an endpoint computed again after a resume.", [
            "service",
        ]);
        this.resumes = createCounter("resumes_total", "Streams resumed on another endpoint.", ["service", "way"]);
        this.queued = createGauge("queued_requests", "Requests waiting for an endpoint.", ["service"]);
        this.running = createGauge("running_requests", "Requests running at endpoints.", ["service"]);
        this.openStreams = createGauge("open_streams", "Streams open to callers.");
        this.quarantines = createCounter("quarantines_total", "Requests quarantined after they ended endpoints.", ["service"]);
        this.closedConnections = createCounter(
            "caller_connections_closed_total",
            "Connections of callers that were closed to stay within the limits of the process.",
            ["cause"],
        );
        this.claims = createCounter("claims_total", "Claims on idempotency keys by outcome.", ["service", "outcome"]);
        this.adoptions = createCounter("adoptions_total", "Requests adopted from other nodes.", ["outcome"]);
        this.handovers = createCounter("handovers_total", "Requests handed to other nodes at shutdown.", ["outcome"]);
        this.staleResponses = createCounter("late_answers_total", "Answers dropped because they belong to an earlier attempt.", [
            "service",
        ]);
        this.configurationRevision = createGauge("configuration_revision", "Revision in force.", ["team"]);
        this.configurationRefused = createCounter("configuration_refused_total", "Configuration objects refused.", ["reason"]);
        this.platformCalls = createCounter("platform_calls_total", "Calls to the platform.", ["call", "outcome"]);
        this.platformReachable = createGauge("platform_reachable", "1 while the platform answers.");
        this.peerExchanges = createCounter("peer_exchanges_total", "Digest exchanges with peers.", ["outcome"]);
        this.peerBytes = createCounter("peer_bytes_total", "Bytes of digests.", ["direction"]);
        this.leaseHeld = createGauge("lease_held", "1 while this node holds the lease.", ["lease"]);
        this.endpointState = createGauge("endpoint_state", "1 for the state that an endpoint is in.", ["endpoint", "state"]);
        this.silentConnections = createCounter("silent_connections_total", "Connections dropped because nothing arrived on them.", ["hop"]);
        this.moveShare = createGauge("move_share", "Share of traffic that the new version may get.", ["service"]);
        this.moves = createCounter("moves_total", "Version moves by terminal state.", ["service", "state"]);
    }

    static create(): Metrics {
        return new Metrics(new Registry());
    }

    /** Adds the default metrics of the Node.js process; call it at most once per process. */
    addProcessMetrics(): void {
        collectDefaultMetrics({ register: this.registry });
    }
}
