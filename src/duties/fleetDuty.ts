import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { millisecondsPerSecond } from "../common/units.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { Evacuations } from "../fleet/evacuations.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { GatewayMetrics } from "../gateway/gatewayMetrics.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { RoutedService, ScalingBounds } from "../routes/types.js";
import { VersionTraffic } from "../versions/versionTraffic.js";
import { DutyLease } from "./dutyLease.js";
import { DomainFleet, DomainTarget, FleetPlanner } from "./fleetPlanner.js";
import { DemandWorth, ScarcityPlanning } from "./scarcityPlanning.js";
import { DutyApi, DutyCredentials, DutyOutcome, EndpointOrder } from "./types.js";

/** Pause before reclaimable endpoints are ordered again where none were available, in milliseconds: the cloud counts each call. */
const unavailableRetryMilliseconds = 2_000;
/** Time beyond an endpoint's start-up time after which an unfulfilled order is sent again, in milliseconds. */
const orderCompletionMarginMilliseconds = 2_500;
/** Pause before a failed order is sent again, in milliseconds: one with an unknown outcome may still take effect. */
const retryPauseMilliseconds = 1_000;

/** Settings by which a fleet is sized. */
export interface FleetSettings {
    /** Share of the time for which engines should be busy. */
    readonly targetUtilization: number;
    /** Fewest endpoints that are considered necessary whatever the load. */
    readonly leastNeeded: number;
    /** Time for which a surplus of on-demand endpoints must last before it is released, in milliseconds. */
    readonly shrinkDelay: number;
    /** The same for reclaimable endpoints: they cost little, and the prompts that they have cached would be processed again. */
    readonly reclaimableShrinkDelay: number;
    /** Worth of the demand that an endpoint serves, by which the fleet is planned; undefined if it is planned by fixed shares. */
    readonly demandWorth: DemandWorth | undefined;
}

/** Dependencies of the fleet duty. */
export interface FleetDutyDependencies {
    readonly api: DutyApi;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly lease: DutyLease;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly work: ServiceWorkTracker;
    readonly versions: VersionTraffic;
    readonly evacuations: Pick<Evacuations, "isEvacuated">;
    readonly settings: FleetSettings;
    readonly metrics: Pick<GatewayMetrics, "fleetPlan">;
}

/** Time under load after which the measured load is used, in milliseconds: twice the time constant of its moving average. */
const loadMeasurementMilliseconds = 8_000;

/** Time without a new endpoint after which the first orders are sent, in milliseconds: one heartbeat. */
const baselineSettleMilliseconds = 1_300;

/** Endpoints that served when this node took over the duty; the fleet keeps this size until the load has been measured. */
interface FleetBaseline {
    endpoints: number;
    /** Monotonic time at which an endpoint was last added. */
    lastGrownAt: number;
    /** Unix milliseconds at which orders began, because no endpoint was added for the settle time; undefined before. */
    orderedSince: number | undefined;
    /** Monotonic time at which load was first measured; undefined before. */
    loadSince: number | undefined;
}

/** Last order for one kind of endpoint of a service in a failure domain. Times are monotonic. */
interface OrderState {
    /** Number of endpoints last ordered; undefined before the first order. */
    ordered: number | undefined;
    /** Most endpoints of this kind that the bounds allowed beside the other kind when the order was sent; the cloud starts no more. */
    room: number;
    orderedAt: number;
    /** Time before which no further order is sent after a failure. */
    retryAt: number;
    /** False after an order failed because no endpoint of this kind was available, until an order succeeds. */
    isAvailable: boolean;
    /** Time since which fewer endpoints than ordered have been sufficient. */
    surplusSince: number | undefined;
}

/** Which failure domain without available reclaimable endpoints is tried next, and the monotonic time of the next try. */
interface ProbeState {
    turn: number;
    nextAt: number;
}

/** Scales the fleet: orders endpoints from the cloud so that each service has as many as its load requires. */
export class FleetDuty {
    private readonly states = new Map<string, OrderState>();
    private readonly planner = FleetPlanner.create();
    private readonly baselines = new Map<string, FleetBaseline>();
    private readonly probes = new Map<string, ProbeState>();
    private readonly plannings = new Map<string, ScarcityPlanning>();
    private actingFencing = 0;

    private constructor(private readonly dependencies: FleetDutyDependencies) {}

