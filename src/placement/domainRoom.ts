import { FleetEndpoint } from "../fleet/fleetEndpoint.js";

/** Utilization up to which a failure domain has room for its own requests, so that the way to another one gains them nothing. */
const roomyUtilization = 0.5;
/** Difference in utilization at which only the price of the way itself is left of the penalty. */
const fullDifference = 0.4;
/** Share of the penalty that is the price of the way: its latency and its bytes. The rest keeps requests at home while there is room. */
const wayShare = 0.2;

/** Requests and slots of the endpoints in one failure domain. */
interface DomainLoad {
    requests: number;
    slots: number;
}

/**
 * Reduces the penalty of another failure domain where this node's own one is short of room and the other has some. Applies only to
 * services whose endpoints state how slow their hosts are; the penalty of all others stays as it is set.
 */
export class DomainRoom {
    private constructor(private readonly loads: ReadonlyMap<string, DomainLoad>, private readonly ownDomain: string) {}

    /** Sums up the load of a service's endpoints, with the number of requests that each is thought to have. */
    static create(
        endpoints: readonly FleetEndpoint[],
        ownDomain: string,
        countRequests: (endpoint: FleetEndpoint) => number,
    ): DomainRoom {
        const loads = new Map<string, DomainLoad>();
        if (!endpoints.some(endpoint => endpoint.slowness.isKnown())) {
            return new DomainRoom(loads, ownDomain);
        }
        for (const endpoint of endpoints.filter(candidate => candidate.isUsable())) {
            const load = loads.get(endpoint.entry.failureDomain) ?? { requests: 0, slots: 0 };
            load.requests += countRequests(endpoint);
            load.slots += endpoint.entry.slots;
            loads.set(endpoint.entry.failureDomain, load);
        }
        return new DomainRoom(loads, ownDomain);
    }

    /** Returns the share of the domain penalty that a request to an endpoint in the given failure domain costs; 0 in this node's own. */
    computePenaltyShare(domain: string): number {
        if (domain === this.ownDomain) {
            return 0;
        }
        if (this.loads.size === 0) {
            return 1;
        }
        const shortage = this.computeUtilization(this.ownDomain) - Math.max(roomyUtilization, this.computeUtilization(domain));
        const reduction = Math.min(1, Math.max(0, shortage / fullDifference));
        return 1 - (1 - wayShare) * reduction;
    }

    /** Returns the share of a domain's slots that are taken, beyond 1 where requests wait; 1 for a domain without endpoints. */
    private computeUtilization(domain: string): number {
        const load = this.loads.get(domain);
        return load === undefined ? 1 : load.requests / load.slots;
    }
}
