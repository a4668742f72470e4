import { millisecondsPerSecond } from "../common/units.js";

/** Demand for one limit at a node or at a group of nodes. */
export interface RateDemand {
    readonly name: string;
    /** Requested units per second, as a moving average. */
    readonly demand: number;
    /** Units admitted in the last window; of nodes that have fallen silent, those that they may have admitted. */
    readonly passed: number;
    /** Number of nodes whose demand and admitted units are added up here. */
    readonly nodes: number;
    /** Units per second requested lately, by size class; empty where the limit is far from reached. */
    readonly recent: readonly number[];
    /** Admitted units that leave the window in the next second; given with `recent`. */
    readonly leaving: number;
    /** Time since the admitted units were counted, in milliseconds; in a sum, the mean by units. */
    readonly age: number;
}

/** State of a limit at this node at the time of an estimate. Times are monotonic milliseconds. */
export interface LocalUsage {
    readonly now: number;
    /** Units that the limit allows in a window. */
    readonly allowed: number;
    /** Units that this node admitted in the window. */
    readonly passed: number;
    /** Units per second requested at this node. */
    readonly demand: number;
}

/** Report of a peer or a group of nodes, and the state of the fleet when it arrived. */
interface PeerReport extends RateDemand {
    readonly at: number;
    readonly allowed: number;
    /** Part of the known demand that the reporting nodes have. */
    readonly share: number;
    /** Units that all known nodes had admitted in the window. */
    readonly fleetPassed: number;
}

/** Age up to which a count of admitted units is used as it is, in milliseconds: two gossip exchanges. */
const freshCountAgeLimitMilliseconds = 1_500;
/** Age up to which a report counts at all, in milliseconds. */
const reportAgeLimitMilliseconds = 15_000;

/**
 * Usage of one limit by the other nodes, as they report it. Nodes that fall silent may still serve callers, and cannot be told what
 * the others admit. So both sides keep to the same division: what either one admitted before leaves the window with time, and each
 * admits of the room that is left the part that it had of the demand when they last heard of one another.
 */
export class PeerUsage {
    private readonly reports = new Map<string, PeerReport>();

    private constructor(private readonly window: number) {}

    /** `window` is the length of the sliding window in which the limit is enforced, in milliseconds. */
    static create(window: number): PeerUsage {
        return new PeerUsage(window);
    }

    /** Replaces the report of a source. */
    recordReport(source: string, demand: RateDemand, local: LocalUsage): void {
        this.reports.delete(source);
        const others = this.computeSum(local, () => true);
        const fleetDemand = local.demand + others.demand + demand.demand;
        this.reports.set(source, {
            ...demand,
            at: local.now,
            allowed: local.allowed,
            share: fleetDemand > 0 ? demand.demand / fleetDemand : 0,
            fleetPassed: local.passed + others.passed + demand.passed,
        });
    }

    /** Removes the sources that the predicate rejects. */
    removeSources(isKept: (source: string) => boolean): void {
        [...this.reports.keys()].filter(source => !isKept(source)).forEach(source => this.reports.delete(source));
    }

    /** Reduces a source's figures to a part of its nodes, because another source reports the rest. */
    reduceSource(source: string, kept: number): void {
        const report = this.reports.get(source);
        if (report !== undefined) {
            const { demand, passed, nodes, share, recent, leaving } = report;
            this.reports.set(source, {
                ...report,
                demand: demand * kept,
                passed: passed * kept,
                nodes: Math.round(nodes * kept),
                share: share * kept,
                recent: recent.map(units => units * kept),
                leaving: leaving * kept,
            });
        }
    }

    /** Adds up the demand of the sources that the predicate accepts and the units that they may have admitted in the window. */
    computeSum(local: LocalUsage, isCounted: (source: string) => boolean): Omit<RateDemand, "name"> {
        const sum = { demand: 0, passed: 0, nodes: 0, recent: [] as number[], leaving: 0 };
        let unitAge = 0;
        for (const [source, report] of this.reports) {
            if (local.now - report.at > reportAgeLimitMilliseconds) {
                this.reports.delete(source);
                continue;
            }
            if (isCounted(source)) {
                sum.demand += report.demand;
                const passed = this.estimatePassed(report, local);
                const isCurrent = report.recent.length > 0 && local.now - report.at <= freshCountAgeLimitMilliseconds;
                sum.passed += passed;
                unitAge += passed * this.computeCountAge(report, local);
                sum.leaving += isCurrent ? report.leaving : passed * millisecondsPerSecond / this.window;
                sum.nodes += report.nodes;
                addRecentUnits(sum.recent, report.recent);
            }
        }
        return { ...sum, age: sum.passed > 0 ? unitAge / sum.passed : 0 };
    }

    /** Returns whether no source has fallen silent and the reports cover a number of nodes. */
    isCurrent(now: number, nodes: number): boolean {
        const reports = [...this.reports.values()];
        return reports.every(report => now - report.at <= freshCountAgeLimitMilliseconds)
            && reports.reduce((sum, report) => sum + report.nodes, 0) >= nodes;
    }

    /** Returns the age of the count that `estimatePassed` uses as it is; 0 for a source that has fallen silent, whose units are estimated as of now. */
    private computeCountAge(report: PeerReport, local: LocalUsage): number {
        const sinceArrival = local.now - report.at;
        return sinceArrival <= freshCountAgeLimitMilliseconds ? sinceArrival + report.age : 0;
    }

    private estimatePassed(report: PeerReport, local: LocalUsage): number {
        const age = local.now - report.at;
        const counted = computeCountedShare(report.allowed, local.allowed);
        if (age <= freshCountAgeLimitMilliseconds) {
            return report.passed * counted;
        }
        const inWindow = Math.max(0, 1 - age / this.window) * counted;
        return report.passed * inWindow + report.share * Math.max(0, local.allowed - report.fleetPassed * inWindow);
    }
}

/** Adds units by size class to a sum. */
export function addRecentUnits(sum: number[], recent: readonly number[]): void {
    recent.forEach((units, index) => (sum[index] = (sum[index] ?? 0) + units));
}

/**
 * Returns the share of units admitted earlier that counts against a limit: where it has been lowered since, they count as the same part
 * of the lower limit. They were within the limit of their time, and a team within the new one must not wait until they leave the window.
 */
export function computeCountedShare(allowedThen: number, allowedNow: number): number {
    return allowedThen > allowedNow ? allowedNow / allowedThen : 1;
}
