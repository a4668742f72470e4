import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptSpeedSource } from "../placement/engineSpeeds.js";
import { PlacementQuery, RoomClaim, RoomDecision, RoomRefusal } from "../placement/types.js";
import { computePlace, findSizeClass } from "../quotas/usageDivision.js";
import { RoomDivision } from "./roomDivision.js";
import { computeServiceRoom, ServiceRoom } from "./serviceRoom.js";

/** Time constant of the demand at this moment, in milliseconds: a burst shows in it before the nodes' exchanged work has followed. */
const recentTimeConstantMilliseconds = 1_500;
/** Time constant of the work that nodes exchange, in milliseconds. */
const exchangedTimeConstantMilliseconds = 4_000;
/** Time constant of the usual demand, in milliseconds: long compared with a hot spell. */
const usualTimeConstantMilliseconds = 40_000;
/** Factor on the speed at which the usual demand follows while room is short: a hot team must not become usual by its spell. */
const usualFactorInShortage = 0.1;
/** Multiple of the averaging time of exchanged work after which that of peers which may have restarted as well is complete. */
const youngTimes = 2;
/** Part of the room that returning callers get before all others, so that most of what is served in a long shortage is not late. */
const returningPartOfRoom = 0.5;
/**
 * Largest changes of the speed factor in one division, as exponents: it follows within seconds, and not the noise of single requests.
 * Long queues lower it slowly, since a few busy endpoints and bursts make them as well.
 */
const speedGain = 0.05;
const speedLoss = 0.01;
/** Bounds of the speed factor; endpoints that are slower than assumed show it in their slowness. */
const leastSpeedFactor = 1;
const largestSpeedFactor = 4;
/** Shares of the accepted wait: queues beyond the first one begin a shortage, which lasts until they are below the second. */
const beginShareOfWait = 1;
const endShareOfWait = 0.25;
/** Time for which the least objective of a service's requests holds after the last such request, in milliseconds. */
const objectiveLifeMilliseconds = 10_000;
/** Time for which a division is reused, in milliseconds. */
const divisionAgeLimitMilliseconds = 100;
/** Share of the least objective of a service's requests that they may wait for their endpoint while room is short. */
const acceptedShareOfObjective = 0.5;
/** Share of a route's time limit after which callers come back at the latest. */
const longestShareOfTimeLimit = 0.3;
/** Least wait of a refused caller, in milliseconds; a caller that comes back earlier does not count as having waited. */
const leastWaitMilliseconds = 300;
/**
 * Part of its place that a caller gains by waiting for its term. Were it the whole, all those who are refused at the onset of a long
 * shortage would come before all new callers, and every answer would be late.
 */
const waitedPartOfPlace = 0.5;
/** Part of the longest delay after which a request whose service has no endpoint comes back: a new one takes seconds to start. */
const leastPartWithoutEndpoints = 0.5;
/** Factor by which the demand at one node may differ from its average without a change of the demand at all. */
const noiseFactor = 1.15;
/** Least time for which a moving average is taken to have run, in milliseconds: a single request would count for many. */
const leastKnownMilliseconds = 200;
/** Name under which requests without a team are counted. */
const noTeam = "";

/** What is asked of a service by all nodes, and what its endpoints take on, in milliseconds of endpoint time per second. */
export interface RoomPicture {
    readonly asked: number;
    readonly room: number;
    /** Time after which the work that waits has been done, in milliseconds. */
    readonly drainTime: number;
    readonly isShort: boolean;
}

/** What the admission knows from elsewhere. */
export interface RoomAdmissionDependencies {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly speeds: PromptSpeedSource;
    /** Returns the work that this node and its peers are asked for at a service, in milliseconds of endpoint time per second. */
    readonly getWork: (service: string) => { readonly local: number; readonly peers: number; };
    /** Is told what is asked for and taken on whenever the room is divided anew. */
    readonly reportRoom?: (service: string, picture: RoomPicture) => void;
    /** Returns how many nodes serve callers, those included that have been silent for some seconds. */
    readonly getNodeCount: () => number;
}

