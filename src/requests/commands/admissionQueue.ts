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

/** Interval between two checks of the waiting requests against their deadlines. */
const deadlineCheckIntervalMilliseconds = 25;
/** Waiting requests tried per freed slot. Bounds the work when the first requests in the queue need other endpoints. */
const slotScanLimit = 32;

/**
 * Assigns endpoint slots to requests: by priority, then by weighted fair queuing between teams, then in order of arrival.
 * Rejects a request at once, before it is sent to any endpoint, when its expected wait exceeds its queue deadline.
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
        this.timer = setInterval(() => this.checkDeadlines(), deadlineCheckIntervalMilliseconds).unref();
        registry.addListener(this);
    }

    static create(clock: Clock, registry: EndpointRegistry, selector: EndpointSelector, metrics: Metrics): AdmissionQueue {
        return new AdmissionQueue(clock, registry, selector, metrics);
    }

    /**
     * Waits for a free slot at an endpoint; the caller of this method must return it with releaseSlot. Fails with verdict
     * NotRun when the request is cancelled, when its expected wait exceeds its queue deadline or when the queue is full.
     */
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
        const refusal = this.checkAdmission(group, request);
        if (refusal !== undefined) {
            return Err(refusal);
        }
        return this.waitForSlot(group, request);
    }

    /** Returns a slot that acquireSlot assigned. */
    releaseSlot(entry: EndpointEntry): void {
        this.getGroup(entry.description.group).recordRelease(this.clock.getMonotonicTime());
        this.registry.removeAttempt(entry);
    }

    handleLeaving(): void {
        // StreamMover moves the attempts of a leaving endpoint; no request in this queue waits for a particular endpoint.
    }

    handleFreeCapacity(groupName: string): void {
        this.assignSlots(this.getGroup(groupName));
    }

    /** Returns the number of waiting requests by service. */
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

    /** Charges the request's team and counts the attempt at the endpoint. */
    private startSlot(group: GroupQueue, request: SlotRequest, entry: EndpointEntry): void {
        group.recordWork(request);
        this.registry.addAttempt(entry);
    }

    /** Returns the reason to refuse a request before it waits, or undefined if it may wait. */
    private checkAdmission(group: GroupQueue, request: SlotRequest): Failure | undefined {
        if (request.isContinuation) {
            return undefined;
        }
        const wait = group.computeWait(request, this.clock.getMonotonicTime());
        const remaining = request.queueDeadline - this.clock.getMonotonicTime();
        if (wait > remaining) {
            return createWaitRefusal(wait, remaining);
        }
        if (group.countServiceWaiters(request.service) >= request.queueLimit) {
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
                finish: result => {
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
            const handleAbort = () => waiter.finish(Err(Failure.create(Verdict.NotRun, Diagnostics.Caller_closed_the_connection)));
            request.signal.addEventListener("abort", handleAbort, { once: true });
            this.metrics.queued.inc({ service: request.service });
            group.addWaiter(waiter);
        });
    }

    private assignSlots(group: GroupQueue): void {
        let tried = 0;
        for (const waiter of group.listWaiters()) {
            if (tried >= slotScanLimit) {
                return;
            }
            tried += 1;
            const entry = this.selector.selectEndpoint(waiter.request.query);
            if (entry !== undefined) {
                this.startSlot(group, waiter.request, entry);
                waiter.finish(Ok(entry));
            }
        }
    }

    private checkDeadlines(): void {
        const now = this.clock.getMonotonicTime();
        for (const group of this.groups.values()) {
            // A suspect endpoint becomes eligible again after a time, without an event, so slots are also assigned here.
            this.assignSlots(group);
            for (const waiter of group.listWaiters()) {
                this.checkWaiter(group, waiter, now);
            }
        }
    }

    private checkWaiter(group: GroupQueue, waiter: Waiter, now: number): void {
        const remaining = waiter.request.queueDeadline - now;
        if (remaining <= 0) {
            waiter.finish(Err(createWaitRefusal(now - waiter.enteredAt, remaining)));
            return;
        }
        if (waiter.request.isContinuation) {
            return;
        }
        const wait = group.computeWait(waiter.request, now);
        if (wait > remaining) {
            waiter.finish(Err(createWaitRefusal(wait, remaining)));
        }
    }
}

function createWaitRefusal(wait: number, remaining: number): Failure {
    const failure = Failure.create(Verdict.NotRun, Diagnostics.Expected_wait_of_0_milliseconds_passes_the_deadline, Math.ceil(wait));
    return failure.setRetryAfter(Math.max(0, wait - Math.max(0, remaining)) / millisecondsPerSecond);
}
