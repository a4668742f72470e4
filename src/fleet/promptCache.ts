import { PromptPart } from "./types.js";

/**
 * Estimate of the prompt parts in one endpoint's KV cache, from the parts recently sent to it, so that requests with the same
 * leading parts are placed there. The least recently used part comes first and is evicted first.
 */
export class PromptCache {
    private readonly tokensByPart = new Map<string, number>();
    private totalTokens = 0;

    private constructor(private readonly capacityTokens: number) {}

    /** Creates an empty cache with a capacity in tokens. */
    static create(capacityTokens: number): PromptCache {
        return new PromptCache(capacityTokens);
    }

    /** Records that the endpoint processes or has just used a part. */
    recordPart(part: PromptPart): void {
        const known = this.tokensByPart.get(part.id);
        if (known !== undefined) {
            this.tokensByPart.delete(part.id);
            this.totalTokens -= known;
        }
        this.tokensByPart.set(part.id, part.tokens);
        this.totalTokens += part.tokens;
        this.evictLeastRecentlyUsed();
    }

    /** Returns the tokens of the leading parts that are cached and need not be processed again. */
    countCachedTokens(parts: readonly PromptPart[]): number {
        let cachedTokens = 0;
        for (const part of parts) {
            if (!this.tokensByPart.has(part.id)) {
                return cachedTokens;
            }
            cachedTokens += part.tokens;
        }
        return cachedTokens;
    }

    private evictLeastRecentlyUsed(): void {
        for (const [id, tokens] of this.tokensByPart) {
            if (this.totalTokens <= this.capacityTokens) {
                return;
            }
            this.tokensByPart.delete(id);
            this.totalTokens -= tokens;
        }
    }
}
