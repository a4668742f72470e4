import { millisecondsPerSecond } from "../common/units.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";

/** Share of an engine's time that goes to prompts; the rest goes to the output of requests that run. */
const promptShareOfTime = 0.75;

/** Part of an endpoint's room that it offers however much waits there: its queue was longer than expected, and is worked off meanwhile. */
const leastPartOfRoom = 0.25;

/** Time in which new requests may use up the room, in milliseconds: that in which nodes hear of one another's requests. */
const horizonMilliseconds = 500;

/** How much work the endpoints of a service take on now, by what they and all nodes report. Times are in milliseconds. */
export interface ServiceRoom {
    /** Endpoint time per second that new requests may take without waiting longer than they may. */
    readonly room: number;
    /** Time after which the work that waits has been done, on average over the endpoints; 0 where none waits. */
    readonly drainTime: number;
    readonly endpoints: number;
}

/**
 * Computes the room of a service's engines: what each does in the next half of a second and in the time that requests may wait, less the prompts
 * that wait there. `speedFactor` is how much faster than assumed they turn out to be. Endpoints that are leaving, excluded or full offer none.
 */
export function computeServiceRoom(
    endpoints: readonly FleetEndpoint[],
    promptTokensPerMillisecond: number,
    acceptedWait: number,
    speedFactor: number,
    now: number,
): ServiceRoom {
    const open = endpoints.filter(endpoint => endpoint.isUsable() && !endpoint.isExcluded(now) && !endpoint.isFull(now));
    let room = 0;
    let drainTime = 0;
    for (const endpoint of open) {
        const speed = promptShareOfTime / endpoint.slowness.computeFactor(now);
        const waiting = endpoint.countPromptTokens() / promptTokensPerMillisecond;
        const hasFreeSlot = endpoint.countReportedRequests(now) < endpoint.entry.slots;
        const unused = (horizonMilliseconds + acceptedWait) * speed * speedFactor;
        room += hasFreeSlot ? Math.max(unused * leastPartOfRoom, unused - waiting) : 0;
        drainTime += waiting / speed / open.length;
    }
    return { room: room * millisecondsPerSecond / horizonMilliseconds, drainTime, endpoints: open.length };
}
