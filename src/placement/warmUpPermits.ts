import { hashToNumber } from "../common/hashing.js";
import { millisecondsPerSecond } from "../common/units.js";

/** Length of a window for which nodes get permits, in milliseconds: the time over which endpoints count what they tolerate. */
export const permitWindowMilliseconds = millisecondsPerSecond;
/**
 * Share of a window in which its permits may be used. Within the rest nothing is sent, so that nodes whose clocks differ by less
 * never use permits of three windows within one second.
 */
const usableShareOfWindow = 0.8;
/** Share of the tolerated requests that permits are given for; the rest is for requests sent before nodes know that an endpoint is cold. */
const permittedShareOfBound = 0.9;
/** Windows that any one second can overlap. */
const windowsInSecond = 2;

/** What a cold endpoint tolerates. */
export interface WarmUpTraits {
    /** Time for which an endpoint is cold after its start, in milliseconds. */
    readonly milliseconds: number;
    /** Requests in a second that a cold endpoint is made for. */
    readonly requestsPerSecond: number;
}

/** By how much all nodes together may exceed the requests that a cold endpoint is made for. */
export interface WarmUpSettings {
    /** Factor on the requests in a second. */
    readonly overage: number;
    /** Requests in a second beyond that. */
    readonly slack: number;
}

/** Returns for how many requests all nodes together get permits in a window. */
export function computeWindowPermits(traits: WarmUpTraits, settings: WarmUpSettings): number {
    const bound = traits.requestsPerSecond * settings.overage + settings.slack;
    const permits = Math.floor(bound * permittedShareOfBound / windowsInSecond);
    return Math.min(permits, Math.max(1, Math.floor(traits.requestsPerSecond)));
}

/** Returns whether permits may be used at a wall-clock time, in milliseconds. */
export function isWithinUsableTime(wallTime: number): boolean {
    return wallTime % permitWindowMilliseconds < permitWindowMilliseconds * usableShareOfWindow;
}

/** Returns the time from a wall-clock time until a random moment of the next window's usable time, in milliseconds; `fraction` is random. */
export function computeTimeToNextWindow(wallTime: number, fraction: number): number {
    const untilNext = permitWindowMilliseconds - wallTime % permitWindowMilliseconds;
    return untilNext + fraction * permitWindowMilliseconds * usableShareOfWindow;
}

/**
 * Divides the permits of each window among nodes by rendezvous hashing, without messages: each node computes which of the nodes that
 * it knows get one. Two nodes whose views differ by a few others compute almost the same.
 */
export class WarmUpPermits {
    private readonly hashesByName = new Map<string, number>();

    private constructor(private readonly name: string) {}

    /** `name` is that of this node. */
    static create(name: string): WarmUpPermits {
        return new WarmUpPermits(name);
    }

    /** Returns how many of a window's permits for an endpoint are this node's; `peers` are the names of all other nodes. */
    countOwn(endpointKey: string, window: number, permits: number, peers: readonly string[]): number {
        const nodeCount = peers.length + 1;
        const permitsOfEach = Math.floor(permits / nodeCount);
        const remaining = permits - permitsOfEach * nodeCount;
        const seed = hashBits(hashToNumber(endpointKey) ^ hashBits(window));
        const ownScore = hashBits(seed ^ this.getHash(this.name));
        let ahead = 0;
        for (const peer of peers) {
            ahead += hashBits(seed ^ this.getHash(peer)) < ownScore ? 1 : 0;
        }
        return permitsOfEach + (ahead < remaining ? 1 : 0);
    }

    private getHash(name: string): number {
        const known = this.hashesByName.get(name);
        if (known !== undefined) {
            return known;
        }
        const hash = hashToNumber(name);
        this.hashesByName.set(name, hash);
        return hash;
    }
}

/** Spreads the bits of a 32-bit number; each result belongs to one input. */
function hashBits(value: number): number {
    let mixed = value | 0;
    mixed = Math.imul(mixed ^ mixed >>> 16, 0x85ebca6b);
    mixed = Math.imul(mixed ^ mixed >>> 13, 0xc2b2ae35);
    return (mixed ^ mixed >>> 16) >>> 0;
}
