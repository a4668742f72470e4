import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Metrics } from "../../common/metrics.js";
import { Err, Ok, Result } from "../../common/results.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { Verdict } from "../../common/verdict.js";
import { EndpointEntry, EndpointListener, EndpointRegistry } from "../endpointRegistry.js";
import { EndpointSelector } from "../queries/endpointSelector.js";
import { GroupQueue, SlotRequest, Waiter } from "./groupQueue.js";

/** Time between two checks of waiting requests against their deadlines, in milliseconds. */
const checkIntervalMilliseconds = 25;
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
