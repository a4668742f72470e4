import { createHash } from "node:crypto";

/** Lengths, in characters, of the prompt prefixes that are compared. */
export const prefixLengths: readonly number[] = [64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];
/** Hash digits that name a prefix. */
const prefixKeyDigits = 16;
/** Prefixes that a node remembers, over all endpoints. */
const prefixLimit = 20_000;
/** Weight of a new answer in the trust in an endpoint. */
const trustWeight = 0.2;

/** A prompt's prefixes, computed once for each request. */
export interface PromptPrefixes {
    readonly length: number;
    readonly keys: readonly string[];
}

/** Computes the keys of a prompt's prefixes. */
export function createPromptPrefixes(prompt: string): PromptPrefixes {
    const keys: string[] = [];
    const hash = createHash("sha256");
    let hashed = 0;
    for (const length of prefixLengths) {
        if (length > prompt.length) {
            break;
        }
        hash.update(prompt.slice(hashed, length));
        hashed = length;
        keys.push(hash.copy().digest("hex").slice(0, prefixKeyDigits));
    }
    return { length: prompt.length, keys };
}

/** Which endpoint is believed to hold which prompt prefixes. Fed by routing and by cache events, corrected by answers. */
export class PrefixIndex {
    private readonly holders = new Map<string, Set<string>>();
    /** How often an endpoint held what was believed, from 0 to 1: low where caches are small. */
    private readonly trust = new Map<string, number>();

    private constructor() {}

    static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Records that an endpoint holds a prefix. */
    addPrefix(key: string, endpoint: string): void {
        const holders = this.holders.get(key) ?? new Set<string>();
        holders.add(endpoint);
        // Setting again keeps the most recently used prefixes last.
        this.holders.delete(key);
        this.holders.set(key, holders);
        if (this.holders.size > prefixLimit) {
            this.holders.delete(this.holders.keys().next().value as string);
        }
    }

    /** Records that an endpoint no longer holds a prefix. */
    removePrefix(key: string, endpoint: string): void {
        const holders = this.holders.get(key);
        holders?.delete(endpoint);
        if (holders?.size === 0) {
            this.holders.delete(key);
        }
    }

    /** Records that an endpoint is about to compute a prompt. */
    addPrompt(prefixes: PromptPrefixes, endpoint: string): void {
        prefixes.keys.forEach(key => this.addPrefix(key, endpoint));
    }

    /** Corrects the trust in what is believed of an endpoint by the share of the prompt that it reported as cached. */
    recordCachedShare(endpoint: string, expectedShare: number, cachedShare: number): void {
        if (expectedShare <= 0) {
            return;
        }
        const observed = Math.min(1, cachedShare / expectedShare);
        const trust = this.trust.get(endpoint) ?? 1;
        this.trust.set(endpoint, trust * (1 - trustWeight) + observed * trustWeight);
    }

    /** Returns the share of a prompt, from 0 to 1, that an endpoint is believed to hold. */
    getCachedShare(prefixes: PromptPrefixes, endpoint: string): number {
        for (let index = prefixes.keys.length - 1; index >= 0; index -= 1) {
            if (this.holders.get(prefixes.keys[index] as string)?.has(endpoint) === true) {
                const share = (prefixLengths[index] as number) / prefixes.length;
                return share * (this.trust.get(endpoint) ?? 1);
            }
        }
        return 0;
    }

    /** Forgets an endpoint whose cache is lost. */
    removeEndpoint(endpoint: string): void {
        this.trust.delete(endpoint);
        for (const [key, holders] of this.holders) {
            holders.delete(endpoint);
            if (holders.size === 0) {
                this.holders.delete(key);
            }
        }
    }

    countPrefixes(): number {
        return this.holders.size;
    }
}
