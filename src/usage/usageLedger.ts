import { TeamUsage } from "./usageCounter.js";

/** Number of windows whose counts are retained; a report is due two windows after its window ends. */
const retainedWindows = 12;

/** Counts of one incarnation of a node in one window. */
export interface SourceUsage {
    readonly source: string;
    readonly usage: readonly TeamUsage[];
}

/** Collects the usage counts of all node incarnations by window and adds them up for the usage reports. */
export class UsageLedger {
    private readonly windows = new Map<number, Map<string, readonly TeamUsage[]>>();

    private constructor() {}

    static create(): UsageLedger {
        return new UsageLedger();
    }

    /** Records the counts of one node incarnation in a window so far. Counts only grow, so a smaller sum is outdated and ignored. */
    recordUsage(source: string, window: number, usage: readonly TeamUsage[]): void {
        const sources = this.windows.get(window) ?? new Map<string, readonly TeamUsage[]>();
        if (countRequests(usage) < countRequests(sources.get(source) ?? [])) {
            return;
        }
        sources.set(source, usage);
        this.windows.set(window, sources);
        for (const recordedWindow of this.windows.keys()) {
            if (recordedWindow <= window - retainedWindows) {
                this.windows.delete(recordedWindow);
            }
        }
    }

    /** Returns the non-empty counts of a window from the node incarnations that the predicate accepts. */
    listSources(window: number, isIncluded: (source: string) => boolean): SourceUsage[] {
        const sources: SourceUsage[] = [];
        for (const [source, usage] of this.windows.get(window) ?? []) {
            if (isIncluded(source) && usage.length > 0) {
                sources.push({ source, usage });
            }
        }
        return sources;
    }

    /** Returns the counts of a window added up over all node incarnations, sorted by team name. */
    computeCounts(window: number): TeamUsage[] {
        const sums = new Map<string, number>();
        for (const usage of this.windows.get(window)?.values() ?? []) {
            usage.forEach(({ team, requests }) => sums.set(team, (sums.get(team) ?? 0) + requests));
        }
        return [...sums].map(([team, requests]) => ({ team, requests })).sort((left, right) => (left.team < right.team ? -1 : 1));
    }
}

function countRequests(usage: readonly TeamUsage[]): number {
    return usage.reduce((sum, { requests }) => sum + requests, 0);
}
