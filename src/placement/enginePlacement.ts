import { hashToNumber } from "../common/hashing.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptPart, PromptShape } from "../fleet/types.js";
import { PlacementCost, PlacementPolicy, PlacementQuery } from "./types.js";

/** Speeds of the engines and what routing weighs, from the settings. Times are in milliseconds. */
export interface EngineSpeeds {
    /** Prompt tokens that an engine reads in a millisecond. */
    readonly promptTokensPerMillisecond: number;
    /** Time that one more running request adds to the first event of another. */
    readonly batchPenalty: number;
    /** What sending to another failure domain is worth avoiding. */
    readonly domainPenalty: number;
    /** What copying 1,000 cached tokens from another engine is worth avoiding. */
    readonly copyPenalty: number;
    /** What reading a shared part at an endpoint that is not its home is worth avoiding. */
    readonly homePenalty: number;
}

/** Cost of an endpoint that fails often, in milliseconds: any healthy one is better. */
const unhealthyPenaltyMilliseconds = 5_000;
/** Share of the objective up to which an expected time is as good as a shorter one: estimates are off by about half. */
const safeShareOfObjective = 0.5;
/** Backlog up to which a generation is accepted, as a share of its objective; the most urgent ones are read before the others. */
const backlogShare = 0.8;
const urgentBacklogShare = 1.5;
/** Cost of a millisecond beyond it. */
const lateWeight = 3;
const tokensPerCopyUnit = 1_000;
/** Fewest tokens worth copying: fewer are read in the time that setting up a copy takes. */
const leastCopiedTokens = 256;
const hashRange = 2 ** 32;

/** Places generations where the prompt is cached and few tokens wait to be read; cold prompts go to the part's home by hashing. */
export class EnginePlacement implements PlacementPolicy {
    private readonly homeScores = new Map<string, number>();

    private constructor(private readonly speeds: EngineSpeeds, private readonly failureDomain: string) {}

    static create(speeds: EngineSpeeds, failureDomain: string): EnginePlacement {
        return new EnginePlacement(speeds, failureDomain);
    }

    /**
     * While an engine has prompts to read it makes each token of its running requests wait for a part of them. A backlog beyond
     * the objective so makes everything late, also what runs; the less urgent stop adding to it first.
     */
    computeLongestWait(query: PlacementQuery): number {
        return query.objective * (query.rank === 0 ? urgentBacklogShare : backlogShare);
    }

    computeCosts(candidates: readonly FleetEndpoint[], query: PlacementQuery, all: readonly FleetEndpoint[]): PlacementCost[] {
        const sources = query.prompt === undefined ? [] : listCacheSources(query.prompt, all);
        return candidates.map(endpoint => this.computeCost(endpoint, query, sources));
    }

    private computeCost(endpoint: FleetEndpoint, query: PlacementQuery, sources: readonly CacheSource[]): PlacementCost {
        const { speeds } = this;
        const { prompt } = query;
        const cached = prompt === undefined ? 0 : endpoint.cache.countCachedTokens(prompt.parts);
        const source = sources.find(other => other.endpoint !== endpoint && other.cachedTokens - cached >= leastCopiedTokens);
        const copied = source === undefined ? 0 : source.cachedTokens - cached;
        const tokensToRead = Math.max(0, (prompt?.inputTokens ?? 0) - cached - copied);
        const readTime = (endpoint.countPromptTokens() + tokensToRead) / speeds.promptTokensPerMillisecond;
        const batchTime = endpoint.countRequests() * speeds.batchPenalty;
        const expectedTime = (readTime + batchTime) * endpoint.getLatencyRatio();
        const fixedCost = this.computeFixedCost(endpoint, prompt, copied) + tokensToRead / speeds.promptTokensPerMillisecond;
        const waitCost = expectedTime - tokensToRead / speeds.promptTokensPerMillisecond;
        // Close to the objective every further millisecond makes it likelier that the answer is late.
        const lateCost = Math.max(0, expectedTime - query.objective * safeShareOfObjective) * lateWeight;
        const cost = fixedCost + waitCost + lateCost;
        return { cost, fixedCost, expectedTime, tokensToRead, cacheSource: source?.endpoint };
    }

    private computeFixedCost(endpoint: FleetEndpoint, prompt: PromptShape | undefined, copied: number): number {
        const { speeds } = this;
        let cost = speeds.copyPenalty * copied / tokensPerCopyUnit;
        if (endpoint.entry.failureDomain !== this.failureDomain) {
            cost += speeds.domainPenalty;
        }
        if (prompt !== undefined) {
            cost += speeds.homePenalty * this.computeDistance(endpoint.entry.id, prompt);
        }
        if (endpoint.isUnhealthy()) {
            cost += unhealthyPenaltyMilliseconds;
        }
        return cost;
    }

    /** Returns 0 to 1: how far an endpoint is from being the home of a prompt's longest shared part, the same on every node. */
    private computeDistance(endpointId: string, prompt: PromptShape): number {
        const part = findSharedPart(prompt.parts);
        if (part === undefined) {
            return 0;
        }
        const key = `${part.id}\n${endpointId}`;
        const known = this.homeScores.get(key);
        if (known !== undefined) {
            return known;
        }
        if (this.homeScores.size >= homeScoreLimit) {
            this.homeScores.clear();
        }
        const score = hashToNumber(key) / hashRange;
        this.homeScores.set(key, score);
        return score;
    }
}

/** Hashes that are remembered: several days' prompts at every endpoint of a large fleet. */
const homeScoreLimit = 100_000;

/** Returns the last part that other requests share: the very last belongs to the request itself. */
function findSharedPart(parts: readonly PromptPart[]): PromptPart | undefined {
    return parts.length >= 2 ? parts[parts.length - 2] : parts[0];
}

/** An endpoint that holds leading parts of a prompt. */
interface CacheSource {
    readonly endpoint: FleetEndpoint;
    readonly cachedTokens: number;
}

/** Returns the two endpoints that hold most of a prompt, the better one first: whichever a request goes to, another one is among them. */
function listCacheSources(prompt: PromptShape, all: readonly FleetEndpoint[]): CacheSource[] {
    let best: CacheSource | undefined;
    let second: CacheSource | undefined;
    for (const endpoint of all.filter(candidate => !candidate.isGone)) {
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
