/** Share of the needed endpoints that must still serve when the failure domain with most reclaimable ones loses them all. */
const shareAfterReclaim = 0.6;

/** What is wanted and there in one failure domain. */
export interface DomainFleet {
    readonly failureDomain: string;
    readonly price: number;
    /** Reclaimable endpoints that serve or are about to. */
    readonly reclaimable: number;
    /** Whether reclaimable endpoints can be had there now, as far as is known. */
    readonly hasReclaimable: boolean;
}

/** Bounds and needs of a service's fleet. */
export interface FleetNeeds {
    /** Endpoints that the load needs. */
    readonly needed: number;
    /** Bounds for each failure domain, both kinds together. */
    readonly minimum: number;
    readonly maximum: number;
}

/** Endpoints to have in one failure domain. */
export interface DomainTarget {
    readonly failureDomain: string;
    reclaimable: number;
    onDemand: number;
}

/**
 * Plans a fleet of reclaimable endpoints, spread over the failure domains, and of on-demand ones for what reclaimable ones
 * do not cover: what cannot be had, and what the loss of one whole failure domain would leave too little of.
 */
export class FleetPlan {
    private constructor() {}

    static create(): FleetPlan {
        return new FleetPlan();
    }

    computeTargets(domains: readonly DomainFleet[], needs: FleetNeeds): DomainTarget[] {
        const byPrice = [...domains].sort((left, right) => left.price - right.price);
        const targets = byPrice.map(domain => ({
            failureDomain: domain.failureDomain,
            // What serves is kept also where no more can be had.
            reclaimable: domain.hasReclaimable ? 0 : Math.min(domain.reclaimable, needs.maximum),
            onDemand: 0,
        }));
        const offering = targets.filter((_target, index) => byPrice[index]?.hasReclaimable === true);
        this.addReclaimable(offering, targets, needs);
        this.addOnDemand(targets, domains, needs);
        return targets;
    }

    /** Spreads reclaimable endpoints evenly over the failure domains that offer them, the cheapest first. */
    private addReclaimable(offering: DomainTarget[], targets: readonly DomainTarget[], needs: FleetNeeds): void {
        let missing = needs.needed - targets.reduce((sum, target) => sum + target.reclaimable, 0);
        while (missing > 0) {
            const least = selectSmallest(offering.filter(target => target.reclaimable < needs.maximum), target => target.reclaimable);
            if (least === undefined) {
                return;
            }
            least.reclaimable += 1;
            missing -= 1;
        }
    }

    private addOnDemand(targets: DomainTarget[], domains: readonly DomainFleet[], needs: FleetNeeds): void {
        const serving = domains.map(domain => domain.reclaimable);
        const total = serving.reduce((sum, count) => sum + count, 0);
        const certain = total - Math.max(0, ...serving);
        let missing = Math.max(needs.needed - total, Math.ceil(needs.needed * shareAfterReclaim) - certain);
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
