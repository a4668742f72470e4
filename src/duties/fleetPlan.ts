/** What is wanted and there in one failure domain. */
export interface DomainFleet {
    readonly failureDomain: string;
    readonly price: number;
    /** Reclaimable endpoints that serve or boot. */
    readonly reclaimable: number;
    /** On-demand endpoints that serve or boot. */
    readonly onDemand: number;
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
    readonly reclaimable: number;
    readonly onDemand: number;
}

/**
 * Plans a fleet: as many reclaimable endpoints as let the load be carried when one whole failure domain is reclaimed, and
 * on-demand ones for what reclaimable ones cannot cover.
 */
export class FleetPlan {
    private constructor() {}

    static create(): FleetPlan {
        return new FleetPlan();
    }

    computeTargets(domains: readonly DomainFleet[], needs: FleetNeeds): DomainTarget[] {
        const offering = domains.filter(domain => domain.hasReclaimable);
        const perDomain = offering.length > 1
            ? Math.ceil(needs.needed / (offering.length - 1))
            : needs.needed;
        const targets = domains.map(domain => ({
            failureDomain: domain.failureDomain,
            price: domain.price,
            // What serves is kept also where no more can be had.
            reclaimable: Math.min(needs.maximum, domain.hasReclaimable ? perDomain : Math.min(domain.reclaimable, perDomain)),
            onDemand: 0,
        }));
        this.addOnDemand(targets, domains, needs);
        return targets.map(({ failureDomain, reclaimable, onDemand }) => ({ failureDomain, reclaimable, onDemand }));
    }

    /** Covers with on-demand endpoints what would be missing if the largest reclaimable part went, the cheapest domain first. */
    private addOnDemand(
        targets: { failureDomain: string; price: number; reclaimable: number; onDemand: number; }[],
        domains: readonly DomainFleet[],
        needs: FleetNeeds,
    ): void {
        // Reclaimable endpoints that are only ordered do not serve yet, and may not be had.
        const serving = domains.map(domain => domain.reclaimable);
        const certain = serving.reduce((sum, count) => sum + count, 0) - Math.max(0, ...serving);
        let missing = Math.max(0, needs.needed - certain);
        const byPrice = [...targets].sort((left, right) => left.price - right.price);
        while (missing > 0) {
            const open = byPrice.filter(target => target.onDemand + target.reclaimable < needs.maximum);
            const least = open.reduce<typeof open[number] | undefined>(
                (best, target) => (best === undefined || target.onDemand < best.onDemand ? target : best),
                undefined,
            );
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
