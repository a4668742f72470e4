import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { RandomSource } from "../common/random.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { Placement, PlacementCost, PlacementPolicy, PlacementQuery } from "./types.js";

/** Parts of the caller's time left that the expected time may take: what is expected later than that is not served in time. */
const usableShareOfTimeLeft = 0.9;
/** Costs that differ by less, in milliseconds, count as equal, so that nodes with the same reports spread their choices. */
const equalCostMilliseconds = 2;
/** Requests of this node that one of an endpoint's connections may wait for; the limit of connections is shared by all nodes. */
const spareConnections = 2;

/** Options that are compared for one request: two by chance beside the nearest keep queues nearly as short as all would. */
const sampleSize = 4;

type PlacementOption = Placement & PlacementCost;

/** Reads how many connections one node may open to an endpoint of a service. */
export type ConnectionLimitSource = (service: string) => number;

/** Says which endpoints may serve a request. */
export interface EndpointTraffic {
    /** Returns groups of endpoints in the order in which they are to be tried. */
    listGroups(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): (readonly FleetEndpoint[])[];
}

/** Any endpoint may serve any request. */
const allEndpoints: EndpointTraffic = { listGroups: (_query, endpoints) => [endpoints] };

/** Chooses the endpoint for each request among those that may have it. */
export class EndpointChooser {
    private constructor(
        private readonly directory: EndpointDirectory,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly getPolicy: (service: string) => PlacementPolicy,
        private readonly getConnectionLimit: ConnectionLimitSource,
        private readonly traffic: EndpointTraffic,
    ) {}

    static create(
        directory: EndpointDirectory,
        clock: Clock,
        random: RandomSource,
        getPolicy: (service: string) => PlacementPolicy,
        getConnectionLimit: ConnectionLimitSource,
        traffic: EndpointTraffic = allEndpoints,
    ): EndpointChooser {
        return new EndpointChooser(directory, clock, random, getPolicy, getConnectionLimit, traffic);
    }

    /** Chooses an endpoint, or fails when none is there or none is expected to serve the request in time. */
    choosePlacement(query: PlacementQuery): Result<Placement, Failure> {
        let result: Result<Placement, Failure> = Err(
            Failure.create(Verdict.NotRun, Diagnostics.No_endpoint_is_available_for_service_0, query.service),
        );
        for (const group of this.traffic.listGroups(query, this.directory.listEndpoints(query.service))) {
            const placement = this.choosePlacementAmong(group, query);
            if (placement?.ok === true) {
                return placement;
            }
            result = placement ?? result;
        }
        return result;
    }

    /** Chooses among endpoints of which each may have the request; undefined when none is available. */
    private choosePlacementAmong(group: readonly FleetEndpoint[], query: PlacementQuery): Result<Placement, Failure> | undefined {
        const best = this.selectBest(this.pickSample(this.listOptions(group, query)));
        if (best === undefined) {
            return undefined;
        }
        const longest = Math.min(query.timeLeft * usableShareOfTimeLeft, this.getPolicy(query.service).computeLongestWait(query));
        if (best.expectedTime > longest) {
            const wait = Math.round(best.expectedTime);
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Expected_wait_of_0_milliseconds_passes_the_deadline, wait));
        }
        return Ok(best);
    }

    private listOptions(group: readonly FleetEndpoint[], query: PlacementQuery): PlacementOption[] {
        const all = this.directory.listEndpoints(query.service);
        const policy = this.getPolicy(query.service);
        const candidates = this.listCandidates(group, query);
        const costs = policy.computeCosts(candidates, query, all);
        return candidates.map((endpoint, index) => ({ endpoint, ...costs[index] as PlacementCost }));
    }

    /**
     * Picks the options that are compared: the one that suits best whatever its load, and some others by chance. Nodes that
     * know the same loads, all a little old, would otherwise send everything to one endpoint until they hear of it.
     */
    private pickSample(options: readonly PlacementOption[]): PlacementOption[] {
        if (options.length <= sampleSize) {
            return [...options];
        }
        const nearest = options.reduce((best, option) => (option.fixedCost < best.fixedCost ? option : best));
        const sample = [nearest];
        const rest = options.filter(option => option !== nearest);
        while (sample.length < sampleSize) {
            const [picked] = rest.splice(this.random.pickIndex(rest.length), 1);
            sample.push(picked as PlacementOption);
        }
        return sample;
    }

    private selectBest(options: readonly PlacementOption[]): PlacementOption | undefined {
        let best: PlacementOption | undefined;
        let equalCount = 1;
        for (const option of options) {
            const isEqual = best !== undefined && Math.abs(option.cost - best.cost) < equalCostMilliseconds;
            equalCount = isEqual ? equalCount + 1 : 1;
            const isPicked = best === undefined || (isEqual ? this.random.pickIndex(equalCount) === 0 : option.cost < best.cost);
            if (isPicked) {
                best = option;
            }
        }
        return best;
    }

    private listCandidates(group: readonly FleetEndpoint[], query: PlacementQuery): FleetEndpoint[] {
        const now = this.clock.getMonotonicTime();
        const limit = Math.max(1, this.getConnectionLimit(query.service) - spareConnections);
        const usable = group.filter(endpoint => endpoint.isUsable());
        const untried = usable.filter(endpoint => !query.tried.has(endpoint) && !endpoint.isFull(now) && endpoint.running < limit);
        const ready = untried.filter(endpoint => !endpoint.isExcluded(now));
        // Any endpoint is better than none.
        return ready.length > 0 ? ready : untried;
    }
}
