import { UsageCount } from "../duties/types.js";
import { TeamUsage } from "./usageCounter.js";

/** Windows that are kept: a report is due two windows after its end. */
const keptWindows = 12;

/** What every node, in each of its lives, has counted by window; it adds up what the duty reports. */
export class UsageLedger {
    private readonly windows = new Map<number, Map<string, readonly TeamUsage[]>>();

    private constructor() {}

    static create(): UsageLedger {
        return new UsageLedger();
    }

    /** Records what one life of a node has counted in a window so far. */
    recordUsage(source: string, window: number, usage: readonly TeamUsage[]): void {
        const sources = this.windows.get(window) ?? new Map<string, readonly TeamUsage[]>();
        sources.set(source, usage);
        this.windows.set(window, sources);
        for (const known of this.windows.keys()) {
            if (known <= window - keptWindows) {
                this.windows.delete(known);
            }
        }
    }

    /** Returns the sum over all nodes, by team in the order of their names. */
    computeCounts(window: number): UsageCount[] {
        const sums = new Map<string, number>();
        for (const usage of this.windows.get(window)?.values() ?? []) {
            usage.forEach(({ team, requests }) => sums.set(team, (sums.get(team) ?? 0) + requests));
        }
        return [...sums].map(([team, requests]) => ({ team, requests })).sort((left, right) => (left.team < right.team ? -1 : 1));
    }
}
