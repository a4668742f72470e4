import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { ScalingBounds } from "../routes/types.js";
import { DemandForecast } from "./demandForecast.js";
import { DomainFleet, DomainTarget } from "./fleetPlanner.js";
import { ReclaimFears } from "./reclaimFears.js";
import { DomainSupply, FleetPlan, ScarcityPlanner } from "./scarcityPlanner.js";

/** Time after a refused order for which reclaimable endpoints are kept that might not be had again, in seconds. */
const scarcitySeconds = 15;
/** Time until a lost endpoint is noticed and its replacement ordered, in seconds; it starts up after that. */
const reactionSeconds = 1;
/** Resolution of the figures by which it is decided whether to plan anew: fractions of an endpoint and percents change nothing. */
const neededSteps = 2;
const shareSteps = 50;
/** Largest part of a domain's reclaimable endpoints that one order releases: demand that falls may return. */
const releaseShare = 0.25;

/** Worth of the demand that one endpoint serves in a second, in prices of an on-demand endpoint. */
export interface DemandWorth {
    readonly usual: number;
    readonly urgent: number;
}

/** Sizes a service is planned by. */
export interface ServiceDemand {
    /** Endpoints that the demand of now keeps busy. */
    readonly busy: number;
    /** Fewest endpoints that are necessary whatever the demand. */
    readonly least: number;
    /** Share of the demand that is urgent. */
    readonly urgentShare: number;
}

/** Plans the fleet of one service by the worth of its demand, and remembers what has been scarce. */
export class ScarcityPlanning {
    private readonly fears: ReclaimFears;
    private readonly forecast: DemandForecast;
    private plan: FleetPlan | undefined;
    /** What the plan was computed from. */
    private plannedFrom = "";
    private loggedTargets = "";

    private constructor(
        private readonly service: string,
        private readonly worth: DemandWorth,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        this.fears = ReclaimFears.create(clock);
        this.forecast = DemandForecast.create(clock);
    }

    static create(service: string, worth: DemandWorth, clock: Clock, log: EventLog): ScarcityPlanning {
        return new ScarcityPlanning(service, worth, clock, log);
    }

    /** Records how many reclaimable endpoints of a failure domain serve now, and how many are ordered; returns whether it was reclaimed. */
    recordServing(failureDomain: string, serving: number, wanted: number): boolean {
        const isReclaim = this.fears.recordServing(failureDomain, serving, wanted);
        if (isReclaim) {
            const reclaimRate = formatFigure(this.fears.computeReclaimRate());
            this.log.log(LogEvents.DomainReclaimed, { service: this.service, failureDomain, reclaimRate });
        }
        return isReclaim;
    }

    /** Records that an order for reclaimable endpoints was refused because none is available. */
    recordRefusal(failureDomain: string): void {
        this.fears.recordRefusal(failureDomain);
    }

    /** Returns the number of reclaimable endpoints to order where fewer than the present ones are enough. */
    computeReleaseStep(present: number, enough: number): number {
        return Math.max(enough, present - Math.max(1, Math.ceil(present * releaseShare)));
    }

    /** Returns the plan for the failure domains, by what the demand will be when an endpoint ordered now begins to serve. */
    computePlan(domains: readonly DomainFleet[], scaling: ScalingBounds, demand: ServiceDemand): FleetPlan {
        this.forecast.recordDemand(demand.busy);
        const needed = Math.max(demand.least, this.forecast.computeLasting(scaling.bootSeconds));
        const peak = Math.max(needed, this.forecast.computeExpected(scaling.bootSeconds));
        const reclaimRate = this.fears.computeReclaimRate();
        const lostTimeShare = Math.min(1 / Math.max(1, domains.length), reclaimRate * (scaling.bootSeconds + reactionSeconds));
        const isScarce = domains.some(({ failureDomain }) => this.fears.getRefusalAge(failureDomain) < scarcitySeconds);
        const supplies: DomainSupply[] = domains.map(domain => ({ ...domain, isScarce }));
        const rounded = [needed * neededSteps, peak * neededSteps, demand.urgentShare * shareSteps, lostTimeShare * shareSteps].map(
            Math.round,
        );
        const plannedFrom = JSON.stringify([rounded, supplies, scaling]);
        if (this.plan !== undefined && plannedFrom === this.plannedFrom) {
            return this.plan;
        }
        this.plannedFrom = plannedFrom;
        this.plan = ScarcityPlanner.computePlan(supplies, {
            needed,
            peak,
            urgentShare: demand.urgentShare,
            worth: this.worth.usual,
            urgentWorth: this.worth.urgent,
            reclaimablePrice: scaling.reclaimablePrice,
            lostTimeShare,
            minimum: scaling.minimum,
            maximum: scaling.maximum,
        }, this.plan?.targets);
        this.logPlan(this.plan, { busy: demand.busy, needed, peak, urgentShare: demand.urgentShare, reclaimRate, isScarce });
        return this.plan;
    }

    /** Logs a plan that differs from the one before. */
    private logPlan(plan: FleetPlan, grounds: Readonly<Record<string, number | boolean>>): void {
        const targets = plan.targets.map(describeTarget).join(", ");
        if (targets === this.loggedTargets) {
            return;
        }
        this.loggedTargets = targets;
        const rounded = Object.entries(grounds).map(([name, value]) => [name, typeof value === "number" ? formatFigure(value) : value]);
        this.log.log(LogEvents.FleetPlanned, {
            service: this.service,
            targets,
            price: formatFigure(plan.price),
            expectedLoss: formatFigure(plan.expectedLoss),
            fearedDomain: plan.fearedDomain,
            fearedShortfall: formatFigure(plan.fearedShortfall),
            ...Object.fromEntries(rounded),
        });
    }
}

function describeTarget({ failureDomain, reclaimable, onDemand }: DomainTarget): string {
    return `${failureDomain}: ${reclaimable} reclaimable and ${onDemand} on demand`;
}

/** Rounds a figure for a log line. */
function formatFigure(value: number): number {
    return Number(value.toPrecision(3));
}
