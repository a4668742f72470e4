import { EndpointSlowness } from "./endpointSlowness.js";
import { PromptCache } from "./promptCache.js";
import { EndpointEntry, ReportedLoad } from "./types.js";

/** Share of an engine's KV memory assumed to hold cached prompt parts; running requests use the rest. */
const promptCacheMemoryShare = 0.75;
/** Weight of the newest result in the moving averages of an endpoint: about the last eight results count. */
const resultWeight = 0.125;
/** Failure share from which an endpoint is used only if there is no better one: well above normal error rates of one in seven. */
const unhealthyFailureShare = 0.4;
/** Time for which an endpoint is excluded after it did not respond, in milliseconds; it doubles with each further failure. */
const initialExclusionMilliseconds = 500;
/** Maximum exclusion, in milliseconds: endpoints are available again some seconds after a crash. */
const maximumExclusionMilliseconds = 4_000;
/** Time for which an endpoint counts as full after a refusal, in milliseconds: a queue of short calls empties in about that time. */
const fullMilliseconds = 150;

/** Age up to which the load reported by an endpoint is used beside the nodes' own counts, in milliseconds: about the time of one call. */
const reportedLoadAgeLimitMilliseconds = 200;
/** Time after a failed connection by which the entry of an endpoint tells whether it was down, in milliseconds. */
const unregisteredOutageMilliseconds = 4_000;

/** Number of the latest answered requests that are kept for each endpoint. */
const keptAnswers = 32;

/** A request that an endpoint has begun to answer. */
export interface AnsweredRequest {
    /** When it was sent, in monotonic milliseconds. */
    readonly sentAt: number;
    /** Its priority; 0 is the most urgent. */
    readonly rank: number;
    /** Tokens of its prompt that had to be read; 0 for plain calls. */
    readonly tokens: number;
}

/** Load of all other nodes' requests at an endpoint, from their last reports. */
export interface PeerLoad {
    readonly running: number;
    readonly promptTokens: number;
}

/** Load, health and estimated prompt cache of one endpoint, by which requests are placed. Times are monotonic milliseconds. */
export class FleetEndpoint {
    /** Requests of this node that the endpoint has not finished. */
    running = 0;
    /** Prompt tokens of this node's requests that have received no event yet. */
    promptTokens = 0;
    /** Total load of all other nodes at the endpoint. */
    peerLoad: PeerLoad = { running: 0, promptTokens: 0 };
    reportedLoad: ReportedLoad | undefined;
    reportedAt = -Infinity;
    /** Time of the last data received from it; -Infinity before the first. */
    lastReceivedAt = -Infinity;
    /** Whether the endpoint was removed, or another endpoint responded at its address. Only a new entry makes it usable again. */
    isRemoved = false;
    /** Whether it said in a response that it is leaving. Holds for the rest of its incarnation, whatever its entry says. */
    isLeaving = false;
    readonly cache: PromptCache;
    readonly slowness = EndpointSlowness.create();
    private readonly answeredRequests: AnsweredRequest[] = [];
    private failureShare = 0;
    private failuresInRow = 0;
    private excludedUntil = -Infinity;
    private fullUntil = -Infinity;
    private pausedUntil = -Infinity;
    private warmAt = -Infinity;
    private unreachableAt = -Infinity;
    private reachableAgainAt: number | undefined;
    private latencyRatio = 1;

    private constructor(public entry: EndpointEntry, memoryTokens: number) {
        this.cache = PromptCache.create(memoryTokens * promptCacheMemoryShare);
    }

    static create(entry: EndpointEntry, memoryTokens: number): FleetEndpoint {
        return new FleetEndpoint(entry, memoryTokens);
    }

    /** Returns whether new requests may be sent to it: it is neither removed nor draining nor leaving. */
    isUsable(): boolean {
        return !this.isRemoved && !this.entry.isDraining && !this.isLeaving;
    }

    /** Returns whether it is temporarily excluded because it did not respond. */
    isExcluded(now: number): boolean {
        return now < this.excludedUntil;
    }

    /** Returns whether it recently refused a request because it was full, or asked for a pause that has not ended. */
    isFull(now: number): boolean {
        return now < this.fullUntil || now < this.pausedUntil;
    }

    /** Returns the end of the pause for which it asked; -Infinity if it never did. */
    getPausedUntil(): number {
        return this.pausedUntil;
    }

