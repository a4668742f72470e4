import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";
import { PromptSpeedSource } from "./engineSpeeds.js";

/** Time constant of the moving average of work, in milliseconds: long compared with a burst, short compared with a change of load. */
const workTimeConstantMilliseconds = 4_000;
/** Age up to which a peer's reported work is counted, in milliseconds. */
const peerWorkAgeLimitMilliseconds = 10_000;

/** Share of the work from which a kind of request counts: one that is hardly sent is not what a fleet is planned for. */
const leastKindShare = 0.02;

/** Stated speed of an engine. */
export interface TokenProcessingTimes {
    readonly promptTokensPerMillisecond: number;
    /** Engine time of a step, which produces one token of each running request: a fixed part and a part for each request, in milliseconds. */
    readonly step: number;
    readonly stepPerRequest: number;
}

/** Share of an engine's slots that its batches are planned to fill: fuller ones leave no room for a burst. */
const plannedBatchShare = 0.5;

/** Engine time demand of one service, in milliseconds of engine time per second. */
export interface ServiceWork {
    readonly service: string;
    readonly work: number;
}

/** Moving average of work and the monotonic time at which it was last updated. */
interface DecayingWorkRate {
    work: number;
    at: number;
}

/** Tracks the engine time demand of each service, from the generations that this node sends and the demand that peers report. */
export class ServiceWorkTracker {
    private readonly localRates = new Map<string, DecayingWorkRate>();
    private readonly localRatesByPriority = new Map<string, Map<number, DecayingWorkRate>>();
    private readonly peerRatesByService = new Map<string, Map<string, DecayingWorkRate>>();
    /** Monotonic time at which work for a service was first seen, on this node or a peer. */
    private readonly firstWorkAt = new Map<string, number>();
    private getSlots: (service: string) => number = () => 1;

    private constructor(
        private readonly clock: Clock,
        private readonly times: TokenProcessingTimes,
        private readonly speeds: PromptSpeedSource,
    ) {}

    static create(
        clock: Clock,
        times: TokenProcessingTimes,
        speeds: PromptSpeedSource = { getPromptSpeed: () => times.promptTokensPerMillisecond },
    ): ServiceWorkTracker {
        return new ServiceWorkTracker(clock, times, speeds);
    }

    /** Sets the function that returns the slots of a service's engines. */
    setSlotsSource(getSlots: (service: string) => number): void {
        this.getSlots = getSlots;
    }

    /** Adds the estimated engine time of a generation that this node sends to an engine. */
    recordWork(service: string, tokensToRead: number, outputTokens: number, priority = 0): void {
        const milliseconds = tokensToRead / this.speeds.getPromptSpeed(service) + outputTokens * this.computeTokenTime(service);
        this.recordFirstWork(service);
        this.addWork(this.localRates, service, milliseconds);
        const ratesByPriority = this.localRatesByPriority.get(service) ?? new Map<number, DecayingWorkRate>();
        this.localRatesByPriority.set(service, ratesByPriority);
        this.addWork(ratesByPriority, priority, milliseconds);
    }

    /** Returns for how many milliseconds this node has known of work for a service; 0 before the first. */
    getLoadAge(service: string): number {
        const now = this.clock.getMonotonicTime();
        return now - (this.firstWorkAt.get(service) ?? now);
    }

    /**
     * Returns the share of the most urgent kind of request in the work that this node sends to a service, which stands for that of all nodes; 1 without
     * work.
     */
    computeUrgentShare(service: string): number {
        const now = this.clock.getMonotonicTime();
        const kinds = [...this.localRatesByPriority.get(service) ?? []].map(([priority, rate]) => ({
            priority,
            work: computeDecayedWork(rate, now),
        }));
        const total = kinds.reduce((sum, { work }) => sum + work, 0);
        const noticeable = kinds.filter(({ work }) => work > total * leastKindShare);
        const urgent = noticeable.reduce<typeof noticeable[number] | undefined>(
            (first, entry) => (first === undefined || entry.priority < first.priority ? entry : first),
            undefined,
        );
        return urgent === undefined ? 1 : urgent.work / total;
    }

    /** Replaces the work that a peer, or a group of nodes, reports for a service. */
    recordPeerWork(service: string, node: string, work: number): void {
        if (work > 0) {
            this.recordFirstWork(service);
        }
        const ratesByPeer = this.peerRatesByService.get(service) ?? new Map<string, DecayingWorkRate>();
        ratesByPeer.set(node, { work, at: this.clock.getMonotonicTime() });
        this.peerRatesByService.set(service, ratesByPeer);
    }

    /** Removes the sources that the predicate rejects, because another source's sum includes their nodes. */
    removeSources(isKept: (source: string) => boolean): void {
        for (const ratesByPeer of this.peerRatesByService.values()) {
            [...ratesByPeer.keys()].filter(node => !isKept(node)).forEach(node => ratesByPeer.delete(node));
        }
    }

    /** Returns, for each service, the work of this node plus that of the sources that the predicate accepts. */
    listSums(isCounted: (source: string) => boolean): ServiceWork[] {
        const services = [...new Set([...this.localRates.keys(), ...this.peerRatesByService.keys()])];
        return services.map(service => ({ service, work: this.computeSum(service, isCounted) }));
    }

    /** Returns the work that this node sends to each service. */
    listLocalWork(): ServiceWork[] {
        const now = this.clock.getMonotonicTime();
        return [...this.localRates].map(([service, rate]) => ({ service, work: computeDecayedWork(rate, now) }));
    }

    /** Returns the work of all nodes for a service, in milliseconds of engine time per second. */
    computeTotal(service: string): number {
        return this.computeSum(service, () => true);
    }

    /** Returns the work that this node sends to a service and that of its peers, in milliseconds of engine time per second. */
    computeParts(service: string): { readonly local: number; readonly peers: number; } {
        const local = this.computeSum(service, () => false);
        return { local, peers: this.computeTotal(service) - local };
    }

    /** Returns the engine time of one output token: the fixed part of a step is shared by the batch. */
    private computeTokenTime(service: string): number {
        const batch = Math.max(1, this.getSlots(service) * plannedBatchShare);
        return this.times.step / batch + this.times.stepPerRequest;
    }

    private recordFirstWork(service: string): void {
        if (!this.firstWorkAt.has(service)) {
            this.firstWorkAt.set(service, this.clock.getMonotonicTime());
        }
    }

    private addWork<Key>(rates: Map<Key, DecayingWorkRate>, key: Key, milliseconds: number): void {
        const now = this.clock.getMonotonicTime();
        const rate = rates.get(key) ?? { work: 0, at: now };
        rate.work = computeDecayedWork(rate, now) + milliseconds * millisecondsPerSecond / workTimeConstantMilliseconds;
        rate.at = now;
        rates.set(key, rate);
    }

    private computeSum(service: string, isCounted: (source: string) => boolean): number {
        const now = this.clock.getMonotonicTime();
        const localRate = this.localRates.get(service);
        let work = localRate === undefined ? 0 : computeDecayedWork(localRate, now);
        for (const [node, rate] of this.peerRatesByService.get(service) ?? []) {
            work += isCounted(node) && now - rate.at <= peerWorkAgeLimitMilliseconds ? rate.work : 0;
        }
        return work;
    }
}

function computeDecayedWork(rate: DecayingWorkRate, now: number): number {
    return rate.work * Math.exp(-(now - rate.at) / workTimeConstantMilliseconds);
}
