import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { RandomSource } from "../common/random.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointAdmission, unlimitedAdmission } from "./brittleEndpoints.js";
import { EndpointObstacle, Placement, PlacementCost, PlacementPolicy, PlacementQuery, RoomDecision, RoomRefusal } from "./types.js";

/** Share of the caller's remaining time that the expected time may take; the rest is a margin for errors of the estimate. */
const usableShareOfTimeLeft = 0.9;
/** Difference, in milliseconds, below which costs count as equal, so that nodes with the same load reports spread their choices. */
const equalCostToleranceMilliseconds = 2;
/** Connections to an endpoint that this node leaves unused below its limit, because all nodes share the endpoint's connection limit. */
const reservedConnections = 2;

/** Longest extra wait of a refused caller, as a share of the time until an endpoint takes requests again. */
const returnSpreadShare = 0.5;

const percentPerShare = 100;

/** Options compared for one request; the lowest fixed cost and two random ones already keep queues nearly as short as comparing all. */
const sampleSize = 4;

/** A candidate endpoint with its estimated cost. */
type PlacementOption = Placement & PlacementCost;

/** An endpoint of a service as it stands for one request. */
export interface ExplainedEndpoint {
    readonly endpoint: FleetEndpoint;
    /** Undefined for endpoints that may get the request. */
    readonly obstacle: EndpointObstacle | undefined;
    /** Undefined for endpoints that are not compared. */
    readonly cost: PlacementCost | undefined;
}

/** Where a request would be sent now, and how all endpoints of its service stand for it. */
export interface ExplainedPlacement {
    readonly result: Result<Placement, Failure>;
    /** Longest expected time with which the request is accepted, in milliseconds. */
    readonly longestWait: number;
    readonly endpoints: readonly ExplainedEndpoint[];
}

/** Returns how many connections one node may open to each endpoint of a service. */
export type ConnectionLimitSource = (service: string) => number;

/** Restricts and orders the endpoints that may serve a request, for example while a service moves between versions. */
export interface EndpointGroupSource {
    /** Returns groups of endpoints in order of preference; endpoints in no group must not receive the request. */
    listGroups(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): (readonly FleetEndpoint[])[];
}

/** Puts all endpoints into one group: any of them may serve any request. */
const singleGroupSource: EndpointGroupSource = { listGroups: (_query, endpoints) => [endpoints] };

/** Gives room to every request. */
const unlimitedRoom: RoomDecision = {
    recordDemand: () => undefined,
    findRefusal: () => undefined,
    computeReturnDelay: () => undefined,
};

/** Chooses the endpoint for each request by the costs that the service's placement policy estimates. */
export class EndpointChooser {
    private constructor(
        private readonly directory: EndpointDirectory,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly getPolicy: (service: string) => PlacementPolicy,
        private readonly getConnectionLimit: ConnectionLimitSource,
        private readonly traffic: EndpointGroupSource,
        private readonly admission: EndpointAdmission,
        private readonly room: RoomDecision,
    ) {}

    static create(
        directory: EndpointDirectory,
        clock: Clock,
        random: RandomSource,
        getPolicy: (service: string) => PlacementPolicy,
        getConnectionLimit: ConnectionLimitSource,
        traffic: EndpointGroupSource = singleGroupSource,
        admission: EndpointAdmission = unlimitedAdmission,
        room: RoomDecision = unlimitedRoom,
    ): EndpointChooser {
        return new EndpointChooser(directory, clock, random, getPolicy, getConnectionLimit, traffic, admission, room);
    }

    /** Chooses an endpoint; fails when no endpoint is available or none is expected to serve the request before its deadline. */
    choosePlacement(query: PlacementQuery): Result<Placement, Failure> {
        const endpoints = this.directory.listEndpoints(query.service);
        // A further attempt uses the room that the request was given.
        if (query.triedEndpoints.size === 0) {
            this.room.recordDemand(query);
            const refusal = this.room.findRefusal(query, endpoints);
            if (refusal !== undefined) {
                return Err(createRoomFailure(query.service, refusal));
            }
        }
        const result = this.chooseFromGroups(this.traffic.listGroups(query, endpoints), query);
        return result.ok ? result : Err(this.addReturnDelay(result.val, query, endpoints));
    }

