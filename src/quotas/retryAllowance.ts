import { Clock } from "../common/clock.js";

/** What all nodes together may send again to one service. */
export interface RetryAllowanceSettings {
    /** Repeats for each request of the window. */
    readonly ratio: number;
    /** Length of the window in milliseconds. */
    readonly window: number;
    /** Repeats that need no requests, shared by all nodes. */
    readonly slack: number;
}

/** Share of the allowance that is used: what nodes count and what endpoints see differ at the edges of windows. */
const usedShare = 0.8;

interface ServiceCounts {
    readonly requests: number[];
    readonly repeats: number[];
}

/**
 * Bounds how often requests are sent again, for each service. A node earns repeats by its own requests and holds an equal
 * part of the slack, so the sum over all nodes stays within the bound although they do not count together.
 */
export class RetryAllowance {
    private readonly services = new Map<string, ServiceCounts>();
    private nodeCount = 1;

    private constructor(private readonly clock: Clock, private readonly settings: RetryAllowanceSettings) {}

    static create(clock: Clock, settings: RetryAllowanceSettings): RetryAllowance {
        return new RetryAllowance(clock, settings);
    }

    /** Sets how many nodes share the slack. */
    setNodeCount(count: number): void {
        this.nodeCount = Math.max(1, count);
    }

    /** Records a request of a caller for a service. */
    recordRequest(service: string): void {
        this.getCounts(service).requests.push(this.clock.getMonotonicTime());
    }

    /** Takes the right to send one request again; false when there is none left. */
    takeRepeat(service: string): boolean {
        const counts = this.getCounts(service);
        const allowed = counts.requests.length * this.settings.ratio + this.settings.slack / this.nodeCount;
        if (counts.repeats.length + 1 > allowed * usedShare) {
            return false;
        }
        counts.repeats.push(this.clock.getMonotonicTime());
        return true;
    }

    private getCounts(service: string): ServiceCounts {
        const counts = this.services.get(service) ?? { requests: [], repeats: [] };
        this.services.set(service, counts);
        const oldest = this.clock.getMonotonicTime() - this.settings.window;
        removeBefore(counts.requests, oldest);
        removeBefore(counts.repeats, oldest);
        return counts;
    }
}

function removeBefore(times: number[], oldest: number): void {
    const kept = times.findIndex(time => time >= oldest);
    times.splice(0, kept < 0 ? times.length : kept);
}
