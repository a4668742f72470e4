import { Priority, RoutingWeights } from "../../config/types.js";
import { EndpointState } from "../../endpoints/types.js";
import { PurchaseKind } from "../../provider/types.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { PrefixIndex, PromptPrefixes } from "../prefixIndex.js";

/** What a request needs of an endpoint. */
export interface EndpointQuery {
    readonly group: string;
    /** Model that the endpoint must serve, or undefined for plain services. */
    readonly model: string | undefined;
    readonly priority: Priority;
    readonly weights: RoutingWeights;
    readonly prefixes: PromptPrefixes | undefined;
    /** Endpoints that the request must not go to again. */
    readonly excluded: ReadonlySet<string>;
    /** The only endpoint allowed, or undefined for any. */
    readonly pinned: string | undefined;
    /** Time that the endpoint must stay, in milliseconds; 0 when the request can be moved. */
    readonly mustStay: number;
}

/** Chooses the endpoint for a request. */
export interface EndpointSelector {
    /** Returns an endpoint with room, or undefined when there is none now. */
    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined;
}

/** Where a node stands; routing prefers endpoints nearby. */
export interface NodePlace {
    readonly failureDomain: string;
    readonly region: string;
}

/** Share of an endpoint's capacity that drafts may use, so that a lookup finds room. */
const draftCapacityShare = 0.75;
/** Share of a foreign endpoint's capacity up to which a node may use it. */
const spillCapacityShare = 0.6;
/** Score added for an endpoint in another failure domain, in units of a full endpoint. */
const domainDistance = 1;
/** Score added for an endpoint in another region. */
const regionDistance = 3;
/** Score added for sending work that may not be repeated to a reclaimable host. */
const reclaimableRisk = 1;
/** Prompt length, in characters, from which a cached prefix counts in full. */
const fullPrefixCharacters = 1_024;

/** Returns the endpoints with room that may get a request. */
export function listCandidates(registry: EndpointRegistry, place: NodePlace, query: EndpointQuery): EndpointEntry[] {
    return registry.listGroup(query.group).filter(entry => isCandidate(registry, place, query, entry));
}

function isCandidate(registry: EndpointRegistry, place: NodePlace, query: EndpointQuery, entry: EndpointEntry): boolean {
    if (query.excluded.has(entry.name) || !registry.isEligible(entry)) {
        return false;
    }
    if (query.pinned !== undefined) {
        // A request under suspicion waits for its own endpoint's lane, not for room.
        return entry.name === query.pinned;
    }
    if (query.model !== undefined && entry.load !== undefined && entry.load.models.length > 0 && !entry.load.models.includes(query.model)) {
        return false;
    }
    if (query.mustStay > 0 && entry.leavesAt !== undefined) {
        return false;
    }
    if (registry.getRoom(entry) < 1) {
        return false;
    }
    return hasShareLeft(registry, place, query, entry);
}

function hasShareLeft(registry: EndpointRegistry, place: NodePlace, query: EndpointQuery, entry: EndpointEntry): boolean {
    const load = registry.getLoadShare(entry);
    if (query.priority === Priority.Draft && load >= draftCapacityShare) {
        return false;
    }
    const isForeign = entry.description.failureDomain !== place.failureDomain;
    return !isForeign || load < spillCapacityShare;
}

/** Weighs load, distance, price and cached prefixes by the service's own weights. */
export class WeightedSelector implements EndpointSelector {
    private constructor(
        private readonly registry: EndpointRegistry,
        private readonly prefixIndex: PrefixIndex,
        private readonly place: NodePlace,
    ) {}

    static create(registry: EndpointRegistry, prefixIndex: PrefixIndex, place: NodePlace): WeightedSelector {
        return new WeightedSelector(registry, prefixIndex, place);
    }

    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined {
        const candidates = listCandidates(this.registry, this.place, query);
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

    /** Computes a score; the lowest is best. */
    private computeScore(query: EndpointQuery, entry: EndpointEntry, highestPrice: number): number {
        const { weights } = query;
        const load = this.registry.getLoadShare(entry);
        const price = highestPrice > 0 ? entry.description.pricePerHour / highestPrice : 0;
        const risk = query.mustStay > 0 && entry.description.purchase === PurchaseKind.Reclaimable ? reclaimableRisk : 0;
        return weights.latency * (load + this.getDistance(entry)) + weights.cost * price - weights.prefix * this.getPrefixGain(query, entry)
            + risk;
    }

    private getDistance(entry: EndpointEntry): number {
        if (entry.description.failureDomain === this.place.failureDomain) {
            return 0;
        }
        return entry.description.region === this.place.region ? domainDistance : regionDistance;
    }

    private getPrefixGain(query: EndpointQuery, entry: EndpointEntry): number {
        if (query.prefixes === undefined) {
            return 0;
        }
        const share = this.prefixIndex.getCachedShare(query.prefixes, entry.name);
        return share * Math.min(1, query.prefixes.length / fullPrefixCharacters);
    }
}

/** Takes the candidate with the least load. A baseline for measurements. */
export class LeastLoadSelector implements EndpointSelector {
    private constructor(private readonly registry: EndpointRegistry, private readonly place: NodePlace) {}

    static create(registry: EndpointRegistry, place: NodePlace): LeastLoadSelector {
        return new LeastLoadSelector(registry, place);
    }

    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined {
        const candidates = listCandidates(this.registry, this.place, query);
        candidates.sort((left, right) => this.registry.getLoadShare(left) - this.registry.getLoadShare(right));
        return candidates[0];
    }
}

/** Takes the candidates in turn. A baseline for measurements. */
export class RoundRobinSelector implements EndpointSelector {
    private turn = 0;

    private constructor(private readonly registry: EndpointRegistry, private readonly place: NodePlace) {}

    static create(registry: EndpointRegistry, place: NodePlace): RoundRobinSelector {
        return new RoundRobinSelector(registry, place);
    }

    selectEndpoint(query: EndpointQuery): EndpointEntry | undefined {
        const candidates = listCandidates(this.registry, this.place, query);
        this.turn += 1;
        return candidates[this.turn % Math.max(1, candidates.length)];
    }
}

/** Returns the endpoints that could serve a query if they had room. */
export function listPossibleEndpoints(registry: EndpointRegistry, query: EndpointQuery): EndpointEntry[] {
    return registry.listGroup(query.group).filter(entry => {
        const isUsable = entry.state === EndpointState.Live || entry.state === EndpointState.Suspect;
        const hasModel = query.model === undefined || entry.load === undefined || entry.load.models.length === 0
            || entry.load.models.includes(query.model);
        return isUsable && hasModel && !query.excluded.has(entry.name);
    });
}
