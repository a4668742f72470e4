import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { createIdentifier } from "../../common/identifiers.js";
import { Metrics } from "../../common/metrics.js";
import { ServiceDeclaration } from "../../config/types.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { EndpointSelector } from "../queries/endpointSelector.js";
import { ModelRequest, VersionObserver } from "../types.js";

/** Maximum number of shadow attempts that a node runs concurrently. */
const concurrentShadowLimit = 8;
const shadowPriority = 3;
/** Shadow attempts per request. More attempts decide an evaluation sooner, which matters if a version fails only for some requests. */
export const shadowAttemptsPerRequest = 2;

/** Chooses the version under evaluation that receives shadow requests. */
export interface ShadowPolicy {
    /** Returns the version to send shadow requests to, or undefined if no version of the service needs them. */
    findShadowVersion(service: ServiceDeclaration): string | undefined;
}

/**
 * Sends copies of requests to a version under evaluation and drops the responses, so that the version can be evaluated
 * within seconds without affecting a caller. Copies only generations, which are idempotent, and only while slots are free.
 */
export class ShadowRequestRunner {
    private running = 0;

    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly registry: EndpointRegistry,
        private readonly selector: EndpointSelector,
        private readonly policy: ShadowPolicy,
        private readonly observer: VersionObserver,
        private readonly clock: Clock,
        private readonly metrics: Metrics,
        private readonly connectTimeout: number,
    ) {}

    static create(
        client: ModelEndpointClient,
        registry: EndpointRegistry,
        selector: EndpointSelector,
        policy: ShadowPolicy,
        observer: VersionObserver,
        clock: Clock,
        metrics: Metrics,
        connectTimeout: number,
    ): ShadowRequestRunner {
        return new ShadowRequestRunner(client, registry, selector, policy, observer, clock, metrics, connectTimeout);
    }

    /** Sends shadow requests to the version under evaluation, unless there is none or it serves the request itself. */
    async sendShadowRequests(request: ModelRequest, service: ServiceDeclaration, servedBy: string): Promise<void> {
        const attempts = Array.from({ length: shadowAttemptsPerRequest }, () => this.sendShadowRequest(request, service, servedBy));
        await Promise.all(attempts);
    }

    private async sendShadowRequest(request: ModelRequest, service: ServiceDeclaration, servedBy: string): Promise<void> {
        const version = this.policy.findShadowVersion(service);
        if (version === undefined || version === servedBy || this.running >= concurrentShadowLimit) {
            return;
        }
        const entry = this.selectEndpoint(service, version);
        if (entry === undefined) {
            return;
        }
        this.running += 1;
        this.registry.addAttempt(entry);
        try {
            await this.runAttempt(request, service, version, entry);
        }
        finally {
            this.running -= 1;
            this.registry.removeAttempt(entry);
        }
    }

    private selectEndpoint(service: ServiceDeclaration, version: string): EndpointEntry | undefined {
        const declared = service.versions.find(candidate => candidate.name === version);
        return this.selector.selectEndpoint({
            group: declared?.group ?? service.group,
            model: declared?.model ?? version,
            priority: service.priority,
            weights: service.weights,
            prefixes: undefined,
            excluded: new Set(),
            pinnedEndpoint: undefined,
            minimumStayMilliseconds: 0,
        });
    }

    private async runAttempt(request: ModelRequest, service: ServiceDeclaration, version: string, entry: EndpointEntry): Promise<void> {
        const startedAt = this.clock.getMonotonicTime();
        const load = this.registry.getLoadShare(entry);
        let tokens = 0;
        let firstTokenAt: number | undefined;
        let lastTokenAt = startedAt;
        const sink = {
            appendToken: () => {
                lastTokenAt = this.clock.getMonotonicTime();
                firstTokenAt ??= lastTokenAt;
                tokens += 1;
            },
        };
        const attempt = {
            requestId: `shadow-${request.id}`,
            attemptId: createIdentifier(),
            model: service.versions.find(candidate => candidate.name === version)?.model ?? version,
            prompt: request.prompt,
            maxTokens: request.maxTokens,
            sampling: request.sampling,
            priority: shadowPriority,
            emittedTokens: [],
            cacheHandle: undefined,
            silenceLimit: service.silenceLimit,
            connectTimeout: this.connectTimeout,
            traceHeaders: {},
        };
        const result = await this.client.runGeneration(entry.description.address, attempt, sink, new AbortController().signal);
        this.metrics.attempts.inc({ service: service.name, outcome: "shadow" });
        // A refused or lost connection is no evidence about the version: endpoints of any version can be lost.
        if (result.err && result.val.message.code !== Diagnostics.Endpoint_failed_with_status_0.code) {
            return;
        }
        this.observer.recordObservation({
            service: service.name,
            version,
            team: request.team,
            route: request.isChat ? "chat" : "completions",
            endpoint: entry.name,
            succeeded: result.ok,
            isComplete: tokens >= request.maxTokens,
            firstToken: firstTokenAt === undefined ? undefined : firstTokenAt - startedAt,
            betweenTokens: tokens < 2 || firstTokenAt === undefined ? undefined : (lastTokenAt - firstTokenAt) / (tokens - 1),
            load,
        });
    }
}
