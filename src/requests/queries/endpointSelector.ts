import { Priority, RoutingWeights } from "../../config/types.js";
import { EndpointState } from "../../endpoints/types.js";
import { PurchaseKind } from "../../provider/types.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { PrefixIndex, PromptPrefixes } from "../prefixIndex.js";

/** Requirements and preferences of a request for an endpoint. */
export interface EndpointQuery {
    readonly group: string;
    /** Model that the endpoint must serve, or undefined for plain services. */
    readonly model: string | undefined;
    readonly priority: Priority;
    readonly weights: RoutingWeights;
    readonly prefixes: PromptPrefixes | undefined;
    /** Names of endpoints that the request must not be sent to again. */
    readonly excluded: ReadonlySet<string>;
    /** Name of the only endpoint allowed, or undefined if any is. */
    readonly pinnedEndpoint: string | undefined;
    /** If above 0, endpoints with an announced removal are excluded and reclaimable ones penalized; 0 if the request can be moved. */
    readonly minimumStayMilliseconds: number;
}

/** Chooses the endpoint for a request. */
export interface EndpointSelector {
    /** Returns an endpoint with a free slot, or undefined if there is none now. */
    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined;
}

/** Failure domain and region of a node; routing prefers endpoints in the same ones. */
export interface NodeLocation {
    readonly failureDomain: string;
    readonly region: string;
}

/** Share of an endpoint's capacity that drafts may use, so that lookups find free slots. */
const draftCapacityShare = 0.75;
/** A node sends requests to an endpoint of another failure domain only while its load is below this share of its capacity. */
const remoteCapacityShare = 0.6;
/** Score penalty of an endpoint in another failure domain; 1 equals the load of a full endpoint. */
const domainDistancePenalty = 1;
/** Score penalty of an endpoint in another region. */
const regionDistancePenalty = 3;
/** Score penalty of a reclaimable host for a request that cannot be moved. */
const reclaimablePenalty = 1;
/** Prompt length in characters from which a cached prefix has its full weight. */
const fullPrefixCharacters = 1_024;

/** Returns the endpoints that a request may be sent to now; all have a free slot, except a pinned endpoint. */
export function listCandidates(registry: EndpointRegistry, location: NodeLocation, query: EndpointQuery): EndpointEntry[] {
    return registry.listGroup(query.group).filter(entry => isCandidate(registry, location, query, entry));
}

function isCandidate(registry: EndpointRegistry, location: NodeLocation, query: EndpointQuery, entry: EndpointEntry): boolean {
    if (query.excluded.has(entry.name) || !registry.isEligible(entry)) {
        return false;
    }
    if (query.pinnedEndpoint !== undefined) {
        // A suspect request waited for its endpoint's suspect lock and needs no free slot.
        return entry.name === query.pinnedEndpoint;
    }
    if (query.model !== undefined && entry.load !== undefined && entry.load.models.length > 0 && !entry.load.models.includes(query.model)) {
        return false;
    }
    if (query.minimumStayMilliseconds > 0 && entry.leavesAt !== undefined) {
        return false;
    }
    if (registry.getFreeSlots(entry) < 1) {
        return false;
    }
    return hasCapacityShareLeft(registry, location, query, entry);
}

function hasCapacityShareLeft(registry: EndpointRegistry, location: NodeLocation, query: EndpointQuery, entry: EndpointEntry): boolean {
    const load = registry.getLoadShare(entry);
    if (query.priority === Priority.Draft && load >= draftCapacityShare) {
        return false;
    }
    const isRemote = entry.description.failureDomain !== location.failureDomain;
    return !isRemote || load < remoteCapacityShare;
}

/** Selects the endpoint with the lowest sum of load, distance, price and cached prefixes, weighted by the service's settings. */
export class WeightedSelector implements EndpointSelector {
    private constructor(
        private readonly registry: EndpointRegistry,
        private readonly prefixIndex: PrefixIndex,
        private readonly location: NodeLocation,
    ) {}

    static create(registry: EndpointRegistry, prefixIndex: PrefixIndex, location: NodeLocation): WeightedSelector {
        return new WeightedSelector(registry, prefixIndex, location);
    }

    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined {
        const candidates = listCandidates(this.registry, this.location, query);
        const highestPrice = candidates.reduce((highest, entry) => Math.max(highest, entry.description.pricePerHour), 0);
        let best: EndpointEntry | undefined;
        let bestScore = Infinity;
        for (const entry of candidates) {
            const score = this.computeScore(query, entry, highestPrice);
            if (score < bestScore) {
                best = entry;
                bestScore = score;
            }
        }
        return best;
    }

    /** Computes an endpoint's score; the lowest score is best. */
    private computeScore(query: EndpointQuery, entry: EndpointEntry, highestPrice: number): number {
        const { weights } = query;
        const load = this.registry.getLoadShare(entry);
        const price = highestPrice > 0 ? entry.description.pricePerHour / highestPrice : 0;
        const risk = query.minimumStayMilliseconds > 0 && entry.description.purchase === PurchaseKind.Reclaimable ? reclaimablePenalty : 0;
        return weights.latency * (load + this.getDistancePenalty(entry)) + weights.cost * price
            - weights.prefix * this.getPrefixGain(query, entry)
            + risk;
    }

    private getDistancePenalty(entry: EndpointEntry): number {
        if (entry.description.failureDomain === this.location.failureDomain) {
            return 0;
        }
        return entry.description.region === this.location.region ? domainDistancePenalty : regionDistancePenalty;
    }

    private getPrefixGain(query: EndpointQuery, entry: EndpointEntry): number {
        if (query.prefixes === undefined) {
            return 0;
        }
        const share = this.prefixIndex.getCachedShare(query.prefixes, entry.name);
        return share * Math.min(1, query.prefixes.length / fullPrefixCharacters);
    }
}

/** Selects the candidate with the least load. Baseline for measurements. */
export class LeastLoadSelector implements EndpointSelector {
    private constructor(private readonly registry: EndpointRegistry, private readonly location: NodeLocation) {}

    static create(registry: EndpointRegistry, location: NodeLocation): LeastLoadSelector {
        return new LeastLoadSelector(registry, location);
    }

    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined {
        const candidates = listCandidates(this.registry, this.location, query);
        candidates.sort((left, right) => this.registry.getLoadShare(left) - this.registry.getLoadShare(right));
        return candidates[0];
    }
}

/** Selects the candidates in turn. Baseline for measurements. */
export class RoundRobinSelector implements EndpointSelector {
    private selectionCount = 0;

    private constructor(private readonly registry: EndpointRegistry, private readonly location: NodeLocation) {}

    static create(registry: EndpointRegistry, location: NodeLocation): RoundRobinSelector {
        return new RoundRobinSelector(registry, location);
    }

    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined {
        const candidates = listCandidates(this.registry, this.location, query);
        this.selectionCount += 1;
        return candidates[this.selectionCount % Math.max(1, candidates.length)];
    }
}

/** Returns the endpoints that could serve a query, regardless of free slots. */
export function listPossibleEndpoints(registry: EndpointRegistry, query: EndpointQuery): EndpointEntry[] {
    return registry.listGroup(query.group).filter(entry => {
        const isUsable = entry.state === EndpointState.Live || entry.state === EndpointState.Suspect;
        const hasModel = query.model === undefined || entry.load === undefined || entry.load.models.length === 0
            || entry.load.models.includes(query.model);
        return isUsable && hasModel && !query.excluded.has(entry.name);
    });
}