    static create(dependencies: FleetDutyDependencies): FleetDuty {
        return new FleetDuty(dependencies);
    }

    /** Plans the fleet of each service with scaling bounds and sends the orders that are due. */
    async runRound(credentials: DutyCredentials): Promise<void> {
        if (credentials.fencing !== this.actingFencing) {
            // The orders of the previous holder are not known, so the next orders are based on the endpoints that are registered.
            this.states.clear();
            this.baselines.clear();
            this.plannings.clear();
            this.actingFencing = credentials.fencing;
        }
        if (this.dependencies.directory.listAll().length === 0) {
            return;
        }
        for (const service of this.dependencies.configuration.getTable()?.configuration.services ?? []) {
            if (service.scaling !== undefined && service.engine !== undefined) {
                this.updateBaseline(service);
                await this.runService(service, service.scaling);
            }
        }
    }

    private async runService(service: RoutedService, scaling: ScalingBounds): Promise<void> {
        if (this.baselines.get(service.name)?.orderedSince === undefined) {
            return;
        }
        this.recordReclaims(service, scaling);
        const domains = scaling.domainPrices
            .filter(({ failureDomain }) => !this.isEvacuated(failureDomain))
            .map(({ failureDomain, price }) => this.createDomain(service, scaling, failureDomain, price));
        const needed = this.computeNeeded(service);
        // What is not needed is released in the dearest domain first.
        const targets = [
            ...listDearestFirst(this.computeTargets(service, scaling, domains, needed), domains),
            ...this.listEvacuatedTargets(service, scaling),
        ];
        // Endpoints are released only as far as the serving ones exceed the need, since ordered ones may not serve yet.
        let surplus = this.listReachable(service.name).length - needed;
        // Where no reclaimable endpoints were available, an even part is ordered from time to time.
        const evenPart = Math.min(scaling.maximum, Math.ceil(needed / domains.length));
        const probedDomain = this.takeProbedDomain(service.name, domains, evenPart);
        for (const isReclaimable of scaling.reclaimablePrice === undefined ? [false] : [true, false]) {
            for (const target of targets) {
                const domain = domains.find(candidate => candidate.failureDomain === target.failureDomain);
                const isUnavailable = isReclaimable && domain?.isReclaimableAvailable === false;
                const planned = isReclaimable ? target.reclaimable : target.onDemand;
                const count = isUnavailable ? evenPart : planned;
                const serving = this.countServing(service.name, target.failureDomain, isReclaimable);
                // What an evacuated failure domain has does not serve, so that all beyond its target is unused.
                const unused = domain === undefined ? serving : Math.max(0, surplus);
                const kept = this.computeKept(service, target.failureDomain, isReclaimable, Math.max(count, serving - unused));
                surplus -= domain === undefined ? 0 : Math.max(0, serving - kept);
                // Fewer can be had at any time.
                if (isUnavailable && target.failureDomain !== probedDomain && kept >= serving) {
                    continue;
                }
                await this.orderCount(service, scaling, target.failureDomain, isReclaimable, kept);
            }
        }
    }

    /** Returns the targets of the failure domains that are not evacuated: by the worth of the demand where the settings state it. */
    private computeTargets(
        service: RoutedService,
        scaling: ScalingBounds,
        domains: readonly DomainFleet[],
        needed: number,
    ): readonly DomainTarget[] {
        const { settings, work, metrics } = this.dependencies;
        const planning = this.findPlanning(service.name);
        if (planning === undefined) {
            return this.planner.computeTargets(domains, { needed, minimum: scaling.minimum, maximum: scaling.maximum });
        }
        const plan = planning.computePlan(domains, scaling, {
            busy: this.computeBusy(service) / settings.targetUtilization,
            least: Math.max(settings.leastNeeded, this.computeBaseline(service)),
            urgentShare: work.computeUrgentShare(service.name),
        });
        metrics.fleetPlan.set({ service: service.name, figure: "price" }, plan.price);
        metrics.fleetPlan.set({ service: service.name, figure: "expected-loss" }, plan.expectedLoss);
        metrics.fleetPlan.set({ service: service.name, figure: "feared-shortfall" }, plan.fearedShortfall);
        return plan.targets;
    }