    /** Returns where a request would be sent now, and how all endpoints of its service stand for it. */
    describePlacement(query: PlacementQuery): ExplainedPlacement {
        const all = this.directory.listEndpoints(query.service);
        const groups = this.traffic.listGroups(query, all);
        const refusal = this.room.findRefusal(query, all);
        const inGroups = groups.flatMap(group => this.describeGroup(group, query))
            .map(explained =>
                refusal === undefined ? explained : { ...explained, obstacle: explained.obstacle ?? EndpointObstacle.ShortOfRoom }
            );
        const known = new Set(inGroups.map(({ endpoint }) => endpoint));
        const others = all.filter(endpoint => !known.has(endpoint))
            .map(endpoint => ({ endpoint, obstacle: EndpointObstacle.OtherVersion, cost: undefined }));
        return {
            result: refusal === undefined ? this.chooseFromGroups(groups, query) : Err(createRoomFailure(query.service, refusal)),
            longestWait: this.computeLongestWait(query),
            endpoints: [...inGroups, ...others],
        };
    }

    /** Tells the caller of a request that no endpoint can take when to come back, unless an endpoint or another admission has said so. */
    private addReturnDelay(failure: Failure, query: PlacementQuery, endpoints: readonly FleetEndpoint[]): Failure {
        const delay = failure.retryAfterSeconds === undefined ? this.room.computeReturnDelay(query, endpoints) : undefined;
        return delay === undefined ? failure : failure.setRetryAfter(delay / millisecondsPerSecond);
    }

    private chooseFromGroups(groups: readonly (readonly FleetEndpoint[])[], query: PlacementQuery): Result<Placement, Failure> {
        let result: Result<Placement, Failure> | undefined;
        for (const group of groups) {
            const placement = this.choosePlacementInGroup(group, query);
            if (placement?.ok === true) {
                return placement;
            }
            result = placement ?? result;
        }
        return result ?? Err(this.createUnavailableFailure(query));
    }

    /** Creates the failure of a request that no endpoint can take now, with the time until one may, where that is known. */
    private createUnavailableFailure(query: PlacementQuery): Failure {
        const { service, allowedRegions } = query;
        const failure = allowedRegions === undefined
            ? Failure.create(Verdict.NotRun, Diagnostics.No_endpoint_is_available_for_service_0, service)
            : Failure.create(
                Verdict.NotRun,
                Diagnostics.No_endpoint_is_available_for_service_0_in_regions_1,
                service,
                allowedRegions.join(", "),
            );
        const usable = this.directory.listEndpoints(query.service).filter(endpoint => endpoint.isUsable());
        const delay = this.findPauseEnd(usable) ?? this.admission.findRetryDelay?.(query, usable);
        if (delay === undefined) {
            return failure;
        }
        // Spread over time, so that the callers refused now do not all return at the same moment.
        const spread = 1 + this.random.pickFraction() * returnSpreadShare;
        return failure.setRetryAfter(delay * spread / millisecondsPerSecond);
    }

    /** Returns the time until the first pause of the endpoints ends, in milliseconds; undefined unless all of them asked for one. */
    private findPauseEnd(usable: readonly FleetEndpoint[]): number | undefined {
        const now = this.clock.getMonotonicTime();
        const pauses = usable.map(endpoint => endpoint.getPausedUntil() - now);
        return pauses.length === 0 || pauses.some(pause => pause <= 0) ? undefined : Math.min(...pauses);
    }

