import { Clock } from "../common/clock.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { Route } from "../routes/types.js";

/** Settings of second attempts for requests whose first one is late. Times are in milliseconds. */
export interface HedgingSettings {
    /** Second attempts allowed as a share of the requests of a service that may be repeated; 0 turns them off. */
    readonly extraShare: number;
    /** Quantile of a route's recent times after which a request counts as late. */
    readonly delayQuantile: number;
}

/** Why a late request gets no second attempt. */
export enum HedgeObstacle {
    /** The share that the operator allows is used up. */
    Limit = "limit",
    /** Requests of the service were refused lately. */
    Overload = "overload",
    /** The endpoint of the second attempt has no room to spare, or a longer queue. */
    NoRoom = "no-room",
    /** The retry budget is kept for retries of failed attempts. */
    Budget = "budget",
    /** There is no other endpoint, or the request may not be sent once more. */
    NotAllowed = "not-allowed",
}

/** Most second attempts that a node saves up for a service: late requests come together, but a quiet hour must not pay for a surge. */
const savedAttemptsLimit = 10;
/** Times kept for each kind of request, and the fewest from which a quantile is taken. */
const keptTimes = 128;
const leastTimes = 20;
/** Share of the objective after which a request counts as late while too few times are known: a second attempt may still meet it. */
const lateShareOfObjective = 0.5;
/** Share of the objective before which no request counts as late, however fast the others of its route were. */
const earlyShareOfObjective = 0.25;
/** Age up to which a time counts, in milliseconds. */
const timeAgeLimitMilliseconds = 60_000;
/** Time after a refusal in which a service counts as overloaded, in milliseconds. */
const overloadMilliseconds = 2_000;
/** Share of an endpoint's slots above which it gets no second attempts: the rest is for requests that have no attempt yet. */
const usableSlotShare = 0.75;
/** Prompt tokens up to which prompts are of the smallest size; each further size spans a range of factor four. */
const smallestSizeTokens = 256;

/** Highest expected time of a second attempt, as a multiple of that of the first one: a queue elsewhere is no help. */
const acceptableTimeRatio = 1.5;

/** A time that a request took until its first event or its whole response, beside the time that was expected. */
interface RecordedTime {
    readonly milliseconds: number;
    readonly expectedTime: number;
    readonly at: number;
}

/**
 * Decides when a late request that may be repeated gets a second attempt at another endpoint: after a high quantile of the recent times
 * of its route and prompt size, within the operator's limit, and never beside an overload. Each node keeps the limit for its own requests.
 */
export class HedgingPolicy {
    private readonly times = new Map<string, RecordedTime[]>();
    private readonly savedAttempts = new Map<string, number>();
    private readonly refusedAt = new Map<string, number>();

    private constructor(private readonly settings: HedgingSettings, private readonly clock: Clock) {}

    static create(settings: HedgingSettings, clock: Clock): HedgingPolicy {
        return new HedgingPolicy(settings, clock);
    }

    /** Returns whether the operator allows second attempts at all. */
    isEnabled(): boolean {
        return this.settings.extraShare > 0;
    }

    /** Records a request that may be repeated; it earns its service a share of a second attempt. */
    recordRequest(service: string): void {
        const saved = (this.savedAttempts.get(service) ?? 0) + this.settings.extraShare;
        this.savedAttempts.set(service, Math.min(savedAttemptsLimit, saved));
    }

    /** Records the time from the first attempt of a request to its first event or its whole response. */
    recordTime(route: string, promptTokens: number, expectedTime: number, milliseconds: number): void {
        const key = createTimesKey(route, promptTokens);
        const times = this.times.get(key) ?? [];
        times.push({ milliseconds, expectedTime, at: this.clock.getMonotonicTime() });
        if (times.length > keptTimes) {
            times.shift();
        }
        this.times.set(key, times);
    }

    /** Records that a request was refused for want of room, by this node or by an endpoint. */
    recordRefusal(service: string): void {
        this.refusedAt.set(service, this.clock.getMonotonicTime());
    }

    /**
     * Returns after how many milliseconds a request counts as late. One that was expected to take longer than others of its kind is late
     * only after as much longer.
     */
    computeDelay({ name, objective }: Pick<Route, "name" | "objective">, promptTokens: number, expectedTime: number): number {
        const oldest = this.clock.getMonotonicTime() - timeAgeLimitMilliseconds;
        const times = (this.times.get(createTimesKey(name, promptTokens)) ?? []).filter(time => time.at >= oldest);
        if (times.length < leastTimes) {
            return Math.max(objective * lateShareOfObjective, expectedTime);
        }
        const sorted = times.map(time => time.milliseconds).sort((first, second) => first - second);
        const index = Math.min(sorted.length - 1, Math.floor(sorted.length * this.settings.delayQuantile));
        const usualTime = times.reduce((sum, time) => sum + time.expectedTime, 0) / times.length;
        const lateTime = Math.max(sorted[index] as number, objective * earlyShareOfObjective);
        return lateTime * Math.max(1, expectedTime / usualTime);
    }

    /** Returns why a late request of a service gets no second attempt at all now; undefined if nothing stands against it. */
    findObstacle(service: string): HedgeObstacle | undefined {
        if (this.clock.getMonotonicTime() - (this.refusedAt.get(service) ?? -Infinity) < overloadMilliseconds) {
            return HedgeObstacle.Overload;
        }
        return (this.savedAttempts.get(service) ?? 0) < 1 ? HedgeObstacle.Limit : undefined;
    }

    /** Returns whether the endpoint of a second attempt has room to spare and no longer queue than the first one had. */
    hasRoom(endpoint: FleetEndpoint, expectedTime: number, firstExpectedTime: number): boolean {
        const requestCount = endpoint.countReportedRequests(this.clock.getMonotonicTime());
        return requestCount + 1 <= endpoint.entry.slots * usableSlotShare
            && expectedTime <= firstExpectedTime * acceptableTimeRatio;
    }

    /** Counts a second attempt against the limit. */
    takeAttempt(service: string): void {
        this.savedAttempts.set(service, (this.savedAttempts.get(service) ?? 0) - 1);
    }
}

function createTimesKey(route: string, promptTokens: number): string {
    const size = Math.max(0, Math.ceil(Math.log2(promptTokens / smallestSizeTokens) / 2));
    return `${route}\n${promptTokens === 0 ? 0 : size}`;
}
