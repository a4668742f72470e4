import { UsageDivision } from "../quotas/usageDivision.js";

/** Steps of the search for the multiple of their usual demand up to which teams are served. */
const searchSteps = 30;
/** Largest multiple of its usual demand at which a team's demand still counts. */
const largestMultiple = 64;
/** Usual demand of a team that is hardly known, as a part of an equal share of all: its first requests are not those of a hot team. */
const leastPartOfEqualShare = 0.5;

/** Demand of one team for a service, in milliseconds of endpoint time per second. */
export interface TeamDemand {
    /** Average over a time that is long compared with a hot spell. */
    readonly usual: number;
    /** Demand of the last seconds, by size class. */
    readonly requested: readonly number[];
}

/**
 * Divides the room of a service that is short of it. Each team gets the same multiple of its usual demand, so that a hot team pays for
 * itself; a team's part is divided by size class and urgency, and no class is shut out.
 */
export class RoomDivision {
    private constructor(private readonly teams: ReadonlyMap<string, UsageDivision>) {}

    /** `room` is what the endpoints take on, in milliseconds of endpoint time per second. */
    static create(demands: ReadonlyMap<string, TeamDemand>, room: number): RoomDivision {
        const equalShare = addUp([...demands.values()].map(({ usual }) => usual)) / Math.max(1, demands.size);
        const teams = [...demands].map(([name, { usual, requested }]) => ({
            name,
            requested,
            total: addUp(requested),
            usual: Math.max(usual, equalShare * leastPartOfEqualShare),
        }));
        const multiple = findMultiple(teams, room);
        return new RoomDivision(
            new Map(teams.map(({ name, requested, usual }) => [name, UsageDivision.create(requested, usual * multiple, 0)])),
        );
    }

    /** Returns the share of a team's requests of one size class that may be served, from 0 to 1. */
    getServedShare(team: string, sizeClass: number): number {
        return this.teams.get(team)?.getServedShare(sizeClass) ?? 1;
    }
}

/** Returns the largest multiple of their usual demand up to which the demands of all teams together fit into the room. */
function findMultiple(teams: readonly { readonly total: number; readonly usual: number; }[], room: number): number {
    const countServed = (multiple: number) => addUp(teams.map(({ total, usual }) => Math.min(total, multiple * usual)));
    let low = 0;
    let high = largestMultiple;
    for (let step = 0; step < searchSteps; step += 1) {
        const middle = (low + high) / 2;
        if (countServed(middle) > room) {
            high = middle;
        }
        else {
            low = middle;
        }
    }
    return low;
}

function addUp(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}
