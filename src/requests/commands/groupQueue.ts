import { Failure } from "../../common/failure.js";
import { Result } from "../../common/results.js";
import { Priority } from "../../config/types.js";
import { EndpointEntry } from "../endpointRegistry.js";
import { EndpointQuery } from "../queries/endpointSelector.js";

/** A request that needs an endpoint. Times are monotonic milliseconds. */
export interface SlotRequest {
    readonly requestId: string;
    readonly service: string;
    readonly team: string;
    /** The team's share of the capacity, relative to the other teams'. */
    readonly teamShare: number;
    readonly query: EndpointQuery;
    /** Latest moment at which an endpoint is still of use. */
    readonly queueDeadline: number;
    /** Requests of the service that may wait. */
    readonly queueLimit: number;
    /** Whether the request has already run in part; such a request goes first and is never refused for its wait. */
    readonly isContinuation: boolean;
    /** Expected work, in tokens; a team pays its share by it. */
    readonly expectedWork: number;
    readonly signal: AbortSignal;
}

/** A request that waits. */
export interface Waiter {
    readonly request: SlotRequest;
    readonly enteredAt: number;
    readonly settle: (result: Result<EndpointEntry, Failure>) => void;
}

/** The requests of one team that wait at one priority. */
interface TeamQueue {
    readonly team: string;
    readonly waiters: Waiter[];
    /** Work done for the team, divided by its share; the team with the least goes first. */
    virtualTime: number;
}

const priorityOrder: readonly Priority[] = [Priority.Lookup, Priority.Effect, Priority.Draft];
/** Span over which the rate of freed slots is measured, in milliseconds. */
const rateWindowMilliseconds = 4_000;
const rateSampleLimit = 200;

/** The requests that wait for the endpoints of one group. */
export class GroupQueue {
    private readonly queues = new Map<Priority, Map<string, TeamQueue>>();
    private readonly virtualTimes = new Map<string, number>();
    private readonly releases: number[] = [];

    private constructor() {
        priorityOrder.forEach(priority => this.queues.set(priority, new Map()));
    }

    static create(): GroupQueue {
        return new GroupQueue();
    }

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

    /** Returns the waiters in the order in which they get slots. */
    listWaiters(): Waiter[] {
        const result: Waiter[] = [];
        for (const priority of priorityOrder) {
            const teams = [...(this.queues.get(priority)?.values() ?? [])];
            result.push(...listInFairOrder(teams));
        }
        return result;
    }

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

    countService(service: string): number {
        let count = 0;
        for (const waiter of this.listWaiters()) {
            count += waiter.request.service === service ? 1 : 0;
        }
        return count;
    }

    /** Charges a team for work that was given a slot. */
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

    recordRelease(now: number): void {
        this.releases.push(now);
        if (this.releases.length > rateSampleLimit) {
            this.releases.shift();
        }
    }

    /** Estimates how long a request has to wait, in milliseconds, from the rate at which slots came free lately. */
    computeWait(request: SlotRequest, now: number): number {
        const ahead = this.countAhead(request);
        while (this.releases.length > 0 && now - (this.releases[0] as number) > rateWindowMilliseconds) {
            this.releases.shift();
        }
        if (this.releases.length < 2) {
            return 0;
        }
        const span = now - (this.releases[0] as number);
        return (ahead + 1) * span / this.releases.length;
    }

    /** Counts the requests that get a slot before this one; of its own priority, each team only by its share. */
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

/** Lists the waiters of several teams as fair sharing would serve them. */
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
    let shares = request.teamShare;
    let others = 0;
    for (const queue of teams.values()) {
        if (queue.team !== request.team) {
            shares += queue.waiters[0]?.request.teamShare ?? 0;
            others += queue.waiters.length;
        }
    }
    const own = teams.get(request.team)?.waiters ?? [];
    const position = own.findIndex(waiter => waiter.request === request);
    const ownAhead = position < 0 ? own.length : position;
    const fairAhead = ownAhead * shares / request.teamShare;
    return Math.min(fairAhead, ownAhead + others);
}
