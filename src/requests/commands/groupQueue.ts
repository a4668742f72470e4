import { Failure } from "../../common/failure.js";
import { Result } from "../../common/results.js";
import { Priority } from "../../config/types.js";
import { EndpointEntry } from "../endpointRegistry.js";
import { EndpointQuery } from "../queries/endpointSelector.js";

/** A request for an endpoint slot. Times are monotonic, in milliseconds. */
export interface SlotRequest {
    readonly requestId: string;
    readonly service: string;
    readonly team: string;
    /** The team's weight in fair queuing, relative to the weights of the other teams. */
    readonly teamShare: number;
    readonly query: EndpointQuery;
    /** Time after which the request is refused if it still waits. */
    readonly queueDeadline: number;
    /** Maximum number of waiting requests of the service. */
    readonly queueLimit: number;
    /** Whether the request continues after an earlier attempt; it is served first at its priority and not refused for its wait. */
    readonly isContinuation: boolean;
    /** Expected work charged to the team in fair queuing: tokens of a generation, 1 for a call. */
    readonly expectedWork: number;
    readonly signal: AbortSignal;
}

/** A waiting request and the function that ends its wait. The time is monotonic, in milliseconds. */
export interface Waiter {
    readonly request: SlotRequest;
    readonly enteredAt: number;
    readonly finish: (result: Result<EndpointEntry, Failure>) => void;
}

/** The waiting requests of one team at one priority. */
interface TeamQueue {
    readonly team: string;
    readonly waiters: Waiter[];
    /** Work charged to the team divided by its share; the team with the lowest value is served first. */
    virtualTime: number;
}

const priorityOrder: readonly Priority[] = [Priority.Lookup, Priority.Effect, Priority.Draft];
/** Sliding window over which the rate of released slots is measured. */
const releaseRateWindowMilliseconds = 4_000;
const releaseSampleLimit = 200;

/** Holds the requests that wait for the endpoints of one group, in the order of weighted fair queuing between teams. */
export class GroupQueue {
    private readonly queues = new Map<Priority, Map<string, TeamQueue>>();
    private readonly virtualTimes = new Map<string, number>();
    private readonly releaseTimes: number[] = [];

    private constructor() {
        priorityOrder.forEach(priority => this.queues.set(priority, new Map()));
    }

    static create(): GroupQueue {
        return new GroupQueue();
    }

    /** Adds a waiting request; one that continues after an earlier attempt goes before its team's new requests. */
    addWaiter(waiter: Waiter): void {
        const queue = this.getTeamQueue(waiter.request);
        if (waiter.request.isContinuation) {
            const position = queue.waiters.findIndex(other => !other.request.isContinuation);
            queue.waiters.splice(position < 0 ? queue.waiters.length : position, 0, waiter);
            return;
        }
        queue.waiters.push(waiter);
    }

    removeWaiter(waiter: Waiter): void {
        const teams = this.getPriorityQueue(waiter.request);
        const queue = teams.get(waiter.request.team);
        const index = queue?.waiters.indexOf(waiter) ?? -1;
        if (queue === undefined || index < 0) {
            return;
        }
        queue.waiters.splice(index, 1);
        if (queue.waiters.length === 0) {
            teams.delete(waiter.request.team);
        }
    }

    /** Returns the waiting requests in the order in which they are assigned slots. */
    listWaiters(): Waiter[] {
        const result: Waiter[] = [];
        for (const priority of priorityOrder) {
            const teams = [...(this.queues.get(priority)?.values() ?? [])];
            result.push(...listInFairOrder(teams));
        }
        return result;
    }

    /** Returns whether requests that are served before this one are waiting. */
    hasWaitersBefore(request: SlotRequest): boolean {
        for (const priority of priorityOrder) {
            const teams = this.queues.get(priority) as Map<string, TeamQueue>;
            if (teams.size > 0 && !(request.isContinuation && priority === request.query.priority)) {
                return true;
            }
            if (priority === request.query.priority) {
                return false;
            }
        }
        return false;
    }

    countServiceWaiters(service: string): number {
        let count = 0;
        for (const waiter of this.listWaiters()) {
            count += waiter.request.service === service ? 1 : 0;
        }
        return count;
    }

    /** Charges a team for a request that was assigned a slot. */
    recordWork(request: SlotRequest): void {
        const key = `${request.query.priority}/${request.team}`;
        const start = Math.max(this.virtualTimes.get(key) ?? 0, this.getLowestVirtualTime(request.query.priority));
        const virtualTime = start + request.expectedWork / request.teamShare;
        this.virtualTimes.set(key, virtualTime);
        const queue = this.queues.get(request.query.priority)?.get(request.team);
        if (queue !== undefined) {
            queue.virtualTime = virtualTime;
        }
    }

