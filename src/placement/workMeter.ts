import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Time constant of the measured work, in milliseconds: long against a burst of requests, short against a change of load. */
const workWindowMilliseconds = 4_000;
/** Time after which another node's work is no longer counted, in milliseconds. */
const workAgeLimitMilliseconds = 10_000;

/** How long an engine works on tokens, in milliseconds. */
export interface TokenTimes {
    readonly promptTokensPerMillisecond: number;
    /** One output token in a usual batch. */
    readonly outputToken: number;
}

/** Work of one service, in milliseconds of one engine a second. */
export interface ServiceWork {
    readonly service: string;
    readonly work: number;
}

interface WorkRate {
    work: number;
    at: number;
}

/** Measures how much work goes to each service's engines, by what this node sends and what others tell. */
export class WorkMeter {
    private readonly own = new Map<string, WorkRate>();
    private readonly others = new Map<string, Map<string, WorkRate>>();

    private constructor(private readonly clock: Clock, private readonly times: TokenTimes) {}

    static create(clock: Clock, times: TokenTimes): WorkMeter {
        return new WorkMeter(clock, times);
    }

    /** Records a generation that is sent to an engine. */
    recordWork(service: string, tokensToRead: number, outputTokens: number): void {
        const now = this.clock.getMonotonicTime();
        const rate = this.own.get(service) ?? { work: 0, at: now };
        const milliseconds = tokensToRead / this.times.promptTokensPerMillisecond + outputTokens * this.times.outputToken;
        rate.work = computeWork(rate, now) + milliseconds * millisecondsPerSecond / workWindowMilliseconds;
        rate.at = now;
        this.own.set(service, rate);
    }

    recordOther(service: string, node: string, work: number): void {
        const nodes = this.others.get(service) ?? new Map<string, WorkRate>();
        nodes.set(node, { work, at: this.clock.getMonotonicTime() });
        this.others.set(service, nodes);
    }

    /** Forgets the sources that a check does not name: their nodes are counted elsewhere. */
    removeOthers(isKept: (source: string) => boolean): void {
        for (const nodes of this.others.values()) {
            [...nodes.keys()].filter(node => !isKept(node)).forEach(node => nodes.delete(node));
        }
    }

    /** Returns the sum of this node's and the chosen sources' work. */
    listSums(isCounted: (source: string) => boolean): ServiceWork[] {
        const services = [...new Set([...this.own.keys(), ...this.others.keys()])];
        return services.map(service => ({ service, work: this.computeSum(service, isCounted) }));
    }

    listOwn(): ServiceWork[] {
        const now = this.clock.getMonotonicTime();
        return [...this.own].map(([service, rate]) => ({ service, work: computeWork(rate, now) }));
    }

    /** Returns the work of all nodes. */
    computeTotal(service: string): number {
        return this.computeSum(service, () => true);
    }

    private computeSum(service: string, isCounted: (source: string) => boolean): number {
        const now = this.clock.getMonotonicTime();
        const own = this.own.get(service);
        let work = own === undefined ? 0 : computeWork(own, now);
        for (const [node, rate] of this.others.get(service) ?? []) {
            work += isCounted(node) && now - rate.at <= workAgeLimitMilliseconds ? rate.work : 0;
        }
        return work;
    }
}

function computeWork(rate: WorkRate, now: number): number {
    return rate.work * Math.exp(-(now - rate.at) / workWindowMilliseconds);
}