/** Decaying demand of one team, by size class. */
interface TeamMeter {
    recent: number[];
    usual: number;
    at: number;
}

interface DecayingSum {
    tokens: number;
    at: number;
}

/** Demand and room of one service on this node. */
interface ServiceState {
    readonly startedAt: number;
    readonly teams: Map<string, TeamMeter>;
    /** Demand of all teams, averaged over the same time as the work that nodes exchange. */
    readonly exchanged: DecayingSum;
    /** Least objective of the requests of the last seconds, and when the last request had it. */
    leastObjective: number;
    leastObjectiveAt: number;
    /** Whether an endpoint of the service has ever stated how slow its host is. */
    isStated: boolean;
    /** Demand of callers that come back after a refusal. */
    readonly returning: DecayingSum;
    division: RoomDivision | undefined;
    /** Share served of returning callers, from 0 to 1. */
    returningShare: number;
    room: ServiceRoom;
    /** How much faster than assumed the endpoints are, by the queues that the work asked for has left. */
    speedFactor: number;
    dividedAt: number;
    isShort: boolean;
}

/**
 * Decides which requests get the room of a service whose endpoints cannot take all that is asked for. Applies to engines that state how
 * slow their hosts are; all other services admit everything. Each node decides alone, by the same picture and the same places.
 */
export class RoomAdmission implements RoomDecision {
    private readonly services = new Map<string, ServiceState>();

    private constructor(private readonly dependencies: RoomAdmissionDependencies) {}

    static create(dependencies: RoomAdmissionDependencies): RoomAdmission {
        return new RoomAdmission(dependencies);
    }

    /** Records a request that asks for room, admitted or not. */
    recordDemand(query: PlacementQuery): void {
        if (query.prompt === undefined) {
            return;
        }
        const now = this.dependencies.clock.getMonotonicTime();
        const state = this.getState(query.service, now);
        if (query.objective <= state.leastObjective || now - state.leastObjectiveAt > objectiveLifeMilliseconds) {
            state.leastObjective = query.objective;
            state.leastObjectiveAt = now;
        }
        const tokens = query.prompt.inputTokens;
        addTokens(state.exchanged, tokens, exchangedTimeConstantMilliseconds, now);
        if (query.claim !== undefined && query.claim.waited > 0) {
            addTokens(state.returning, tokens, recentTimeConstantMilliseconds, now);
            return;
        }
        const name = query.claim?.team ?? noTeam;
        const meter = state.teams.get(name) ?? { recent: [], usual: 0, at: now };
        state.teams.set(name, meter);
        updateMeter(meter, now, state.isShort);
        const sizeClass = findSizeClass(tokens, query.rank);
        while (meter.recent.length <= sizeClass) {
            meter.recent.push(0);
        }
        meter.recent[sizeClass] = (meter.recent[sizeClass] ?? 0) + tokens / recentTimeConstantMilliseconds;
        meter.usual += tokens / usualTimeConstantMilliseconds * (state.isShort ? usualFactorInShortage : 1);
    }

    /** Returns why a request gets no room now; undefined if it may be placed. */
    findRefusal(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): RoomRefusal | undefined {
        const { claim, prompt } = query;
        if (claim === undefined || prompt === undefined) {
            return undefined;
        }
        const now = this.dependencies.clock.getMonotonicTime();
        const state = this.getState(query.service, now);
        if (!this.isGoverned(state, endpoints)) {
            return undefined;
        }
        if (now - state.dividedAt >= divisionAgeLimitMilliseconds) {
            this.updateDivision(query.service, state, endpoints, now);
        }
        const newShare = state.division?.getServedShare(claim.team ?? noTeam, findSizeClass(prompt.inputTokens, query.rank)) ?? 1;
        const share = claim.waited > 0 ? Math.max(newShare, state.returningShare) : newShare;
        if (share >= 1) {
            return undefined;
        }
        const term = computeTerm(query, claim);
        const place = this.computePlaceOf(claim, term);
        const waitedTerms = (1 - share / place) / waitedPartOfPlace;
        return place < share ? undefined : { share, wait: Math.max(leastWaitMilliseconds, term * Math.min(1, waitedTerms)) };
    }

