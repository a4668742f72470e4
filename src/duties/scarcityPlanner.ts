import { DomainTarget } from "./fleetPlanner.js";

/** What a service can have in one failure domain, and at what price. */
export interface DomainSupply {
    readonly failureDomain: string;
    /** Price of an on-demand endpoint for a second. */
    readonly price: number;
    /** Reclaimable endpoints that serve or are starting. */
    readonly reclaimable: number;
    /** Whether further reclaimable endpoints are assumed to be available there. */
    readonly isReclaimableAvailable: boolean;
    /** Whether those that it has must be kept, since they might not be had again. */
    readonly isScarce: boolean;
}

/** What a fleet is planned for. Worths and prices are in the unit of the prices of endpoints, for a second. */
export interface FleetDemand {
    /** Endpoints that the demand keeps busy as far as it lasts, and at its peaks. */
    readonly needed: number;
    readonly peak: number;
    /** Share of the demand that is urgent; it is served first. */
    readonly urgentShare: number;
    /** Worth of what one endpoint serves of the demand that is not urgent. */
    readonly worth: number;
    /** Worth of what one endpoint serves of the urgent demand. */
    readonly urgentWorth: number;
    /** Price of a reclaimable endpoint as a share of that of an on-demand one; undefined if none can be ordered. */
    readonly reclaimablePrice: number | undefined;
    /** Share of the time for which a failure domain is expected to lack the reclaimable endpoints that it lost. */
    readonly lostTimeShare: number;
    /** Fewest and most endpoints in each failure domain, of both kinds together. */
    readonly minimum: number;
    readonly maximum: number;
}

/** A plan, and what is expected of it. */
export interface FleetPlan {
    readonly targets: readonly DomainTarget[];
    /** Price of the planned endpoints, for a second. */
    readonly price: number;
    /** Worth of the demand that is expected to go unserved, for a second. */
    readonly expectedLoss: number;
    /** Failure domain whose reclaim would leave the largest part of the demand unserved; undefined if none has reclaimable endpoints. */
    readonly fearedDomain: string | undefined;
    /** Endpoints that would then be missing. */
    readonly fearedShortfall: number;
}

/** A domain of a plan under work. */
interface PlannedDomain {
    readonly supply: DomainSupply;
    /** Fewest and most reclaimable endpoints that it can have. */
    readonly floor: number;
    readonly ceiling: number;
    reclaimable: number;
    onDemand: number;
}

/** Part of a plan's cost by which another one must be better to replace it: each change is a call, and caches are lost by it. */
const leastImprovement = 0.1;
/** Share of the time for which demand is assumed to be at its peak. */
const peakTimeShare = 0.1;
/** Number of steps in which the search goes through the size of a large fleet; one endpoint more or less matters little there. */
const searchSteps = 16;

/**
 * Plans the endpoints of a service by weighing their price against the worth of the demand that would go unserved. A reclaim takes all
 * reclaimable endpoints of a failure domain at once, so the plan adds up what would be lost with each domain, and how often that is
 * feared. On-demand endpoints follow only where that outweighs their price, and cheap domains are filled first as far as the loss
 * of one leaves enough for what is urgent.
 */
export class ScarcityPlanner {
    private readonly domains: readonly PlannedDomain[];
    private readonly byPrice: readonly PlannedDomain[];

    private constructor(supplies: readonly DomainSupply[], private readonly demand: FleetDemand) {
        this.domains = supplies.map(supply => {
            const had = Math.min(supply.reclaimable, demand.maximum);
            const ceiling = supply.isReclaimableAvailable ? demand.maximum : had;
            const canHave = demand.reclaimablePrice !== undefined;
            return { supply, floor: canHave && supply.isScarce ? had : 0, ceiling: canHave ? ceiling : 0, reclaimable: 0, onDemand: 0 };
        });
        this.byPrice = [...this.domains].sort((left, right) => left.supply.price - right.supply.price);
    }

    /** Computes the plan for some failure domains, in their order. `previous` stays unless another plan is clearly better. */
    static computePlan(supplies: readonly DomainSupply[], demand: FleetDemand, previous?: readonly DomainTarget[]): FleetPlan {
        const planner = new ScarcityPlanner(supplies, demand);
        const best = planner.findBest();
        planner.applyTargets(previous ?? best);
        const previousCost = planner.isAllowed() ? planner.computeCost() : Infinity;
        planner.applyTargets(best);
        if (previous !== undefined && previousCost <= planner.computeCost() * (1 + leastImprovement)) {
            planner.applyTargets(previous);
        }
        return planner.createPlan();
    }

    /**
     * Tries each number that a single domain may lose and each number of reclaimable endpoints spread under that cap, the cheapest
     * domains first, and adds on-demand ones to each while they are worth their price.
     */
    private findBest(): DomainTarget[] {
        const { peak, maximum, minimum } = this.demand;
        const step = Math.max(1, Math.round(peak / searchSteps));
        let best: DomainTarget[] = [];
        let bestCost = Infinity;
        const largestCap = Math.min(maximum, Math.max(minimum, Math.ceil(peak)) + step - 1);
        for (let cap = 0; cap <= largestCap; cap += step) {
            this.startPlan(cap);
            do {
                const before = this.listTargets();
                this.addOnDemand(step);
                const cost = this.computeCost();
                if (cost < bestCost) {
                    best = this.listTargets();
                    bestCost = cost;
                }
                this.applyTargets(before);
            }
            while (this.countAll() < 2 * peak && this.addReclaimable(cap, step));
        }
        return best;
    }

