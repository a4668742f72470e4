import { PromptCache } from "./promptCache.js";
import { EndpointEntry, ReportedLoad } from "./types.js";

/** Share of an engine's KV memory that parts of prompts are believed to keep; running requests take the rest. */
const cachedShareOfMemory = 0.75;
/** Weight of the newest result in an endpoint's share of failures: about the last eight results count. */
const failureWeight = 0.125;
/** Share of failures from which an endpoint is used only when there is no better one: well above honest error rates of one in seven. */
const unhealthyFailureShare = 0.4;
/** First time for which an endpoint that did not answer is left out, in milliseconds; it doubles with each further failure. */
const firstExclusionMilliseconds = 500;
/** Longest such time, in milliseconds: endpoints are back some seconds after a crash. */
const longestExclusionMilliseconds = 4_000;
/** Time for which a refusal for want of room is believed, in milliseconds: a queue of short calls empties in about that time. */
const refusalMilliseconds = 150;

/** Load that other nodes have put on an endpoint, as they last told it. */
export interface SharedLoad {
    readonly running: number;
    readonly promptTokens: number;
}

/** What a node knows of one endpoint. Times are monotonic milliseconds. */
export class FleetEndpoint {
    /** Requests of this node that the endpoint has not ended yet. */
    running = 0;
    /** Prompt tokens of this node's requests that have had no event yet. */
    promptTokens = 0;
    /** What all other nodes together have there. */
    sharedLoad: SharedLoad = { running: 0, promptTokens: 0 };
    reportedLoad: ReportedLoad | undefined;
    reportedAt = -Infinity;
    /** When something was last received from it. */
    heardAt = -Infinity;
    /** It names another endpoint at its address, or was removed; only a new entry brings it back. */
    isGone = false;
    readonly cache: PromptCache;
    private failureShare = 0;
    private failuresInRow = 0;
    private excludedUntil = -Infinity;
    private fullUntil = -Infinity;
    private latencyRatio = 1;

    private constructor(public entry: EndpointEntry, memoryTokens: number) {
        this.cache = PromptCache.create(memoryTokens * cachedShareOfMemory);
    }

    static create(entry: EndpointEntry, memoryTokens: number): FleetEndpoint {
        return new FleetEndpoint(entry, memoryTokens);
    }

    /** Whether new requests may go to it at all. */
    isUsable(): boolean {
        return !this.isGone && !this.entry.isDraining;
    }

    /** Whether it is left out for now because it gave no answer. */
    isExcluded(now: number): boolean {
        return now < this.excludedUntil;
    }

    /** Whether it refused a request for want of room a moment ago. */
    isFull(now: number): boolean {
        return now < this.fullUntil;
    }

    /** Whether it failed so often that others are to be preferred. */
    isUnhealthy(): boolean {
        return this.failureShare >= unhealthyFailureShare;
    }

    getFailureShare(): number {
        return this.failureShare;
    }

    /** Returns how much slower than expected it was lately, at least 1. */
    getLatencyRatio(): number {
        return Math.max(1, this.latencyRatio);
    }

    /** Returns the requests that run or wait there, of all nodes. */
    countRequests(): number {
        return this.running + this.sharedLoad.running;
    }

    /** Returns the prompt tokens that wait to be read there, of all nodes. */
    countPromptTokens(): number {
        return this.promptTokens + this.sharedLoad.promptTokens;
    }

    recordLoad(load: ReportedLoad, now: number): void {
        this.reportedLoad = load;
        this.reportedAt = now;
    }

    /** Records an answer that the endpoint gave in good order, with how long it took against what was expected. */
    recordSuccess(latencyRatio: number): void {
        this.failureShare *= 1 - failureWeight;
        this.failuresInRow = 0;
        this.excludedUntil = -Infinity;
        this.latencyRatio += (Math.min(latencyRatio, 10) - this.latencyRatio) * failureWeight;
    }

    /** Records an answer that says the request failed. */
    recordError(): void {
        this.failureShare += (1 - this.failureShare) * failureWeight;
    }

    /** Records that no answer came: refused or lost connections, silence, unreadable answers. */
    recordLoss(now: number): void {
        this.recordError();
        this.failuresInRow += 1;
        const time = firstExclusionMilliseconds * 2 ** (this.failuresInRow - 1);
        this.excludedUntil = now + Math.min(time, longestExclusionMilliseconds);
    }

    /** Records that it had no room. */
    recordRefusal(now: number): void {
        this.fullUntil = now + refusalMilliseconds;
    }
}
