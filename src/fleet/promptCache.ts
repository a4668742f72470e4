import { millisecondsPerSecond } from "../common/units.js";
import { PromptPart } from "./types.js";

/** Time over which the rate of a part's uses is averaged, in milliseconds. */
const rateWindowMilliseconds = 1_000;

/** A cached part, with a count of its uses that decays over the rate window. */
interface CachedPart {
    readonly tokens: number;
    readonly uses: number;
    readonly usedAt: number;
}

/**
 * Estimate of the prompt parts in one endpoint's KV cache, from the parts recently sent to it, so that requests with the same
 * leading parts are placed there. The least recently used part comes first and is evicted first.
 */
export class PromptCache {
    private readonly partsById = new Map<string, CachedPart>();
    private totalTokens = 0;

    private constructor(private readonly capacityTokens: number) {}

    /** Creates an empty cache with a capacity in tokens. */
    static create(capacityTokens: number): PromptCache {
        return new PromptCache(capacityTokens);
    }

    /** Records that the endpoint processes or has just used a part, for a number of requests. The time is in monotonic milliseconds. */
    recordPart(part: PromptPart, now: number, uses = 1): void {
        const known = this.partsById.get(part.id);
        if (known !== undefined) {
            this.partsById.delete(part.id);
            this.totalTokens -= known.tokens;
        }
        this.partsById.set(part.id, { tokens: part.tokens, uses: countUses(known, now) + uses, usedAt: now });
        this.totalTokens += part.tokens;
        this.evictLeastRecentlyUsed();
    }

    /** Returns the tokens of the leading parts that are cached and need not be processed again. */
    countCachedTokens(parts: readonly PromptPart[]): number {
        let cachedTokens = 0;
        for (const part of parts) {
            if (!this.partsById.has(part.id)) {
                return cachedTokens;
            }
            cachedTokens += part.tokens;
        }
        return cachedTokens;
    }

    /** Returns how often a part has been used lately, in uses a second. */
    computeUseRate(id: string, now: number): number {
        return countUses(this.partsById.get(id), now) * millisecondsPerSecond / rateWindowMilliseconds;
    }

    private evictLeastRecentlyUsed(): void {
        for (const [id, { tokens }] of this.partsById) {
            if (this.totalTokens <= this.capacityTokens) {
                return;
            }
            this.partsById.delete(id);
            this.totalTokens -= tokens;
        }
    }
}

function countUses(part: CachedPart | undefined, now: number): number {
    return part === undefined ? 0 : part.uses * Math.exp((part.usedAt - now) / rateWindowMilliseconds);
}
