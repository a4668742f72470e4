import { z } from "zod";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { hashSha256 } from "../common/hashing.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { PromptShape } from "../fleet/types.js";
import { EndpointChooser, ExplainedEndpoint } from "../placement/endpointChooser.js";
import { findAllowedRegions } from "../placement/homeRegions.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { Route, RoutedTeam, RouteKind, ServiceShare } from "../routes/types.js";
import { parsePromptParts } from "./callReader.js";

/** A request whose placement is to be explained, as parameters of a query. Times are in milliseconds. */
export const explainedRequestSchema = z.object({
    host: z.string().min(1),
    path: z.string().startsWith("/"),
    /** Its caller's team, whose priority goes before that of the route. */
    team: z.string().optional(),
    /** Time that the caller waits; the route's time limit if absent. */
    deadline: z.coerce.number().positive().optional(),
    /** Tokens of its prompt and its response; a request without them has no prompt. */
    inputTokens: z.coerce.number().min(0).optional(),
    outputTokens: z.coerce.number().min(0).optional(),
    /** Parts of its prompt that others share: hexadecimal ids and tokens, as `a1:500,b2:300`. */
    parts: z.string().optional(),
});
export type ExplainedRequest = z.infer<typeof explainedRequestSchema>;

const explainedEndpointSchema = z.object({
    id: z.string(),
    failureDomain: z.string(),
    version: z.string(),
    /** Why it does not get the request; absent for candidates. */
    obstacle: z.string().optional(),
    requests: z.number(),
    slots: z.number(),
    /** Factor by which work takes longer on its host now, as far as that is known. */
    slowness: z.number(),
    isUnhealthy: z.boolean(),
    /** Costs and times of candidates, in milliseconds. */
    cost: z.number().optional(),
    fixedCost: z.number().optional(),
    expectedTime: z.number().optional(),
    tokensToRead: z.number().optional(),
    cacheSource: z.string().optional(),
});

const explainedServiceSchema = z.object({
    service: z.string(),
    /** Share of the route's requests that go to the service. */
    share: z.number(),
    /** Endpoint that a request sent now would go to; others may be chosen where costs are about equal. */
    chosen: z.string().optional(),
    /** Why a request would be refused. */
    refusal: z.string().optional(),
    /** Longest expected time with which a request is accepted. */
    longestWait: z.number(),
    endpoints: z.array(explainedEndpointSchema),
});

/** Where a node would send a request now, and why. */
export const placementExplanationSchema = z.object({
    node: z.string(),
    configuration: z.number(),
    route: z.string(),
    kind: z.string(),
    attempts: z.number(),
    rank: z.number(),
    services: z.array(explainedServiceSchema),
});
export type PlacementExplanation = z.infer<typeof placementExplanationSchema>;

/** Explains where this node would send a request now, by the chooser that places requests. Sends nothing and changes nothing. */
export class PlacementExplainer {
    private constructor(
        private readonly node: string,
        private readonly configuration: ConfigurationHolder,
        private readonly chooser: EndpointChooser,
        private readonly clock: Clock,
    ) {}

    static create(node: string, configuration: ConfigurationHolder, chooser: EndpointChooser, clock: Clock): PlacementExplainer {
        return new PlacementExplainer(node, configuration, chooser, clock);
    }

    /** Returns the explanation, or why the request would be rejected before any endpoint is chosen. */
    describePlacement(request: ExplainedRequest): Result<PlacementExplanation, Failure> {
        const table = this.configuration.getTable();
        if (table === undefined) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Configuration_is_not_loaded));
        }
        const route = table.findRoute(request.host, request.path);
        if (route === undefined) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Path_0_is_not_served, `${request.host}${request.path}`));
        }
        const team = request.team === undefined ? undefined : table.findTeam(request.team);
        if (request.team !== undefined && team === undefined) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Team_0_is_not_declared, request.team));
        }
        const rank = team?.priority ?? route.priority;
        const totalWeight = route.shares.reduce((sum, { weight }) => sum + weight, 0);
        return Ok({
            node: this.node,
            configuration: this.configuration.getVersion(),
            route: route.name,
            kind: route.kind,
            attempts: route.attempts,
            rank,
            services: route.shares.map(share => this.explainService(request, route, team, share, totalWeight)),
        });
    }

    private explainService(
        request: ExplainedRequest,
        route: Route,
        team: RoutedTeam | undefined,
        { service, weight }: ServiceShare,
        totalWeight: number,
    ): PlacementExplanation["services"][number] {
        const { result, longestWait, endpoints } = this.chooser.describePlacement({
            service,
            prompt: readPrompt(request),
            timeLeft: Math.min(request.deadline ?? route.timeLimit, route.timeLimit),
            objective: route.objective,
            rank: team?.priority ?? route.priority,
            triedEndpoints: new Set(),
            isNonResumableStream: route.kind === RouteKind.Stream && !route.isResumable,
            allowedRegions: findAllowedRegions(route, team),
            claim: {
                team: team?.name,
                waited: 0,
                timeLimit: route.timeLimit,
                getFingerprint: () => hashSha256(JSON.stringify(request)),
            },
        });
        const now = this.clock.getMonotonicTime();
        return {
            service,
            share: totalWeight === 0 ? 0 : weight / totalWeight,
            chosen: result.ok ? result.val.endpoint.entry.id : undefined,
            refusal: result.err ? result.val.text : undefined,
            longestWait,
            endpoints: endpoints.map(explained => describeEndpoint(explained, now)),
        };
    }
}

function readPrompt({ inputTokens, outputTokens, parts }: ExplainedRequest): PromptShape | undefined {
    if (inputTokens === undefined) {
        return undefined;
    }
    return { parts: parsePromptParts(parts ?? ""), inputTokens, maxOutputTokens: outputTokens ?? 0 };
}

function describeEndpoint(
    { endpoint, obstacle, cost }: ExplainedEndpoint,
    now: number,
): PlacementExplanation["services"][number]["endpoints"][number] {
    const { id, failureDomain, version, slots } = endpoint.entry;
    return {
        id,
        failureDomain,
        version,
        obstacle,
        requests: endpoint.countReportedRequests(now),
        slots,
        slowness: endpoint.slowness.computeFactor(now),
        isUnhealthy: endpoint.isUnhealthy(),
        cost: cost?.cost,
        fixedCost: cost?.fixedCost,
        expectedTime: cost?.expectedTime,
        tokensToRead: cost?.tokensToRead,
        cacheSource: cost?.cacheSource?.entry.id,
    };
}
