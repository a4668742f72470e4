import { Clock } from "../common/clock.js";

/** Limit on the retries that all nodes together may send to one service. */
export interface FleetRetryBudgetSettings {
    /** Retries allowed for each request in the window. */
    readonly ratio: number;
    /** Length of the window in milliseconds. */
    readonly window: number;
    /** Retries allowed in the window in addition, divided evenly among all nodes. */
    readonly slack: number;
}

/** Share of the budget that nodes use, because their counts and those seen at endpoints differ at the edges of windows. */
const usedBudgetShare = 0.8;

/**
 * Share of the budget that a process uses in its first window where an earlier process of the node may have used the rest just before it
 * was killed: nothing tells whether it did.
 */
const restartedBudgetShare = 1 - usedBudgetShare;

/** Share of that up to which retries are sent that no failure calls for; the rest is kept for those after failures. */
const optionalRetryShare = 0.5;

/** Use of a service's budget at one node in the window, and the number of nodes among which it divides the slack. */
export interface RetryBudgetUse {
    readonly budgetRequests: number;
    readonly budgetRetries: number;
    readonly budgetNodes: number;
}

/** Monotonic times of the recent requests and retries to one service, oldest first. */
interface ServiceTimes {
    readonly requests: number[];
    readonly retries: number[];
}

/**
 * Limits the retries to each service over all nodes without a shared counter. A node may retry in proportion to its own
 * requests plus an equal part of the slack, so the sum over all nodes stays within the limit. What a process has used is lost with it; its
 * successor keeps to what an earlier process cannot have used, until the window has passed.
 */
export class FleetRetryBudget {
    private readonly services = new Map<string, ServiceTimes>();
    private nodeCount = 1;
    private readonly createdAt: number;
    private mayFollowAnother = true;

    private constructor(private readonly clock: Clock, private readonly settings: FleetRetryBudgetSettings) {
        this.createdAt = clock.getMonotonicTime();
    }

    static create(clock: Clock, settings: FleetRetryBudgetSettings): FleetRetryBudget {
        return new FleetRetryBudget(clock, settings);
    }

    /** Sets how many nodes share the slack. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /** Records that this is the node's first process, so that no earlier one has used anything. */
    markFirstProcess(): void {
        this.mayFollowAnother = false;
    }

    /** Records a caller's request for a service, which adds to the service's budget. */
    recordRequest(service: string): void {
        this.getRecentTimes(service).requests.push(this.clock.getMonotonicTime());
    }

    /** Returns what this node has used of a service's budget in the window, for the log. */
    getUse(service: string): RetryBudgetUse {
        const { requests, retries } = this.getRecentTimes(service);
        return { budgetRequests: requests.length, budgetRetries: retries.length, budgetNodes: this.nodeCount };
    }

    /** Takes one retry from the service's budget; returns false, taking nothing, when the budget is exhausted. */
    takeRetry(service: string): boolean {
        return this.takeShareOfBudget(service, usedBudgetShare);
    }

    /** Takes one retry that can be done without; returns false, taking nothing, when what is left is kept for others. */
    takeOptionalRetry(service: string): boolean {
        return this.takeShareOfBudget(service, usedBudgetShare * optionalRetryShare);
    }

    private takeShareOfBudget(service: string, share: number): boolean {
        const counts = this.getRecentTimes(service);
        if (counts.retries.length + 1 > this.computeBudget(counts.requests.length) * share) {
            return false;
        }
        counts.retries.push(this.clock.getMonotonicTime());
        return true;
    }

    /** Computes the retries that this node may send in the window; it uses a share of them. */
    private computeBudget(requests: number): number {
        const { ratio, slack, window } = this.settings;
        const earned = requests * ratio;
        const ownSlack = slack / this.nodeCount;
        const age = this.clock.getMonotonicTime() - this.createdAt;
        if (!this.mayFollowAnother || age >= window) {
            return earned + ownSlack;
        }
        // The slack comes evenly, so that several restarts within a window do not give it out more than once.
        return (earned + ownSlack * age / window) * restartedBudgetShare / usedBudgetShare;
    }

    /** Returns the times of a service after removing those before the window. */
    private getRecentTimes(service: string): ServiceTimes {
        const counts = this.services.get(service) ?? { requests: [], retries: [] };
        this.services.set(service, counts);
        const oldest = this.clock.getMonotonicTime() - this.settings.window;
        removeTimesBefore(counts.requests, oldest);
        removeTimesBefore(counts.retries, oldest);
        return counts;
    }
}

function removeTimesBefore(times: number[], oldest: number): void {
    const firstKept = times.findIndex(time => time >= oldest);
    times.splice(0, firstKept < 0 ? times.length : firstKept);
}
