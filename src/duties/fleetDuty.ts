import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { millisecondsPerSecond } from "../common/units.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { WorkMeter } from "../placement/workMeter.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { RoutedService, ScalingBounds } from "../routes/types.js";
import { VersionTraffic } from "../versions/versionTraffic.js";
import { DutyLease } from "./dutyLease.js";
import { DomainFleet, FleetPlan } from "./fleetPlan.js";
import { DutyApi, DutyCredentials, DutyOutcome, EndpointOrder } from "./types.js";

/** Pause between two tries to get reclaimable endpoints where there were none, in milliseconds: each try is a counted call. */
const offerCheckMilliseconds = 2_000;
/** Time beyond an endpoint's start after which an order that was not carried out is given again, in milliseconds. */
const orderMarginMilliseconds = 2_500;
/** Pause before an order is given again whose answer was lost, in milliseconds: it may still be carried out. */
const unknownPauseMilliseconds = 1_000;

/** How a fleet is sized, from the settings. */
export interface FleetSettings {
    /** Share of their time for which engines are to be busy. */
    readonly targetUtilization: number;
    /** Fewest endpoints that the load is taken to need. */
    readonly leastNeeded: number;
    /** Time after which an on-demand endpoint that is no longer needed is given back, in milliseconds. */
    readonly shrinkDelay: number;
    /** The same for reclaimable endpoints: they cost little, and what they hold of prompts would be read again. */
    readonly reclaimableShrinkDelay: number;
}

/** What the duty works with. */
export interface FleetDutyParts {
    readonly api: DutyApi;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly lease: DutyLease;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly work: WorkMeter;
    readonly versions: VersionTraffic;
    readonly settings: FleetSettings;
}

/** Time of load after which its measure counts, in milliseconds: twice the time constant of the measure. */
const measureMilliseconds = 8_000;

/** Time without a new endpoint after which those that were there before this node count as known, in milliseconds: two heartbeats. */
const settleMilliseconds = 2_500;

/** What served before the load was measured. */
interface FleetBaseline {
    endpoints: number;
    /** When an endpoint was last added to it. */
    grownAt: number;
    /** Whether all that registered before this node took the duty over is in it. */
    isKnown: boolean;
    /** Since when there has been load. */
    loadSince: number | undefined;
}

interface OrderState {
    ordered: number | undefined;
    orderedAt: number;
    retryAt: number;
    /** Whether the last order for more of this kind was not refused for want of endpoints. */
    isOffering: boolean;
    /** Since when fewer endpoints than ordered have been enough. */
    smallerSince: number | undefined;
}

/** Orders endpoints so that each service has what its load needs. */
export class FleetDuty {
    private readonly states = new Map<string, OrderState>();
    private readonly plan = FleetPlan.create();
    private readonly baselines = new Map<string, FleetBaseline>();
    private actingFencing = 0;

    private constructor(private readonly parts: FleetDutyParts) {}

    static create(parts: FleetDutyParts): FleetDuty {
        return new FleetDuty(parts);
    }

    async runRound(credentials: DutyCredentials): Promise<void> {
        if (credentials.fencing !== this.actingFencing) {
            // What an earlier holder ordered last is not known: the next orders stand on what is there.
            this.states.clear();
            this.baselines.clear();
            this.actingFencing = credentials.fencing;
        }
        if (this.parts.directory.listAll().length === 0) {
            return;
        }
        for (const service of this.parts.configuration.getTable()?.configuration.services ?? []) {
            if (service.scaling !== undefined && service.engine !== undefined) {
                this.updateBaseline(service);
                await this.runService(service, service.scaling);
            }
        }
    }

    private async runService(service: RoutedService, scaling: ScalingBounds): Promise<void> {
        if (this.baselines.get(service.name)?.isKnown !== true) {
            return;
        }
        const domains = scaling.domainPrices.map(({ failureDomain, price }) => this.createDomain(service, scaling, failureDomain, price));
        const needed = this.computeNeeded(service);
        const targets = this.plan.computeTargets(domains, { needed, minimum: scaling.minimum, maximum: scaling.maximum });
        // What is given back must not be missed before what is ordered serves.
        let spare = this.listServing(service.name).length - needed;
        for (const isReclaimable of [true, false]) {
            for (const target of targets) {
                const domain = domains.find(candidate => candidate.failureDomain === target.failureDomain);
                const isRefused = isReclaimable && domain?.hasReclaimable !== true;
                const planned = isReclaimable ? target.reclaimable : target.onDemand;
                // Where none could be had, an even part is asked for from time to time.
                const count = isRefused ? Math.min(scaling.maximum, Math.ceil(needed / domains.length)) : planned;
                const serving = this.countServing(service.name, target.failureDomain, isReclaimable);
                const kept = Math.max(count, serving - Math.max(0, spare));
                spare -= Math.max(0, serving - kept);
                await this.orderCount(service, scaling, target.failureDomain, isReclaimable, kept);
            }
        }
    }

    private computeNeeded(service: RoutedService): number {
        const { settings, work } = this.parts;
        const busyEngines = work.computeTotal(service.name) / millisecondsPerSecond;
        const measured = Math.ceil(busyEngines / settings.targetUtilization);
        return Math.max(settings.leastNeeded, measured, this.computeBaseline(service));
    }

