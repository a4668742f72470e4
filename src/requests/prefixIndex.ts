import { createHash } from "node:crypto";

/** Lengths of the indexed prompt prefixes, in characters. */
export const prefixLengths: readonly number[] = [64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192];
/** Hexadecimal digits of the hash that identifies a prefix. */
const prefixKeyDigits = 16;
/** Maximum number of prefixes in the index, over all endpoints. */
const indexedPrefixLimit = 20_000;
/** Weight of a new response in the moving average of an endpoint's accuracy. */
const accuracyWeight = 0.2;

/** Keys of a prompt's prefixes, shortest first, and the prompt's length in characters. Computed once per request. */
export interface PromptPrefixes {
    readonly length: number;
    readonly keys: readonly string[];
}

/** Computes the keys of a prompt's prefixes with one pass over the prompt. */
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

/**
 * Records which endpoints probably hold which prompt prefixes in their caches. Updated by routing decisions and cache
 * events, and weighted by the cached share that endpoints report with their responses.
 */
export class PrefixIndex {
    private readonly endpointsByPrefix = new Map<string, Set<string>>();
    /** Moving average, from 0 to 1, of the reported share of the expected cached tokens. Low for endpoints with small caches. */
    private readonly accuracyByEndpoint = new Map<string, number>();

    private constructor() {}

    static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Records that an endpoint holds a prefix. */
    addPrefix(key: string, endpoint: string): void {
        const holders = this.endpointsByPrefix.get(key) ?? new Set<string>();
        holders.add(endpoint);
        // Inserting the key again moves it to the end, so that the least recently used prefix is evicted first.
        this.endpointsByPrefix.delete(key);
        this.endpointsByPrefix.set(key, holders);
        if (this.endpointsByPrefix.size > indexedPrefixLimit) {
            this.endpointsByPrefix.delete(this.endpointsByPrefix.keys().next().value as string);
        }
    }

    /** Records that an endpoint no longer holds a prefix. */
    removePrefix(key: string, endpoint: string): void {
        const holders = this.endpointsByPrefix.get(key);
        holders?.delete(endpoint);
        if (holders?.size === 0) {
            this.endpointsByPrefix.delete(key);
        }
    }

    /** Records all prefixes of a prompt that is sent to an endpoint. */
    addPrompt(prefixes: PromptPrefixes, endpoint: string): void {
        prefixes.keys.forEach(key => this.addPrefix(key, endpoint));
    }

    /** Updates an endpoint's accuracy with the cached share of a prompt that it reported. Both shares are from 0 to 1. */
    recordCachedShare(endpoint: string, expectedShare: number, cachedShare: number): void {
        if (expectedShare <= 0) {
            return;
        }
        const observed = Math.min(1, cachedShare / expectedShare);
        const accuracyByEndpoint = this.accuracyByEndpoint.get(endpoint) ?? 1;
        this.accuracyByEndpoint.set(endpoint, accuracyByEndpoint * (1 - accuracyWeight) + observed * accuracyWeight);
    }

    /** Returns the expected share of a prompt, from 0 to 1, that an endpoint holds in its cache. */
    getCachedShare(prefixes: PromptPrefixes, endpoint: string): number {
        for (let index = prefixes.keys.length - 1; index >= 0; index -= 1) {
            if (this.endpointsByPrefix.get(prefixes.keys[index] as string)?.has(endpoint) === true) {
                const share = (prefixLengths[index] as number) / prefixes.length;
                return share * (this.accuracyByEndpoint.get(endpoint) ?? 1);
            }
        }
        return 0;
    }

    /** Removes an endpoint whose cache is lost. */
    removeEndpoint(endpoint: string): void {
        this.accuracyByEndpoint.delete(endpoint);
        for (const [key, holders] of this.endpointsByPrefix) {
            holders.delete(endpoint);
            if (holders.size === 0) {
                this.endpointsByPrefix.delete(key);
            }
        }
    }

    countPrefixes(): number {
        return this.endpointsByPrefix.size;
    }
}
