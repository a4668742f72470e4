import { hashToNumber } from "../common/hashing.js";
import { millisecondsPerSecond } from "../common/units.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptPart, PromptShape } from "../fleet/types.js";
import { DomainRoom } from "./domainRoom.js";
import { PromptSpeedSource } from "./engineSpeeds.js";
import { PlacementCost, PlacementPolicy, PlacementQuery } from "./types.js";

/** Settings of the cost estimate for generations on engines. Times are in milliseconds. */
export interface EngineCostSettings {
    /** Prompt tokens that an engine processes (prefills) in a millisecond, as long as nothing else is known of a service. */
    readonly promptTokensPerMillisecond: number;
    /** Time that each running request adds to the first event of another one. */
    readonly batchPenalty: number;
    /** Cost added to an endpoint in another failure domain than this node. */
    readonly domainPenalty: number;
    /** Cost of copying 1,000 cached tokens from another engine. */
    readonly copyPenalty: number;
    /** Highest cost added to an endpoint that is not the home of the prompt's shared part. */
    readonly homePenalty: number;
}

/** What the cost estimate knows from elsewhere. */
export interface EnginePlacementSources {
    /** Returns whether cached prompt parts may be copied from an endpoint; all allow it by default. */
    readonly isCopySource?: (endpoint: FleetEndpoint) => boolean;
    /** Speeds of the engines of each service; the stated one by default. */
    readonly speeds?: PromptSpeedSource;
}

/** Cost added to an unhealthy endpoint, in milliseconds; large enough that any healthy endpoint is preferred. */
const unhealthyPenaltyMilliseconds = 5_000;
/** Share of the objective up to which the expected time adds no lateness cost; estimates are off by about half. */
const unpenalizedShareOfObjective = 0.5;
/** Longest expected time with which a generation is accepted, as a share of its objective. */
const backlogShareOfObjective = 0.8;
/** The same for generations of rank 0, whose prompts engines process before all others. */
const urgentBacklogShareOfObjective = 1.5;
/** Cost of each millisecond of expected time beyond the unpenalized share of the objective. */
const latenessWeight = 3;
/** Tokens to which the copy penalty applies. */
const tokensPerCopyUnit = 1_000;
/** Fewest tokens worth copying from another engine: fewer are processed in the time that setting up a copy takes. */
const minimumCopiedTokens = 256;
/** Share of an endpoint's time that the prompts with one shared part may take before the part gets a further home. */
const homeUtilization = 0.5;
/** Number of values of the hash, which scales it to 0 to 1. */
const hashRange = 2 ** 32;

/**
 * Estimates costs for generations, so that they go to endpoints that have the prompt cached and few prompt tokens queued.
 * A shared prompt part that no endpoint has cached goes to its home: the endpoint with the lowest rendezvous hash.
 */
export class EnginePlacementPolicy implements PlacementPolicy {
    private readonly homeScores = new Map<string, number>();

    private constructor(
        private readonly settings: EngineCostSettings,
        private readonly failureDomain: string,
        private readonly getTime: () => number,
        private readonly sources: Required<EnginePlacementSources>,
    ) {}

    static create(
        settings: EngineCostSettings,
        failureDomain: string,
        getTime: () => number,
        sources: EnginePlacementSources = {},
    ): EnginePlacementPolicy {
        const statedSpeeds: PromptSpeedSource = { getPromptSpeed: () => settings.promptTokensPerMillisecond };
        return new EnginePlacementPolicy(settings, failureDomain, getTime, { isCopySource: () => true, speeds: statedSpeeds, ...sources });
    }

    /**
     * An engine interleaves prompt processing with the output tokens of running requests. A backlog beyond the objective
     * therefore delays running requests as well, so less urgent requests are refused at a smaller backlog.
     */
    computeLongestWait(query: PlacementQuery): number {
        return query.objective * (query.rank === 0 ? urgentBacklogShareOfObjective : backlogShareOfObjective);
    }

    computeCosts(candidates: readonly FleetEndpoint[], query: PlacementQuery, all: readonly FleetEndpoint[]): PlacementCost[] {
        const sources = query.prompt === undefined ? [] : listCacheSources(query.prompt, all.filter(this.sources.isCopySource));
        const now = this.getTime();
        const context: CostContext = {
            now,
            sources,
            room: DomainRoom.create(all, this.failureDomain, endpoint => endpoint.countRequests()),
            homes: query.prompt === undefined ? new Set() : this.selectSharedHomes(query.service, query.prompt, all, now),
        };
        return candidates.map(endpoint => this.computeCost(endpoint, query, context));
    }