    /** Starts with the fewest endpoints that each domain must have: reclaimable ones under the cap, and on-demand ones for the rest. */
    private startPlan(cap: number): void {
        const { minimum } = this.demand;
        for (const domain of this.domains) {
            domain.reclaimable = Math.max(domain.floor, Math.min(cap, minimum, domain.ceiling));
            domain.onDemand = Math.max(0, minimum - domain.reclaimable);
        }
    }

    /** Adds up to a step of reclaimable endpoints to the cheapest domain that has fewer than the cap; returns whether there is one. */
    private addReclaimable(cap: number, step: number): boolean {
        const domain = this.byPrice.find(candidate =>
            candidate.reclaimable < Math.min(cap, candidate.ceiling) && countEndpoints(candidate) < this.demand.maximum
        );
        if (domain !== undefined) {
            const room = Math.min(
                cap - domain.reclaimable,
                domain.ceiling - domain.reclaimable,
                this.demand.maximum - countEndpoints(domain),
            );
            domain.reclaimable += Math.min(step, room);
        }
        return domain !== undefined;
    }

    /** Adds on-demand endpoints, the cheapest first, in steps and then singly while these save more than their price. */
    private addOnDemand(step: number): void {
        for (const domain of this.byPrice) {
            for (let added = step; added >= 1;) {
                const before = this.computeExpectedLoss();
                domain.onDemand += added;
                const isWorthwhile = before - this.computeExpectedLoss() > domain.supply.price * added;
                if (!isWorthwhile || countEndpoints(domain) > this.demand.maximum) {
                    domain.onDemand -= added;
                    added = Math.floor(added / 2);
                }
            }
        }
    }

    private listTargets(): DomainTarget[] {
        return this.domains.map(({ supply, reclaimable, onDemand }) => ({ failureDomain: supply.failureDomain, reclaimable, onDemand }));
    }

    private applyTargets(targets: readonly DomainTarget[]): void {
        for (const domain of this.domains) {
            const target = targets.find(({ failureDomain }) => failureDomain === domain.supply.failureDomain);
            domain.reclaimable = target?.reclaimable ?? 0;
            domain.onDemand = target?.onDemand ?? 0;
        }
    }

    /** Returns whether the counts keep the bounds, and what can be had. */
    private isAllowed(): boolean {
        const { minimum, maximum } = this.demand;
        return this.domains.every(({ reclaimable, onDemand, floor, ceiling }) => {
            const total = reclaimable + onDemand;
            return reclaimable >= floor && reclaimable <= ceiling && total >= minimum && total <= maximum;
        });
    }

    private computeCost(): number {
        return this.computePrice() + this.computeExpectedLoss();
    }

    private computePrice(): number {
        const reclaimablePrice = this.demand.reclaimablePrice ?? 0;
        return this.domains.reduce(
            (sum, { supply, reclaimable, onDemand }) => sum + supply.price * (onDemand + reclaimable * reclaimablePrice),
            0,
        );
    }

    /** Returns the worth of what goes unserved: while no domain lacks its reclaimable endpoints, and while one of them does. */
    private computeExpectedLoss(): number {
        const { lostTimeShare } = this.demand;
        const total = this.countAll();
        let calmShare = 1;
        let loss = 0;
        for (const { reclaimable } of this.domains) {
            if (reclaimable > 0) {
                calmShare -= lostTimeShare;
                loss += lostTimeShare * this.computeLoss(total - reclaimable);
            }
        }
        return loss + Math.max(0, calmShare) * this.computeLoss(total);
    }

    /** Returns the worth of what a number of endpoints leaves unserved, of the demand that lasts and, for a part of the time, at its peaks. */
    private computeLoss(serving: number): number {
        const { needed, peak } = this.demand;
        return (1 - peakTimeShare) * this.computeLossAt(needed, serving) + peakTimeShare * this.computeLossAt(peak, serving);
    }

    /** Returns the same for a demand; what is not urgent goes first. */
    private computeLossAt(needed: number, serving: number): number {
        const { urgentShare, worth, urgentWorth } = this.demand;
        const missing = Math.max(0, needed - serving);
        const missingUrgent = Math.max(0, missing - needed * (1 - urgentShare));
        return (missing - missingUrgent) * worth + missingUrgent * urgentWorth;
    }

    private countAll(): number {
        return this.domains.reduce((sum, domain) => sum + countEndpoints(domain), 0);
    }

    private createPlan(): FleetPlan {
        const feared = this.domains.reduce<PlannedDomain | undefined>(
            (most, domain) => (domain.reclaimable > (most?.reclaimable ?? 0) ? domain : most),
            undefined,
        );
        return {
            targets: this.listTargets(),
            price: this.computePrice(),
            expectedLoss: this.computeExpectedLoss(),
            fearedDomain: feared?.supply.failureDomain,
            fearedShortfall: Math.max(0, this.demand.needed - this.countAll() + (feared?.reclaimable ?? 0)),
        };
    }
}

function countEndpoints({ reclaimable, onDemand }: Pick<DomainTarget, "reclaimable" | "onDemand">): number {
    return reclaimable + onDemand;
}
