import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { BodyBudget } from "../common/bodyBudget.js";
import { observeBodyBudget } from "../common/bodyMetrics.js";
import { millisecondsPerSecond } from "../common/units.js";

const latencyBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.7, 1, 1.5, 2.5, 5, 10, 15];

/** Prometheus metrics of a gateway node. */
export class GatewayMetrics {
    readonly calls: Counter<"service" | "outcome" | "cause">;
    readonly returns: Counter<"route" | "outcome">;
    readonly duration: Histogram<"route" | "outcome">;
    readonly firstByte: Histogram<"route">;
    readonly hedges: Counter<"route" | "outcome" | "cause">;
    readonly platformCalls: Counter<"call" | "subject" | "outcome">;
    readonly peerExchanges: Counter<"outcome">;
    readonly configurationVersion: Gauge;
    readonly evacuatedDomains: Gauge;
    readonly enginePromptSpeed: Gauge<"service">;
    readonly warmUpRequests: Counter<"service" | "outcome">;
    readonly serviceRoom: Gauge<"service" | "figure">;
    readonly fleetPlan: Gauge<"service" | "figure">;
    readonly closedConnections: Counter<"cause">;

    private constructor(readonly registry: Registry) {
        const registers = [registry];
        this.calls = new Counter({
            name: "corianderward_calls_total",
            help: "Calls by how they ended.",
            labelNames: ["service", "outcome", "cause"],
            registers,
        });
        this.returns = new Counter({
            name: "corianderward_returning_calls_total",
            help: "Calls that came with less time than their route allows, as retries after a refusal do, by how they ended.",
            labelNames: ["route", "outcome"],
            registers,
        });
        this.duration = new Histogram({
            name: "corianderward_call_duration_seconds",
            help: "Time from the arrival of a call to its end.",
            labelNames: ["route", "outcome"],
            buckets: latencyBucketsSeconds,
            registers,
        });
        this.firstByte = new Histogram({
            name: "corianderward_first_byte_seconds",
            help: "Time from the arrival of a call to the first byte of its answer.",
            labelNames: ["route"],
            buckets: latencyBucketsSeconds,
            registers,
        });
        this.hedges = new Counter({
            name: "corianderward_hedges_total",
            help: "Second attempts for requests whose first one was late, by what became of them; withheld ones by cause.",
            labelNames: ["route", "outcome", "cause"],
            registers,
        });
        this.platformCalls = new Counter({
            name: "corianderward_platform_requests_total",
            help: "Calls to the store and the cloud API, by what they are about and how they ended.",
            labelNames: ["call", "subject", "outcome"],
            registers,
        });
        this.peerExchanges = new Counter({
            name: "corianderward_gossip_exchanges_total",
            help: "Exchanges with peers.",
            labelNames: ["outcome"],
            registers,
        });
        this.configurationVersion = new Gauge({
            name: "corianderward_configuration_version",
            help: "Version of the configuration in force.",
            registers,
        });
        this.evacuatedDomains = new Gauge({
            name: "corianderward_evacuated_failure_domains",
            help: "Failure domains to whose endpoints this node sends nothing new.",
            registers,
        });
        this.enginePromptSpeed = new Gauge({
            name: "corianderward_engine_prompt_tokens_per_millisecond",
            help: "Learned speed of a service's engines; absent while it is the stated one.",
            labelNames: ["service"],
            registers,
        });
        this.serviceRoom = new Gauge({
            name: "corianderward_service_room",
            help:
                "Endpoint time per second that is asked of a service and that its endpoints take on, the time to work off what waits, and whether room is short.",
            labelNames: ["service", "figure"],
            registers,
        });
        this.warmUpRequests = new Counter({
            name: "corianderward_warm_up_requests_total",
            help: "Requests sent to endpoints that warm up, permits returned, and requests refused while all endpoints warm up.",
            labelNames: ["service", "outcome"],
            registers,
        });
        this.fleetPlan = new Gauge({
            name: "corianderward_fleet_plan",
            help:
                "The latest plan of this node for the fleet of a service: its price, the loss that is expected, and the shortfall that is feared.",
            labelNames: ["service", "figure"],
            registers,
        });
        this.closedConnections = new Counter({
            name: "corianderward_caller_connections_closed_total",
            help: "Connections of callers that were closed to stay within the limits of the process.",
            labelNames: ["cause"],
            registers,
        });
    }

    /** Exposes the memory that request bodies hold, and how many have lost their room to others. */
    observeBodies(budget: BodyBudget): void {
        observeBodyBudget(this.registry, budget);
    }

    /** Exposes the age of what this node knows of the store; `getAge` returns it in milliseconds. */
    observeStoreAge(getAge: () => number): void {
        new Gauge({
            name: "corianderward_store_age_seconds",
            help:
                "Time since configuration, endpoints and evacuations were last known to be those of the store, by own watches or by peers.",
            registers: [this.registry],
            collect() {
                this.set(getAge() / millisecondsPerSecond);
            },
        });
    }

    static create(): GatewayMetrics {
        return new GatewayMetrics(new Registry());
    }
}