    /**
     * Records what serves, until it is all known. Endpoints register one after the other when a deployment starts; an order by
     * those that are known would take the others away.
     */
    private updateBaseline(service: RoutedService): void {
        const now = this.parts.clock.getMonotonicTime();
        const serving = this.listServing(service.name).length;
        const baseline = this.baselines.get(service.name) ?? { endpoints: 0, grownAt: now, isKnown: false, loadSince: undefined };
        this.baselines.set(service.name, baseline);
        if (this.parts.work.computeTotal(service.name) > 0) {
            baseline.loadSince ??= now;
        }
        // What comes later was ordered by this duty, partly in place of what was there.
        baseline.isKnown ||= now - baseline.grownAt >= settleMilliseconds;
        if (!baseline.isKnown && serving > baseline.endpoints) {
            baseline.endpoints = serving;
            baseline.grownAt = now;
        }
    }

    /** Returns the endpoints that are kept until the load has been measured for a while: a new holder knows nothing of it. */
    private computeBaseline(service: RoutedService): number {
        const baseline = this.baselines.get(service.name);
        return baseline === undefined || this.isMeasured(baseline) ? 0 : baseline.endpoints;
    }

    private isMeasured(baseline: FleetBaseline): boolean {
        return baseline.loadSince !== undefined && this.parts.clock.getMonotonicTime() - baseline.loadSince > measureMilliseconds;
    }

    private createDomain(service: RoutedService, scaling: ScalingBounds, failureDomain: string, price: number): DomainFleet {
        const state = this.getState(service.name, failureDomain, true);
        return {
            failureDomain,
            price,
            reclaimable: Math.max(this.countServing(service.name, failureDomain, true), this.countBooting(state, scaling)),
            hasReclaimable: scaling.reclaimablePrice !== undefined && state.isOffering,
        };
    }

    /** Returns the endpoints of an order that are still about to serve. */
    private countBooting(state: OrderState, scaling: ScalingBounds): number {
        const age = this.parts.clock.getMonotonicTime() - state.orderedAt;
        return age < scaling.bootSeconds * millisecondsPerSecond + orderMarginMilliseconds ? state.ordered ?? 0 : 0;
    }

    private countServing(service: string, failureDomain: string, isReclaimable: boolean): number {
        return this.listServing(service).filter(({ entry }) =>
            entry.failureDomain === failureDomain && entry.isReclaimable === isReclaimable
        ).length;
    }

    private listServing(service: string): FleetEndpoint[] {
        const { directory, versions } = this.parts;
        return versions.listCarrying(service, directory.listEndpoints(service)).filter(endpoint => endpoint.isUsable());
    }

    private async orderCount(
        service: RoutedService,
        scaling: ScalingBounds,
        failureDomain: string,
        isReclaimable: boolean,
        count: number,
    ): Promise<void> {
        const now = this.parts.clock.getMonotonicTime();
        const state = this.getState(service.name, failureDomain, isReclaimable);
        const serving = this.countServing(service.name, failureDomain, isReclaimable);
        const isStandingOrder = state.ordered === count;
        const isOverdue = now > state.orderedAt + scaling.bootSeconds * millisecondsPerSecond + orderMarginMilliseconds;
        if (isStandingOrder && (serving === count || !isOverdue)) {
            state.smallerSince = undefined;
            return;
        }
        if (state.ordered === undefined && serving === count) {
            return;
        }
        const isSmaller = count < (state.ordered ?? serving);
        if (isSmaller && this.parts.versions.isMoving(service.name)) {
            // An order might take endpoints of either version.
            return;
        }
        if (now < state.retryAt || (isSmaller && !this.isLongEnoughSmaller(state, now, isReclaimable))) {
            return;
        }
        await this.sendOrder({ service: service.name, failureDomain, isReclaimable, count }, state, serving);
    }

    private isLongEnoughSmaller(state: OrderState, now: number, isReclaimable: boolean): boolean {
        const { settings } = this.parts;
        state.smallerSince ??= now;
        return now - state.smallerSince >= (isReclaimable ? settings.reclaimableShrinkDelay : settings.shrinkDelay);
    }

    private async sendOrder(order: EndpointOrder, state: OrderState, serving: number): Promise<void> {
        const { parts } = this;
        const credentials = parts.lease.getCredentials();
        if (credentials === undefined) {
            return;
        }
        const now = parts.clock.getMonotonicTime();
        const sent = await parts.api.orderEndpoints(order, credentials);
        const fields = {
            duty: "order",
            service: order.service,
            failureDomain: order.failureDomain,
            reclaimable: order.isReclaimable,
            count: order.count,
            serving,
            work: Math.round(parts.work.computeTotal(order.service)),
            fencing: credentials.fencing,
        };
        if (sent.ok) {
            state.ordered = order.count;
            state.orderedAt = now;
            state.smallerSince = undefined;
            state.isOffering = true;
            parts.log.log(LogEvents.DutyDone, fields);
            return;
        }
        this.settleFailure(sent.val.outcome, state, credentials.fencing);
        parts.log.log(LogEvents.DutyFailed, { ...fields, outcome: sent.val.outcome, cause: sent.val.text });
    }

    private settleFailure(outcome: DutyOutcome, state: OrderState, fencing: number): void {
        const now = this.parts.clock.getMonotonicTime();
        state.retryAt = now + unknownPauseMilliseconds;
        if (outcome === DutyOutcome.Fenced) {
            this.parts.lease.recordFenced(fencing);
        }
        if (outcome === DutyOutcome.Unavailable) {
            state.isOffering = false;
            state.retryAt = now + offerCheckMilliseconds;
        }
    }

    private getState(service: string, failureDomain: string, isReclaimable: boolean): OrderState {
        const key = `${service}\n${failureDomain}\n${isReclaimable}`;
        const known = this.states.get(key);
        if (known !== undefined) {
            return known;
        }
        const state: OrderState = {
            ordered: undefined,
            orderedAt: -Infinity,
            retryAt: -Infinity,
            isOffering: true,
            smallerSince: undefined,
        };
        this.states.set(key, state);
        return state;
    }
}