    /** Returns whether its failure share is so high that other endpoints are preferred. */
    isUnhealthy(): boolean {
        return this.failureShare >= unhealthyFailureShare;
    }

    /** Returns the moving average of failed results, from 0 to 1. */
    getFailureShare(): number {
        return this.failureShare;
    }

    /** Returns the moving average of measured to expected latency, at least 1. */
    getLatencyRatio(): number {
        return Math.max(1, this.latencyRatio);
    }

    /** Returns the number of all nodes' requests that run or wait at the endpoint. */
    countRequests(): number {
        return this.running + this.peerLoad.running;
    }

    /** Returns the larger of the nodes' count of requests at the endpoint and its own recent report. */
    countReportedRequests(now: number): number {
        const isFresh = now - this.reportedAt < reportedLoadAgeLimitMilliseconds;
        if (!isFresh || this.reportedLoad === undefined) {
            return this.countRequests();
        }
        return Math.max(this.countRequests(), this.reportedLoad.running + this.reportedLoad.waiting);
    }

    /** Returns the number of all nodes' prompt tokens that the endpoint has yet to process. */
    countPromptTokens(): number {
        return this.promptTokens + this.peerLoad.promptTokens;
    }

    /** Records what its entry, which has just been received, says of its warm-up. */
    recordWarmUp(now: number): void {
        const { warmUpLeft } = this.entry;
        this.warmAt = warmUpLeft > 0 ? now + warmUpLeft : Math.min(this.warmAt, now);
    }

    /** Returns when it is or was warm by its entries; -Infinity if they never said that it was cold. */
    getWarmAt(): number {
        return this.warmAt;
    }

    /** Records that data was received from it. */
    recordContact(now: number): void {
        this.lastReceivedAt = now;
        this.reachableAgainAt ??= now;
    }

    /** Records that it accepted no connection, while other endpoints of its service can be reached. */
    recordUnreachable(now: number): void {
        this.unreachableAt = now;
        this.reachableAgainAt = undefined;
    }

    /** Returns since when it can be reached after a failed connection, or was down for so long that its entry tells; -Infinity if none failed. */
    getReachableSince(): number {
        return Math.min(this.reachableAgainAt ?? Infinity, this.unreachableAt + unregisteredOutageMilliseconds);
    }

    /** Records the load that the endpoint reported with a response. */
    recordLoad(load: ReportedLoad, now: number): void {
        this.reportedLoad = load;
        this.reportedAt = now;
        if (load.slowness !== undefined) {
            this.slowness.recordSlowness(load.slowness, now);
        }
    }

    /** Records a request that it has begun to answer. */
    recordAnswer(request: AnsweredRequest): void {
        this.answeredRequests.push(request);
        if (this.answeredRequests.length > keptAnswers) {
            this.answeredRequests.shift();
        }
    }

    /** Returns how many of the latest answered requests were sent after a time, and were neither more urgent nor smaller than another one. */
    countAnswersAhead({ sentAt, rank, tokens }: AnsweredRequest): number {
        return this.answeredRequests.filter(answered => answered.sentAt >= sentAt && answered.rank >= rank && answered.tokens >= tokens)
            .length;
    }

    /** Records a successful response with the ratio of its measured to its expected latency. */
    recordSuccess(latencyRatio: number): void {
        this.failureShare *= 1 - resultWeight;
        this.failuresInRow = 0;
        this.excludedUntil = -Infinity;
        this.recordLatency(latencyRatio);
    }

    /** Records the ratio of a measured to its expected latency. */
    recordLatency(ratio: number): void {
        this.latencyRatio += (Math.min(ratio, 10) - this.latencyRatio) * resultWeight;
    }

    /** Records an error response. */
    recordErrorResponse(): void {
        this.failureShare += (1 - this.failureShare) * resultWeight;
    }

    /** Records a missing response: a refused or lost connection, a timeout or an unreadable response. */
    recordMissingResponse(now: number): void {
        this.recordErrorResponse();
        this.failuresInRow += 1;
        const exclusion = initialExclusionMilliseconds * 2 ** (this.failuresInRow - 1);
        this.excludedUntil = now + Math.min(exclusion, maximumExclusionMilliseconds);
    }

    /** Records that the endpoint refused a request because it was full. It gets nothing for the pause, in milliseconds. */
    recordRefusal(now: number, pause = fullMilliseconds): void {
        this.fullUntil = now + pause;
    }

    /** Records that the endpoint wants no requests from this node before the given time. */
    recordRequestedPause(until: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, until);
    }
}