    /** Forgets the order of each failure domain that lost all its reclaimable endpoints: it is not in force any more. */
    private recordReclaims(service: RoutedService, scaling: ScalingBounds): void {
        // While the traffic moves to another version, a domain that serves none is not one that was reclaimed.
        const planning = this.dependencies.versions.isMoving(service.name) ? undefined : this.findPlanning(service.name);
        for (const { failureDomain } of planning === undefined ? [] : scaling.domainPrices) {
            const state = this.getState(service.name, failureDomain, true);
            const serving = this.countServing(service.name, failureDomain, true);
            if (planning?.recordServing(failureDomain, serving, state.ordered ?? 1) === true) {
                state.ordered = undefined;
                state.orderedAt = -Infinity;
                state.surplusSince = undefined;
            }
        }
    }

    /** Returns the planning of a service by the worth of its demand; undefined if the settings state none. */
    private findPlanning(service: string): ScarcityPlanning | undefined {
        const { settings, clock, log } = this.dependencies;
        if (settings.demandWorth === undefined) {
            return undefined;
        }
        const planning = this.plannings.get(service) ?? ScarcityPlanning.create(service, settings.demandWorth, clock, log);
        this.plannings.set(service, planning);
        return planning;
    }

    /** Returns how many endpoints to keep where `enough` suffice: demand that falls may return, so reclaimable ones are released in steps. */
    private computeKept(service: RoutedService, failureDomain: string, isReclaimable: boolean, enough: number): number {
        const present = this.getState(service.name, failureDomain, isReclaimable).ordered ?? 0;
        const planning = this.findPlanning(service.name);
        return planning === undefined || !isReclaimable || enough >= present ? enough : planning.computeReleaseStep(present, enough);
    }

    private isEvacuated(failureDomain: string): boolean {
        return this.dependencies.evacuations.isEvacuated(failureDomain);
    }

    /** Returns the targets of evacuated failure domains: each keeps the minimum for its return, of reclaimable endpoints as far as it has some. */
    private listEvacuatedTargets(service: RoutedService, scaling: ScalingBounds): DomainTarget[] {
        return scaling.domainPrices.filter(({ failureDomain }) => this.isEvacuated(failureDomain)).map(({ failureDomain }) => {
            const reclaimable = Math.min(scaling.minimum, this.countServing(service.name, failureDomain, true));
            return { failureDomain, reclaimable, onDemand: scaling.minimum - reclaimable };
        });
    }

    /**
     * Returns the failure domain in which reclaimable endpoints are ordered although the last order there found none; undefined if none
     * is due. Those that have fewer than their part take turns, since every call counts and a shortage mostly ends in all of them at once.
     */
    private takeProbedDomain(service: string, domains: readonly DomainFleet[], part: number): string | undefined {
        const now = this.dependencies.clock.getMonotonicTime();
        const unavailable = domains.filter(domain => !domain.isReclaimableAvailable && domain.reclaimable < part);
        const probe = this.probes.get(service) ?? { turn: 0, nextAt: -Infinity };
        this.probes.set(service, probe);
        if (unavailable.length === 0 || now < probe.nextAt) {
            return undefined;
        }
        probe.turn += 1;
        probe.nextAt = now + unavailableRetryMilliseconds;
        return unavailable[probe.turn % unavailable.length]?.failureDomain;
    }

    /** Makes the other failure domains due at once after an order succeeded where none was available before. */
    private endShortage(service: string): void {
        const probe = this.probes.get(service);
        if (probe !== undefined) {
            probe.nextAt = -Infinity;
        }
    }

    /** Returns the number of endpoints that a service requires: by its measured load, its baseline and the settings. */
    private computeNeeded(service: RoutedService): number {
        const { settings } = this.dependencies;
        const measured = Math.ceil(this.computeBusy(service) / settings.targetUtilization);
        return Math.max(settings.leastNeeded, measured, this.computeBaseline(service));
    }

    /** Returns the engines that the demand of now keeps busy. */
    private computeBusy(service: RoutedService): number {
        return this.dependencies.work.computeTotal(service.name) / millisecondsPerSecond;
    }