    private computeCost(endpoint: FleetEndpoint, query: PlacementQuery, context: CostContext): PlacementCost {
        const { now, sources } = context;
        const { settings } = this;
        const { prompt } = query;
        const cached = prompt === undefined ? 0 : endpoint.cache.countCachedTokens(prompt.parts);
        const source = sources.find(other => other.endpoint !== endpoint && other.cachedTokens - cached >= minimumCopiedTokens);
        const copied = source === undefined ? 0 : source.cachedTokens - cached;
        const tokensToRead = Math.max(0, (prompt?.inputTokens ?? 0) - cached - copied);
        const promptSpeed = this.sources.speeds.getPromptSpeed(query.service);
        const readTime = (endpoint.countPromptTokens() + tokensToRead) / promptSpeed;
        const requestCount = endpoint.slowness.isKnown() ? endpoint.countReportedRequests(now) : endpoint.countRequests();
        const batchTime = requestCount * settings.batchPenalty;
        const expectedTime = (readTime + batchTime) * endpoint.getLatencyRatio() * endpoint.slowness.computeFactor(now);
        const fixedCost = this.computeFixedCost(endpoint, prompt, copied, context) + tokensToRead / promptSpeed;
        const waitCost = expectedTime - tokensToRead / promptSpeed;
        // Close to the objective each further millisecond makes a late response more likely.
        const latenessCost = Math.max(0, expectedTime - query.objective * unpenalizedShareOfObjective) * latenessWeight;
        const cost = fixedCost + waitCost + latenessCost;
        const isSharedHome = context.homes.has(endpoint) && !endpoint.isUnhealthy()
            && expectedTime <= query.objective * unpenalizedShareOfObjective;
        const requiredTime = endpoint.countRequests() === 0 ? readTime : expectedTime;
        return { cost, fixedCost, expectedTime, requiredTime, tokensToRead, cacheSource: source?.endpoint, isSharedHome };
    }

    /** Returns the cost that does not depend on the endpoint's load, without the time to process uncached tokens. */
    private computeFixedCost(
        endpoint: FleetEndpoint,
        prompt: PromptShape | undefined,
        copied: number,
        { room, homes }: CostContext,
    ): number {
        const { settings } = this;
        let cost = settings.copyPenalty * copied / tokensPerCopyUnit;
        cost += settings.domainPenalty * room.computePenaltyShare(endpoint.entry.failureDomain);
        if (prompt !== undefined && !homes.has(endpoint)) {
            cost += settings.homePenalty * this.computeHomeScore(endpoint.entry.id, prompt);
        }
        if (endpoint.isUnhealthy()) {
            cost += unhealthyPenaltyMilliseconds;
        }
        return cost;
    }

    /**
     * Returns the homes of a prompt's shared part if its rate needs several: those with the lowest home scores, which are the same on
     * all nodes. Otherwise a hot part overflows to random endpoints, and each of them processes it.
     */
    private selectSharedHomes(
        service: string,
        prompt: PromptShape,
        all: readonly FleetEndpoint[],
        now: number,
    ): ReadonlySet<FleetEndpoint> {
        const part = findSharedPart(prompt.parts);
        const usable = all.filter(endpoint => endpoint.isUsable());
        if (part === undefined || !usable.some(endpoint => endpoint.slowness.isKnown())) {
            return new Set();
        }
        const rate = all.reduce((sum, endpoint) => sum + endpoint.cache.computeUseRate(part.id, now), 0);
        const sharedTokens = prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
        const readTime = Math.max(0, prompt.inputTokens - sharedTokens) / this.sources.speeds.getPromptSpeed(service);
        const count = Math.ceil(rate * readTime / millisecondsPerSecond / homeUtilization);
        if (count <= 1) {
            return new Set();
        }
        const scored = usable.map(endpoint => ({ endpoint, score: this.computeHomeScore(endpoint.entry.id, prompt) }));
        scored.sort((first, second) => first.score - second.score);
        return new Set(scored.slice(0, count).map(({ endpoint }) => endpoint));
    }

    /**
     * Returns the home score, a hash of a prompt's longest shared part and an endpoint, from 0 to 1. The endpoint with the lowest
     * score is the part's home. All nodes compute the same value.
     */
    private computeHomeScore(endpointId: string, prompt: PromptShape): number {
        const part = findSharedPart(prompt.parts);
        if (part === undefined) {
            return 0;
        }
        const key = `${part.id}\n${endpointId}`;
        const cachedScore = this.homeScores.get(key);
        if (cachedScore !== undefined) {
            return cachedScore;
        }
        if (this.homeScores.size >= maximumCachedHomeScores) {
            this.homeScores.clear();
        }
        const score = hashToNumber(key) / hashRange;
        this.homeScores.set(key, score);
        return score;
    }
}

/** Upper limit of cached home scores: enough for several days' prompts at every endpoint of a large fleet. */
const maximumCachedHomeScores = 100_000;

/** Returns the last prompt part that other requests may share; the final part belongs to this request alone. */
function findSharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
    return parts.length >= 2 ? parts[parts.length - 2] : parts[0];
}

/** What the costs of all candidates for one request have in common. */
interface CostContext {
    readonly now: number;
    readonly sources: readonly CacheSource[];
    readonly room: DomainRoom;
    /** Homes of the prompt's shared part if it has several. */
    readonly homes: ReadonlySet<FleetEndpoint>;
}

/** An endpoint that has leading parts of a prompt cached. */
interface CacheSource {
    readonly endpoint: FleetEndpoint;
    readonly cachedTokens: number;
}

/**
 * Returns the two endpoints with the most tokens of a prompt cached, the larger count first. Two suffice: whichever endpoint
 * gets the request, the best other one is among them.
 */
function listCacheSources(prompt: PromptShape, all: readonly FleetEndpoint[]): CacheSource[] {
    let best: CacheSource | undefined;
    let second: CacheSource | undefined;
    for (const endpoint of all.filter(candidate => !candidate.isRemoved)) {
        const source = { endpoint, cachedTokens: endpoint.cache.countCachedTokens(prompt.parts) };
        if (source.cachedTokens > (best?.cachedTokens ?? 0)) {
            second = best;
            best = source;
        }
        else if (source.cachedTokens > (second?.cachedTokens ?? 0)) {
            second = source;
        }
    }
    return [best, second].filter(source => source !== undefined);
}