    /**
     * Returns when a request that no endpoint could take may come back, in milliseconds, spread so that not all come at once: within its
     * objective where endpoints are left, and as late as callers do where a new one has to start.
     */
    computeReturnDelay(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): number | undefined {
        const { claim, prompt, service } = query;
        if (claim === undefined || prompt === undefined) {
            return undefined;
        }
        if (!this.isGoverned(this.getState(service, this.dependencies.clock.getMonotonicTime()), endpoints)) {
            return undefined;
        }
        const term = computeTerm(query, claim);
        const place = this.computePlaceOf(claim, term);
        const delay = endpoints.some(endpoint => endpoint.isUsable())
            ? term * place
            : claim.timeLimit * longestShareOfTimeLimit * (leastPartWithoutEndpoints + (1 - leastPartWithoutEndpoints) * place);
        return Math.max(leastWaitMilliseconds, delay);
    }

    /** Returns whether the admission applies to a request: all endpoints that stated their slowness may have gone meanwhile. */
    private isGoverned(state: ServiceState, endpoints: readonly FleetEndpoint[]): boolean {
        state.isStated ||= endpoints.some(endpoint => endpoint.slowness.isKnown());
        return state.isStated;
    }

    /** Returns a request's place, from 0 to 1: the same at all nodes and for a repetition at once, and lower the longer its caller has waited. */
    private computePlaceOf({ waited, getFingerprint }: RoomClaim, term: number): number {
        const first = computePlace(getFingerprint(), this.dependencies.clock.getWallTime() - waited, term);
        return first * (1 - waitedPartOfPlace * Math.min(1, waited / term));
    }

    private updateDivision(service: string, state: ServiceState, endpoints: readonly FleetEndpoint[], now: number): void {
        state.dividedAt = now;
        const acceptedWait = state.leastObjective * acceptedShareOfObjective;
        const speed = this.dependencies.speeds.getPromptSpeed(service);
        state.room = computeServiceRoom(endpoints, speed, acceptedWait, state.speedFactor, now);
        state.teams.forEach(meter => updateMeter(meter, now, state.isShort));
        updateSum(state.exchanged, exchangedTimeConstantMilliseconds, now);
        updateSum(state.returning, recentTimeConstantMilliseconds, now);
        const work = this.estimateWork(service, state, now);
        const { room, drainTime } = state.room;
        if (work > room || drainTime > acceptedWait) {
            // Queues that stay short under this work show that the endpoints are faster than assumed, longer ones the opposite.
            const difference = Math.max(-1, Math.min(1, 1 - drainTime / acceptedWait));
            const factor = state.speedFactor * Math.exp(difference * (difference > 0 ? speedGain : speedLoss));
            state.speedFactor = Math.max(leastSpeedFactor, Math.min(largestSpeedFactor, factor));
        }
        const isQueued = drainTime > acceptedWait * (state.isShort ? endShareOfWait : beginShareOfWait) || state.room.endpoints === 0;
        const isShort = work > room && isQueued;
        state.division = undefined;
        state.returningShare = 1;
        if (isShort && countRecent(state) > 0) {
            const returning = work * state.returning.tokens / (countRecent(state) + state.returning.tokens);
            const returningRoom = Math.min(returning, room * returningPartOfRoom);
            state.returningShare = returning > 0 ? returningRoom / returning : 1;
            state.division = this.createDivision(state, work - returning, room - returningRoom);
        }
        this.recordShortage(service, state, isShort, work);
        this.dependencies.reportRoom?.(service, { asked: work, room, drainTime, isShort });
    }

    /** Divides the room by this node's mix of teams and sizes, which stands for that of all nodes. */
    private createDivision(state: ServiceState, work: number, room: number): RoomDivision {
        const meters = [...state.teams];
        const recent = countRecent(state);
        const usual = addUp(meters.map(([, meter]) => meter.usual));
        const demands = new Map(meters.map(([name, meter]) => [name, {
            usual: meter.usual * work / usual,
            requested: meter.recent.map(tokens => tokens * work / recent),
        }]));
        return RoomDivision.create(demands, room);
    }