    /** Chooses an endpoint of one group; undefined when the group has none that can take the request. */
    private choosePlacementInGroup(group: readonly FleetEndpoint[], query: PlacementQuery): Result<Placement, Failure> | undefined {
        const options = this.listOptions(group, query);
        const homes = options.filter(option => option.isSharedHome);
        const sample = this.pickSample(homes.length > 0 ? homes : options);
        if (sample.length === 0) {
            return undefined;
        }
        const longestWait = this.computeLongestWait(query);
        const best = this.selectBest(sample.filter(option => option.requiredTime <= longestWait));
        if (best === undefined) {
            const wait = Math.round(Math.min(...sample.map(option => option.requiredTime)));
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Expected_wait_of_0_milliseconds_passes_the_deadline, wait));
        }
        return Ok(best);
    }

    private describeGroup(group: readonly FleetEndpoint[], query: PlacementQuery): ExplainedEndpoint[] {
        const now = this.clock.getMonotonicTime();
        const limit = this.computeConnectionShare(query.service);
        const longestWait = this.computeLongestWait(query);
        const options = this.listOptions(group, query);
        const costs = new Map(options.map(option => [option.endpoint, option]));
        const admitted = new Set(this.admission.selectWithRoom(query, group.filter(endpoint => endpoint.isUsable())));
        return group.map(endpoint => {
            const cost = costs.get(endpoint);
            if (cost !== undefined) {
                return { endpoint, cost, obstacle: cost.requiredTime > longestWait ? EndpointObstacle.TooLongWait : undefined };
            }
            const obstacle = findUnusableObstacle(endpoint)
                ?? (admitted.has(endpoint) ? findObstacle(endpoint, query, limit, now) : this.admission.findObstacle?.(query, endpoint));
            return { endpoint, cost, obstacle: obstacle ?? EndpointObstacle.Excluded };
        });
    }

    private computeLongestWait(query: PlacementQuery): number {
        return Math.min(query.timeLeft * usableShareOfTimeLeft, this.getPolicy(query.service).computeLongestWait(query));
    }

    private listOptions(group: readonly FleetEndpoint[], query: PlacementQuery): PlacementOption[] {
        const all = this.directory.listEndpoints(query.service);
        const policy = this.getPolicy(query.service);
        const candidates = this.listCandidates(group, query);
        const costs = policy.computeCosts(candidates, query, all);
        return candidates.map((endpoint, index) => ({ endpoint, ...costs[index] as PlacementCost }));
    }

    /**
     * Picks the options to compare: the one with the lowest fixed cost and some random ones. If all were compared, nodes with
     * the same slightly outdated load reports would send every request to one endpoint until the next reports arrive.
     */
    private pickSample(options: readonly PlacementOption[]): PlacementOption[] {
        if (options.length <= sampleSize) {
            return [...options];
        }
        const lowestFixedCost = options.reduce((best, option) => (option.fixedCost < best.fixedCost ? option : best));
        const sample = [lowestFixedCost];
        const rest = options.filter(option => option !== lowestFixedCost);
        while (sample.length < sampleSize) {
            const [picked] = rest.splice(this.random.pickIndex(rest.length), 1);
            sample.push(picked as PlacementOption);
        }
        return sample;
    }

    /** Returns the option with the lowest cost, a random one among nearly equal costs; undefined when there are no options. */
    private selectBest(options: readonly PlacementOption[]): PlacementOption | undefined {
        let best: PlacementOption | undefined;
        let equalCount = 1;
        for (const option of options) {
            const isEqual = best !== undefined && Math.abs(option.cost - best.cost) < equalCostToleranceMilliseconds;
            equalCount = isEqual ? equalCount + 1 : 1;
            const isPicked = best === undefined || (isEqual ? this.random.pickIndex(equalCount) === 0 : option.cost < best.cost);
            if (isPicked) {
                best = option;
            }
        }
        return best;
    }

    /** Returns the usable endpoints of a group with capacity to which the request was not sent yet, preferably those not excluded. */
    private listCandidates(group: readonly FleetEndpoint[], query: PlacementQuery): FleetEndpoint[] {
        const now = this.clock.getMonotonicTime();
        const limit = this.computeConnectionShare(query.service);
        const usable = group.filter(endpoint => endpoint.isUsable());
        const withRoom = this.admission.selectWithRoom(query, usable);
        const untried = withRoom.filter(endpoint => findObstacle(endpoint, query, limit, now) === undefined);
        const notExcluded = untried.filter(endpoint => !endpoint.isExcluded(now));
        // Endpoints excluded because they did not respond are used only when no other endpoint is left.
        return notExcluded.length > 0 ? notExcluded : untried;
    }

    /** Returns how many connections this node may open to each endpoint of a service. */
    private computeConnectionShare(service: string): number {
        return Math.max(1, this.getConnectionLimit(service) - reservedConnections);
    }
}

function createRoomFailure(service: string, { share, wait }: RoomRefusal): Failure {
    const served = Math.round(share * percentPerShare);
    return Failure.create(Verdict.NotRun, Diagnostics.Service_0_is_short_of_room_1_percent_are_served, service, served)
        .setRetryAfter(wait / millisecondsPerSecond);
}

function findUnusableObstacle(endpoint: FleetEndpoint): EndpointObstacle | undefined {
    if (endpoint.isRemoved) {
        return EndpointObstacle.Removed;
    }
    return endpoint.isUsable() ? undefined : EndpointObstacle.Leaving;
}

/** Returns why an endpoint that is usable and admitted does not get a request; undefined if it may. */
function findObstacle(
    endpoint: FleetEndpoint,
    query: PlacementQuery,
    connectionLimit: number,
    now: number,
): EndpointObstacle | undefined {
    if (query.triedEndpoints.has(endpoint)) {
        return EndpointObstacle.Tried;
    }
    if (endpoint.isFull(now)) {
        return now < endpoint.getPausedUntil() ? EndpointObstacle.Paused : EndpointObstacle.Full;
    }
    return endpoint.running < connectionLimit ? undefined : EndpointObstacle.ConnectionLimit;
}
