import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Metrics } from "../../common/metrics.js";
import { Err, Ok, Result } from "../../common/results.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { Verdict } from "../../common/verdict.js";
import { Priority } from "../../config/types.js";
import { EndpointEntry, EndpointListener, EndpointRegistry } from "../endpointRegistry.js";
import { EndpointQuery, EndpointSelector } from "../queries/endpointSelector.js";

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

interface Waiter {
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
/** Time between two checks of waiting requests against their deadlines, in milliseconds. */
const checkIntervalMilliseconds = 25;
/** Span over which the rate of freed slots is measured, in milliseconds. */
const rateWindowMilliseconds = 4_000;
const rateSampleLimit = 200;
/** Waiting requests that are tried for each freed slot; bounds the work when the first ones need other endpoints. */
const scanLimit = 32;

/**
 * Gives endpoints to requests: by priority, then by fair shares between teams, then in order of arrival.
 * A request whose expected wait passes its deadline is refused at once, before any endpoint has seen it.
 */
export class AdmissionQueue implements EndpointListener {
    private readonly groups = new Map<string, GroupQueue>();
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly clock: Clock,
        private readonly registry: EndpointRegistry,
        private readonly selector: EndpointSelector,
        private readonly metrics: Metrics,
    ) {
        this.timer = setInterval(() => this.checkDeadlines(), checkIntervalMilliseconds).unref();
        registry.addListener(this);
    }

    static create(clock: Clock, registry: EndpointRegistry, selector: EndpointSelector, metrics: Metrics): AdmissionQueue {
        return new AdmissionQueue(clock, registry, selector, metrics);
    }

    /** Waits for an endpoint with room. The caller must give the slot back with releaseSlot. */
    async acquireSlot(request: SlotRequest): Promise<Result<EndpointEntry, Failure>> {
        const group = this.getGroup(request.query.group);
        if (request.signal.aborted) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Caller_closed_the_connection));
        }
        if (!group.hasWaitersBefore(request)) {
            const entry = this.selector.selectEndpoint(request.query);
            if (entry !== undefined) {
                this.startSlot(group, request, entry);
                return Ok(entry);
            }
        }
        const refusal = this.checkQueue(group, request);
        if (refusal !== undefined) {
            return Err(refusal);
        }
        return this.waitForSlot(group, request);
    }

    /** Gives a slot back. */
    releaseSlot(entry: EndpointEntry): void {
        this.getGroup(entry.description.group).recordRelease(this.clock.getMonotonicTime());
        this.registry.removeAttempt(entry);
    }

    handleLeaving(): void {
        // Attempts at a leaving endpoint are moved by the stream mover; nothing waits for one endpoint here.
    }

    handleRoom(groupName: string): void {
        this.assignSlots(this.getGroup(groupName));
    }

    /** Returns how many requests of each service wait. */
    countWaiting(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const group of this.groups.values()) {
            for (const waiter of group.listWaiters()) {
                counts.set(waiter.request.service, (counts.get(waiter.request.service) ?? 0) + 1);
            }
        }
        return counts;
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private getGroup(name: string): GroupQueue {
        const existing = this.groups.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const group = GroupQueue.create();
        this.groups.set(name, group);
        return group;
    }

    private startSlot(group: GroupQueue, request: SlotRequest, entry: EndpointEntry): void {
        group.recordWork(request);
        this.registry.addAttempt(entry);
    }

    private checkQueue(group: GroupQueue, request: SlotRequest): Failure | undefined {
        if (request.isContinuation) {
            return undefined;
        }
        const wait = group.computeWait(request, this.clock.getMonotonicTime());
        const remaining = request.queueDeadline - this.clock.getMonotonicTime();
        if (wait > remaining) {
            return createWaitRefusal(wait, remaining);
        }
        if (group.countService(request.service) >= request.queueLimit) {
            const failure = Failure.create(Verdict.NotRun, Diagnostics.Queue_of_service_0_is_full, request.service);
            return failure.setRetryAfter(wait / millisecondsPerSecond);
        }
        return undefined;
    }

    private waitForSlot(group: GroupQueue, request: SlotRequest): Promise<Result<EndpointEntry, Failure>> {
        return new Promise(resolve => {
            const waiter: Waiter = {
                request,
                enteredAt: this.clock.getMonotonicTime(),
                settle: result => {
                    group.removeWaiter(waiter);
                    request.signal.removeEventListener("abort", handleAbort);
                    this.metrics.queued.dec({ service: request.service });
                    this.metrics.queueWait.observe(
                        { service: request.service },
                        (this.clock.getMonotonicTime() - waiter.enteredAt) / millisecondsPerSecond,
                    );
                    resolve(result);
                },
            };
            const handleAbort = () => waiter.settle(Err(Failure.create(Verdict.NotRun, Diagnostics.Caller_closed_the_connection)));
            request.signal.addEventListener("abort", handleAbort, { once: true });
            this.metrics.queued.inc({ service: request.service });
            group.addWaiter(waiter);
        });
    }

    private assignSlots(group: GroupQueue): void {
        let tried = 0;
        for (const waiter of group.listWaiters()) {
            if (tried >= scanLimit) {
                return;
            }
            tried += 1;
            const entry = this.selector.selectEndpoint(waiter.request.query);
            if (entry !== undefined) {
                this.startSlot(group, waiter.request, entry);
                waiter.settle(Ok(entry));
            }
        }
    }

    private checkDeadlines(): void {
        const now = this.clock.getMonotonicTime();
        for (const group of this.groups.values()) {
            // A suspect endpoint becomes eligible again as time passes, without an event.
            this.assignSlots(group);
            for (const waiter of group.listWaiters()) {
                this.checkWaiter(group, waiter, now);
            }
        }
    }

    private checkWaiter(group: GroupQueue, waiter: Waiter, now: number): void {
        const remaining = waiter.request.queueDeadline - now;
        if (remaining <= 0) {
            waiter.settle(Err(createWaitRefusal(now - waiter.enteredAt, remaining)));
            return;
        }
        if (waiter.request.isContinuation) {
            return;
        }
        const wait = group.computeWait(waiter.request, now);
        if (wait > remaining) {
            waiter.settle(Err(createWaitRefusal(wait, remaining)));
        }
    }
}

function createWaitRefusal(wait: number, remaining: number): Failure {
    const failure = Failure.create(Verdict.NotRun, Diagnostics.Expected_wait_of_0_milliseconds_passes_the_deadline, Math.ceil(wait));
    return failure.setRetryAfter(Math.max(0, wait - Math.max(0, remaining)) / millisecondsPerSecond);
}

/** The requests that wait for the endpoints of one group. */
class GroupQueue {
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
