import { PromptPart } from "./types.js";

/** What one endpoint is believed to hold of prompts: the parts that were sent to it lately, the least recently used first. */
export class PromptCache {
    private readonly tokensByPart = new Map<string, number>();
    private totalTokens = 0;

    private constructor(private readonly capacity: number) {}

    /** The capacity is in tokens. */
    static create(capacity: number): PromptCache {
        return new PromptCache(capacity);
    }

    /** Records that an endpoint reads or has just used a part. */
    recordPart(part: PromptPart): void {
        const known = this.tokensByPart.get(part.id);
        if (known !== undefined) {
            this.tokensByPart.delete(part.id);
            this.totalTokens -= known;
        }
        this.tokensByPart.set(part.id, part.tokens);
        this.totalTokens += part.tokens;
        this.removeOldest();
    }

    /** Returns the tokens of the leading parts that need not be read again. */
    countCachedTokens(parts: readonly PromptPart[]): number {
        let cached = 0;
        for (const part of parts) {
            if (!this.tokensByPart.has(part.id)) {
                return cached;
            }
            cached += part.tokens;
        }
        return cached;
    }

    private removeOldest(): void {
        for (const [id, tokens] of this.tokensByPart) {
            if (this.totalTokens <= this.capacity) {
                return;
            }
            this.tokensByPart.delete(id);
            this.totalTokens -= tokens;
        }
    }
}
