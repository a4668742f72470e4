/** Number of size classes; the largest one holds all calls beyond it. */
const sizeClassCount = 24;
/** Ranks that differ in urgency here; a higher one counts as the last of them. */
const countedRanks = 4;
/** Factor between the shares served of two successive classes: calls of four times the size are served half as often. */
const weightPerClass = Math.SQRT1_2;
/** Least share that is served of a class, as a part of the share served of all units: large calls are served less often, but not shut out. */
const leastPartOfMeanShare = 0.5;
/** Multiples of the golden ratio spread the successive places of a call evenly. */
const goldenRatio = (Math.sqrt(5) - 1) / 2;
/** Steps of the search for the weight at which the served shares add up to the capacity. */
const searchSteps = 40;

/** Standard deviations by which recent demand may exceed the lasting one by chance. */
const chanceDeviations = 2;

/**
 * Returns the units per second of a recent demand that chance does not explain: a few large calls at once are no hot team. `requested`
 * holds the units per second of each size class, as moving averages with a time constant in seconds, `offset` by how many classes the
 * calls stand above their size.
 */
export function computeLastingDemand(requested: readonly number[], offset: number, timeConstant: number): number {
    const total = requested.reduce((sum, units) => sum + units, 0);
    const variance = requested.reduce((sum, units, sizeClass) => sum + units * 2 ** Math.max(0, sizeClass - offset), 0)
        / (2 * timeConstant);
    return Math.max(0, total - chanceDeviations * Math.sqrt(variance));
}

/** Returns by how many classes a call of a rank stands above its size. */
export function computeClassOffset(rank: number): number {
    return Math.min(rank, countedRanks - 1);
}

/** Returns the class of a call by its size, doubled for each rank by which it is less urgent. */
export function findSizeClass(units: number, rank: number): number {
    const size = Math.floor(Math.log2(Math.max(1, units)));
    return Math.min(sizeClassCount - 1, size + computeClassOffset(rank));
}

/**
 * Divides what a limit still lets pass among size classes of calls, while more is requested: small and urgent calls are served more
 * often than large ones, and each class at least at half the rate of an even division.
 */
export class UsageDivision {
    private constructor(private readonly scale: number, private readonly least: number, private readonly reservedClasses: number) {}

    /**
     * `requested` holds the units per second requested of each class, `capacity` those that may pass in all. The smallest classes,
     * as many as need at most `reserve` together, always pass.
     */
    static create(requested: readonly number[], capacity: number, reserve: number): UsageDivision {
        const total = requested.reduce((sum, units) => sum + units, 0);
        if (total <= capacity) {
            return new UsageDivision(Infinity, 1, sizeClassCount);
        }
        const reservedClasses = countReservedClasses(requested, reserve);
        const least = leastPartOfMeanShare * Math.max(0, capacity) / total;
        let low = 0;
        let high = weightPerClass ** -sizeClassCount;
        for (let step = 0; step < searchSteps; step += 1) {
            const middle = (low + high) / 2;
            const division = new UsageDivision(middle, least, reservedClasses);
            if (division.countServed(requested) > capacity) {
                high = middle;
            }
            else {
                low = middle;
            }
        }
        return new UsageDivision(low, least, reservedClasses);
    }

    /** Returns whether all calls of a class pass, because together with the smaller ones they need little. */
    isReserved(sizeClass: number): boolean {
        return sizeClass < this.reservedClasses;
    }

    /** Returns the units per second served of those requested of each class. */
    countServed(requested: readonly number[]): number {
        return requested.reduce((sum, units, sizeClass) => sum + units * this.getServedShare(sizeClass), 0);
    }

    /** Returns the share of a class's calls that may be served, from 0 to 1. */
    getServedShare(sizeClass: number): number {
        if (this.isReserved(sizeClass)) {
            return 1;
        }
        return Math.min(1, Math.max(this.least, this.scale * weightPerClass ** sizeClass));
    }
}

function countReservedClasses(requested: readonly number[], reserve: number): number {
    let sum = 0;
    const first = requested.findIndex(units => (sum += units) > reserve);
    return first < 0 ? sizeClassCount : first;
}

/**
 * Returns the place of a call in the order of a team's calls, from 0 to 1: calls with a place below the served share of their class
 * pass. It depends only on the call and the time, so all nodes agree on it without a message, and a caller that repeats a refused
 * call at once, at any node, is not ahead of one that waits. Each call's place changes once a `term`, in milliseconds, at a time of its own.
 */
export function computePlace(fingerprint: string, wallTime: number, term: number): number {
    const first = Number.parseInt(fingerprint.slice(0, 8), 16) / 2 ** 32;
    const phase = Number.parseInt(fingerprint.slice(8, 16), 16) / 2 ** 32;
    const turn = Math.floor(wallTime / term + phase);
    return (first + turn * goldenRatio) % 1;
}