    /**
     * Grows the baseline by the endpoints that started before the first order. They register one after the other when a deployment
     * starts; an order sized by those registered so far would remove the others.
     */
    private updateBaseline(service: RoutedService): void {
        const { clock } = this.dependencies;
        const now = clock.getMonotonicTime();
        const baseline: FleetBaseline = this.baselines.get(service.name)
            ?? { endpoints: 0, lastGrownAt: now, orderedSince: undefined, loadSince: undefined };
        const orderedSince = baseline.orderedSince ?? Infinity;
        const serving = this.listServing(service.name).filter(({ entry }) => entry.incarnation < orderedSince).length;
        this.baselines.set(service.name, baseline);
        if (this.dependencies.work.computeTotal(service.name) > 0) {
            baseline.loadSince ??= now;
        }
        if (serving > baseline.endpoints) {
            baseline.endpoints = serving;
            baseline.lastGrownAt = now;
        }
        if (now - baseline.lastGrownAt >= baselineSettleMilliseconds) {
            baseline.orderedSince ??= clock.getWallTime();
        }
    }

    /** Returns the endpoints to keep until this node, as the new holder, has measured the load for long enough; then 0. */
    private computeBaseline(service: RoutedService): number {
        const baseline = this.baselines.get(service.name);
        return baseline === undefined || this.isMeasured(service.name, baseline) ? 0 : baseline.endpoints;
    }

    /** Returns whether the load has been measured for long enough. Where demand is planned by its worth, what the node measured before it took over counts. */
    private isMeasured(service: string, baseline: FleetBaseline): boolean {
        const { work } = this.dependencies;
        if (this.findPlanning(service) !== undefined && work.getLoadAge(service) > loadMeasurementMilliseconds) {
            return true;
        }
        return baseline.loadSince !== undefined
            && this.dependencies.clock.getMonotonicTime() - baseline.loadSince > loadMeasurementMilliseconds;
    }

    private createDomain(service: RoutedService, scaling: ScalingBounds, failureDomain: string, price: number): DomainFleet {
        const state = this.getState(service.name, failureDomain, true);
        return {
            failureDomain,
            price,
            reclaimable: Math.max(this.countServing(service.name, failureDomain, true), this.countBooting(state, scaling)),
            isReclaimableAvailable: scaling.reclaimablePrice !== undefined && state.isAvailable,
        };
    }

    /** Returns the number of endpoints last ordered while they may still be starting; then 0. */
    private countBooting(state: OrderState, scaling: ScalingBounds): number {
        const age = this.dependencies.clock.getMonotonicTime() - state.orderedAt;
        return age < scaling.bootSeconds * millisecondsPerSecond + orderCompletionMarginMilliseconds
            ? Math.min(state.ordered ?? 0, state.room)
            : 0;
    }

    /** Counts the serving endpoints of one kind in a failure domain. */
    private countServing(service: string, failureDomain: string, isReclaimable: boolean): number {
        return this.listServing(service).filter(({ entry }) =>
            entry.failureDomain === failureDomain && entry.isReclaimable === isReclaimable
        ).length;
    }

    /** Lists the usable endpoints that carry a service's traffic. */
    private listServing(service: string): FleetEndpoint[] {
        const { directory, versions } = this.dependencies;
        return versions.listServing(service, directory.listEndpoints(service)).filter(endpoint => endpoint.isUsable());
    }

    /** Lists the usable endpoints that carry a service's traffic and whose failure domain is not evacuated. */
    private listReachable(service: string): FleetEndpoint[] {
        return this.listServing(service).filter(({ entry }) => !this.isEvacuated(entry.failureDomain));
    }

    /** Sends an order for the given number of endpoints unless it is already ordered or must wait. */
    private async orderCount(
        service: RoutedService,
        scaling: ScalingBounds,
        failureDomain: string,
        isReclaimable: boolean,
        count: number,
    ): Promise<void> {
        const now = this.dependencies.clock.getMonotonicTime();
        const state = this.getState(service.name, failureDomain, isReclaimable);
        const serving = this.countServing(service.name, failureDomain, isReclaimable);
        const isAlreadyOrdered = state.ordered === count;
        const room = this.computeRoom(service.name, scaling, failureDomain, isReclaimable);
        const isCutShort = state.room < count && state.room < room;
        const isOverdue = now > state.orderedAt + scaling.bootSeconds * millisecondsPerSecond + orderCompletionMarginMilliseconds;
        if (isAlreadyOrdered && (serving === count || !(isOverdue || isCutShort))) {
            state.surplusSince = undefined;
            return;
        }
        if (state.ordered === undefined && serving === count) {
            return;
        }
        const isSmaller = count < (state.ordered ?? serving);
        if (isSmaller && this.dependencies.versions.isMoving(service.name)) {
            // A smaller order could remove endpoints of either version.
            return;
        }
        if (now < state.retryAt || (isSmaller && !this.mayShrink(service.name, failureDomain, state, now, isReclaimable))) {
            return;
        }
        await this.sendOrder({ service: service.name, failureDomain, isReclaimable, count }, state, serving, room);
    }

