/** Share of the needed endpoints that must remain when the failure domain with the most reclaimable ones loses all of them. */
const servingShareAfterReclaim = 0.6;

/** Price and reclaimable endpoints of one failure domain. */
export interface DomainFleet {
    readonly failureDomain: string;
    /** Relative price; cheaper failure domains are filled first. */
    readonly price: number;
    /** Reclaimable endpoints that serve or are starting. */
    readonly reclaimable: number;
    /** Whether further reclaimable endpoints are assumed to be available there. */
    readonly isReclaimableAvailable: boolean;
}

/** Required size and bounds of a service's fleet, in endpoints. */
export interface FleetNeeds {
    /** Endpoints required by the load. */
    readonly needed: number;
    /** Fewest endpoints in each failure domain, reclaimable and on-demand ones together. */
    readonly minimum: number;
    /** Most endpoints in each failure domain, reclaimable and on-demand ones together. */
    readonly maximum: number;
}

/** Planned number of endpoints of each kind in one failure domain. */
export interface DomainTarget {
    readonly failureDomain: string;
    reclaimable: number;
    onDemand: number;
}

/**
 * Plans a fleet of reclaimable endpoints, spread over the failure domains. On-demand endpoints are added where reclaimable
 * ones are not available, and so that enough endpoints remain when one failure domain loses all its reclaimable ones.
 */
export class FleetPlanner {
    private constructor() {}

    static create(): FleetPlanner {
        return new FleetPlanner();
    }

    /** Returns a target for each failure domain, the cheapest first. */
    computeTargets(domains: readonly DomainFleet[], needs: FleetNeeds): DomainTarget[] {
        const byPrice = [...domains].sort((left, right) => left.price - right.price);
        const targets = byPrice.map(domain => ({
            failureDomain: domain.failureDomain,
            // Reclaimable endpoints that already serve are kept where no further ones are available.
            reclaimable: domain.isReclaimableAvailable ? 0 : Math.min(domain.reclaimable, needs.maximum),
            onDemand: 0,
        }));
        const available = targets.filter((_target, index) => byPrice[index]?.isReclaimableAvailable === true);
        this.addReclaimable(available, targets, needs);
        this.addOnDemand(targets, domains, needs);
        return targets;
    }

    /** Spreads the missing reclaimable endpoints evenly over the failure domains where they are available, the cheapest first. */
    private addReclaimable(available: DomainTarget[], targets: readonly DomainTarget[], needs: FleetNeeds): void {
        let missing = needs.needed - targets.reduce((sum, target) => sum + target.reclaimable, 0);
        while (missing > 0) {
            const least = selectSmallest(available.filter(target => target.reclaimable < needs.maximum), target => target.reclaimable);
            if (least === undefined) {
                return;
            }
            least.reclaimable += 1;
            missing -= 1;
        }
    }

    /** Adds on-demand endpoints for missing reclaimable ones, for the loss of a failure domain and up to the minimum. */
    private addOnDemand(targets: DomainTarget[], domains: readonly DomainFleet[], needs: FleetNeeds): void {
        const serving = domains.map(domain => domain.reclaimable);
        const total = serving.reduce((sum, count) => sum + count, 0);
        const remainingAfterReclaim = total - Math.max(0, ...serving);
        let missing = Math.max(needs.needed - total, Math.ceil(needs.needed * servingShareAfterReclaim) - remainingAfterReclaim);
        while (missing > 0) {
            const open = targets.filter(target => target.onDemand + target.reclaimable < needs.maximum);
            const least = selectSmallest(open, target => target.onDemand);
            if (least === undefined) {
                break;
            }
            least.onDemand += 1;
            missing -= 1;
        }
        for (const target of targets) {
            target.onDemand = Math.max(target.onDemand, needs.minimum - target.reclaimable);
        }
    }
}

/** Returns the first target with the smallest count. */
function selectSmallest(targets: readonly DomainTarget[], getCount: (target: DomainTarget) => number): DomainTarget | undefined {
    return targets.reduce<DomainTarget | undefined>(
        (best, target) => (best === undefined || getCount(target) < getCount(best) ? target : best),
        undefined,
    );
}