    /** Records a released slot for the estimate of waits. The time is monotonic, in milliseconds. */
    recordRelease(now: number): void {
        this.releaseTimes.push(now);
        if (this.releaseTimes.length > releaseSampleLimit) {
            this.releaseTimes.shift();
        }
    }

    /** Estimates a request's wait in milliseconds from the recent rate of released slots; 0 with fewer than two releases. */
    computeWait(request: SlotRequest, now: number): number {
        const ahead = this.countAhead(request);
        while (this.releaseTimes.length > 0 && now - (this.releaseTimes[0] as number) > releaseRateWindowMilliseconds) {
            this.releaseTimes.shift();
        }
        if (this.releaseTimes.length < 2) {
            return 0;
        }
        const span = now - (this.releaseTimes[0] as number);
        return (ahead + 1) * span / this.releaseTimes.length;
    }

    /** Estimates how many requests are served before this one; at its own priority, other teams count only by their shares. */
    private countAhead(request: SlotRequest): number {
        let ahead = 0;
        for (const priority of priorityOrder) {
            const teams = this.queues.get(priority) as Map<string, TeamQueue>;
            if (priority === request.query.priority) {
                return ahead + countAheadInPriority(teams, request);
            }
            for (const queue of teams.values()) {
                ahead += queue.waiters.length;
            }
        }
        return ahead;
    }

    private getPriorityQueue(request: SlotRequest): Map<string, TeamQueue> {
        return this.queues.get(request.query.priority) as Map<string, TeamQueue>;
    }

    private getTeamQueue(request: SlotRequest): TeamQueue {
        const teams = this.getPriorityQueue(request);
        const existing = teams.get(request.team);
        if (existing !== undefined) {
            return existing;
        }
        const key = `${request.query.priority}/${request.team}`;
        const virtualTime = Math.max(this.virtualTimes.get(key) ?? 0, this.getLowestVirtualTime(request.query.priority));
        const queue: TeamQueue = { team: request.team, waiters: [], virtualTime };
        teams.set(request.team, queue);
        return queue;
    }

    private getLowestVirtualTime(priority: Priority): number {
        let lowest = Infinity;
        for (const queue of this.queues.get(priority)?.values() ?? []) {
            lowest = Math.min(lowest, queue.virtualTime);
        }
        return lowest === Infinity ? 0 : lowest;
    }
}

/** Returns the waiting requests of several teams in weighted fair order. */
function listInFairOrder(teams: readonly TeamQueue[]): Waiter[] {
    const cursors = teams.map(queue => ({ queue, next: 0, virtualTime: queue.virtualTime }));
    const result: Waiter[] = [];
    for (;;) {
        const open = cursors.filter(cursor => cursor.next < cursor.queue.waiters.length);
        if (open.length === 0) {
            return result;
        }
        open.sort((left, right) => compareCursors(left, right));
        const chosen = open[0] as typeof open[number];
        const waiter = chosen.queue.waiters[chosen.next] as Waiter;
        result.push(waiter);
        chosen.next += 1;
        chosen.virtualTime += waiter.request.expectedWork / waiter.request.teamShare;
    }
}

function compareCursors(
    left: { queue: TeamQueue; next: number; virtualTime: number; },
    right: { queue: TeamQueue; next: number; virtualTime: number; },
): number {
    const leftContinues = left.queue.waiters[left.next]?.request.isContinuation === true;
    const rightContinues = right.queue.waiters[right.next]?.request.isContinuation === true;
    if (leftContinues !== rightContinues) {
        return leftContinues ? -1 : 1;
    }
    return left.virtualTime - right.virtualTime;
}

function countAheadInPriority(teams: ReadonlyMap<string, TeamQueue>, request: SlotRequest): number {
    let totalShares = request.teamShare;
    let otherTeamWaiterCount = 0;
    for (const queue of teams.values()) {
        if (queue.team !== request.team) {
            totalShares += queue.waiters[0]?.request.teamShare ?? 0;
            otherTeamWaiterCount += queue.waiters.length;
        }
    }
    const teamWaiters = teams.get(request.team)?.waiters ?? [];
    const position = teamWaiters.findIndex(waiter => waiter.request === request);
    const teamWaitersAhead = position < 0 ? teamWaiters.length : position;
    const fairAhead = teamWaitersAhead * totalShares / request.teamShare;
    return Math.min(fairAhead, teamWaitersAhead + otherTeamWaiterCount);
}