    /** Returns how many endpoints of one kind a failure domain may have beside those that are ordered of the other kind. */
    private computeRoom(service: string, scaling: ScalingBounds, failureDomain: string, isReclaimable: boolean): number {
        const others = this.getState(service, failureDomain, !isReclaimable).ordered
            ?? this.countServing(service, failureDomain, !isReclaimable);
        return Math.max(0, scaling.maximum - others);
    }

    /** Returns whether a smaller number has been sufficient for the shrink delay; starts the delay when it was not running. */
    private mayShrink(service: string, failureDomain: string, state: OrderState, now: number, isReclaimable: boolean): boolean {
        const { settings } = this.dependencies;
        const baseline = this.baselines.get(service);
        if (!isReclaimable && baseline !== undefined && !this.isMeasured(service, baseline) && !this.isEvacuated(failureDomain)) {
            // Until the load is measured the need is the baseline and does not vary: reclaimable endpoints already serve instead.
            return true;
        }
        state.surplusSince ??= now;
        return now - state.surplusSince >= (isReclaimable ? settings.reclaimableShrinkDelay : settings.shrinkDelay);
    }

    private async sendOrder(order: EndpointOrder, state: OrderState, serving: number, room: number): Promise<void> {
        const { dependencies } = this;
        const credentials = dependencies.lease.getCredentials();
        if (credentials === undefined) {
            return;
        }
        const now = dependencies.clock.getMonotonicTime();
        const sent = await dependencies.api.orderEndpoints(order, credentials);
        const fields = {
            duty: "order",
            service: order.service,
            failureDomain: order.failureDomain,
            reclaimable: order.isReclaimable,
            count: order.count,
            serving,
            work: Math.round(dependencies.work.computeTotal(order.service)),
            fencing: credentials.fencing,
        };
        if (sent.ok) {
            state.ordered = order.count;
            state.room = room;
            state.orderedAt = now;
            state.surplusSince = undefined;
            if (!state.isAvailable) {
                this.endShortage(order.service);
            }
            state.isAvailable = true;
            dependencies.log.log(LogEvents.DutyDone, fields);
            return;
        }
        this.handleOrderFailure(sent.val.outcome, order, state, credentials.fencing);
        dependencies.log.log(LogEvents.DutyFailed, { ...fields, outcome: sent.val.outcome, cause: sent.val.text });
    }

    private handleOrderFailure(outcome: DutyOutcome, order: EndpointOrder, state: OrderState, fencing: number): void {
        const now = this.dependencies.clock.getMonotonicTime();
        state.retryAt = now + retryPauseMilliseconds;
        if (outcome === DutyOutcome.Fenced) {
            this.dependencies.lease.recordFenced(fencing);
        }
        if (outcome === DutyOutcome.Unavailable) {
            state.isAvailable = false;
            this.findPlanning(order.service)?.recordRefusal(order.failureDomain);
        }
    }

    private getState(service: string, failureDomain: string, isReclaimable: boolean): OrderState {
        const key = `${service}\n${failureDomain}\n${isReclaimable}`;
        const existing = this.states.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const state: OrderState = {
            ordered: undefined,
            room: Infinity,
            orderedAt: -Infinity,
            retryAt: -Infinity,
            isAvailable: true,
            surplusSince: undefined,
        };
        this.states.set(key, state);
        return state;
    }
}

/** Lists targets by the price of their failure domain, the dearest first; those of one price keep their order. */
function listDearestFirst(targets: readonly DomainTarget[], domains: readonly DomainFleet[]): DomainTarget[] {
    const prices = new Map(domains.map(({ failureDomain, price }) => [failureDomain, price]));
    const getPrice = ({ failureDomain }: DomainTarget) => prices.get(failureDomain) ?? 0;
    return [...targets].sort((left, right) => getPrice(right) - getPrice(left));
}
