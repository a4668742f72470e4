import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Mean time between two reclaims of a failure domain that is assumed before any was seen, in seconds. */
const assumedReclaimInterval = 300;
/** Time after which the memory of a reclaim has faded to about a third, in seconds: a scarcity of hosts takes a domain more than once. */
const memorySeconds = 60;
/** How many reclaims of each domain are expected in a second right after a reclaim of any, and the time after which that has faded to a third. */
const seriesRate = 0.02;
const seriesSeconds = 15;
/** Fewest endpoints that must disappear together to count as a reclaim: single ones crash. */
const leastReclaimed = 2;

/** Reclaims of a domain that are remembered: earlier ones have faded. */
const rememberedReclaims = 16;

/** What is remembered of one failure domain. Times are in monotonic milliseconds. */
interface DomainMemory {
    serving: number;
    reclaimedAt: number[];
    refusedAt: number;
}

/**
 * Remembers, for the reclaimable endpoints of one service, when a failure domain lost all of them and when an order there was refused.
 * Reclaims come in groups: after one, the next is feared more, in every domain.
 */
export class ReclaimFears {
    private readonly domains = new Map<string, DomainMemory>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ReclaimFears {
        return new ReclaimFears(clock);
    }

    /**
     * Records how many reclaimable endpoints of a domain serve now; returns whether all of several were lost since the last call although
     * they were not released: `wanted` is what is ordered.
     */
    recordServing(failureDomain: string, serving: number, wanted: number): boolean {
        const memory = this.getMemory(failureDomain);
        const isReclaim = serving === 0 && memory.serving >= leastReclaimed && wanted > 0;
        memory.serving = serving;
        if (isReclaim) {
            memory.reclaimedAt = [...memory.reclaimedAt.slice(1 - rememberedReclaims), this.clock.getMonotonicTime()];
        }
        return isReclaim;
    }

    /** Records that an order was refused because no endpoint is available. */
    recordRefusal(failureDomain: string): void {
        this.getMemory(failureDomain).refusedAt = this.clock.getMonotonicTime();
    }

    /** Returns the time since an order was last refused in a domain, in seconds; Infinity if none was. */
    getRefusalAge(failureDomain: string): number {
        return this.computeAge(this.getMemory(failureDomain).refusedAt);
    }

    /** Returns how many reclaims of one domain are to be expected in a second. Those seen in other domains count in part: hosts get scarce together. */
    computeReclaimRate(): number {
        const ages = [...this.domains.values()].flatMap(memory => memory.reclaimedAt.map(at => this.computeAge(at)));
        const remembered = ages.reduce((sum, age) => sum + Math.exp(-age / memorySeconds), 0);
        const series = seriesRate * Math.max(0, ...ages.map(age => Math.exp(-age / seriesSeconds)));
        return 1 / assumedReclaimInterval + series + remembered / memorySeconds / Math.max(1, this.domains.size);
    }

    private computeAge(at: number): number {
        return (this.clock.getMonotonicTime() - at) / millisecondsPerSecond;
    }

    private getMemory(failureDomain: string): DomainMemory {
        const memory = this.domains.get(failureDomain) ?? { serving: 0, reclaimedAt: [], refusedAt: -Infinity };
        this.domains.set(failureDomain, memory);
        return memory;
    }
}