    /**
     * Estimates the work that all nodes are asked for now, in milliseconds of endpoint time per second: what they have exchanged, changed
     * as much as the demand at this node. A node that has just started, or hears no peer, takes itself for an equal part of them.
     */
    private estimateWork(service: string, state: ServiceState, now: number): number {
        const { getWork, getNodeCount } = this.dependencies;
        const { local, peers } = getWork(service);
        const recent = countRecent(state) + state.returning.tokens;
        if (countRecent(state) === 0 || local === 0) {
            return peers;
        }
        const age = now - state.startedAt;
        const own = local * recent / state.exchanged.tokens / computeKnownShare(age, recentTimeConstantMilliseconds);
        const usualLocal = local / computeKnownShare(age, exchangedTimeConstantMilliseconds);
        const isKnown = peers > 0 && age >= youngTimes * exchangedTimeConstantMilliseconds;
        const work = own + peers * reduceNoise(own / usualLocal);
        return isKnown ? work : Math.max(work, own * getNodeCount());
    }

    private recordShortage(service: string, state: ServiceState, isShort: boolean, work: number): void {
        if (state.isShort === isShort) {
            return;
        }
        state.isShort = isShort;
        const { room, drainTime, endpoints } = state.room;
        this.dependencies.log.log(LogEvents.RoomChanged, {
            service,
            isShort,
            asked: Math.round(work),
            room: Math.round(room),
            drainTime: Math.round(drainTime),
            endpoints,
        });
    }

    private getState(service: string, now: number): ServiceState {
        const existing = this.services.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const state: ServiceState = {
            startedAt: now,
            teams: new Map(),
            exchanged: { tokens: 0, at: now },
            leastObjective: Infinity,
            leastObjectiveAt: now,
            isStated: false,
            returning: { tokens: 0, at: now },
            division: undefined,
            returningShare: 1,
            speedFactor: 1,
            room: { room: 0, drainTime: 0, endpoints: 0 },
            dividedAt: -Infinity,
            isShort: false,
        };
        this.services.set(service, state);
        return state;
    }
}

/** Returns the time in which the places of a route's requests change, in milliseconds: a caller that comes back within it may still be served in time. */
function computeTerm({ objective }: PlacementQuery, { timeLimit }: RoomClaim): number {
    return Math.min(objective, timeLimit * longestShareOfTimeLimit);
}

function updateMeter(meter: TeamMeter, now: number, isShort: boolean): void {
    const age = now - meter.at;
    meter.recent = meter.recent.map(tokens => tokens * Math.exp(-age / recentTimeConstantMilliseconds));
    meter.usual *= Math.exp(-age / usualTimeConstantMilliseconds * (isShort ? usualFactorInShortage : 1));
    meter.at = now;
}

/** Returns by how much a ratio of demands differs from 1 beyond what single requests make of it. */
function reduceNoise(ratio: number): number {
    return ratio > 1 ? Math.max(1, ratio / noiseFactor) : Math.min(1, ratio * noiseFactor);
}

function updateSum(sum: DecayingSum, timeConstant: number, now: number): void {
    sum.tokens *= Math.exp(-(now - sum.at) / timeConstant);
    sum.at = now;
}

function addTokens(sum: DecayingSum, tokens: number, timeConstant: number, now: number): void {
    updateSum(sum, timeConstant, now);
    sum.tokens += tokens / timeConstant;
}

/** Returns the recent demand of all teams without that of returning callers, in tokens per millisecond. */
function countRecent({ teams }: ServiceState): number {
    return addUp([...teams.values()].map(meter => addUp(meter.recent)));
}

/** Returns which part of its final value a moving average has reached after a time, in milliseconds. */
function computeKnownShare(age: number, timeConstant: number): number {
    return 1 - Math.exp(-Math.max(age, leastKnownMilliseconds) / timeConstant);
}

function addUp(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}
