import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { RandomSource } from "../common/random.js";
import { millisecondsPerSecond } from "../common/units.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointAdmission } from "./brittleEndpoints.js";
import { EndpointObstacle, PlacementQuery } from "./types.js";
import {
    computeTimeToNextWindow,
    computeWindowPermits,
    isWithinUsableTime,
    permitWindowMilliseconds,
    WarmUpPermits,
    WarmUpSettings,
    WarmUpTraits,
} from "./warmUpPermits.js";

/** Factors on the permits in the seconds after an endpoint has warmed up; after the last one it has no limit. */
const rampFactors = [2, 4];

/** What became of a request for which a warming endpoint was considered. */
export enum WarmUpOutcome {
    Sent = "sent",
    /** The request did not reach the endpoint, so its permit was returned. */
    Returned = "returned",
    /** Every endpoint that could serve it was warming up without a permit for this node. */
    Refused = "refused",
}

/** The nodes that may send to the same endpoints. */
export interface WarmUpMembership {
    /** Name of this node. */
    readonly name: string;
    /** Returns the names of all other nodes that may be sending, unreachable ones included; undefined while this node cannot know them. */
    listPeerNames(): readonly string[] | undefined;
}

/** Dependencies of the limit on warming endpoints. */
export interface WarmingEndpointsDependencies {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly settings: WarmUpSettings;
    readonly membership: WarmUpMembership;
    /** Returns what cold endpoints of a service tolerate; undefined if the service has no such limit. */
    readonly findTraits: (service: string) => WarmUpTraits | undefined;
    readonly countRequest: (service: string, outcome: WarmUpOutcome) => void;
}

/** The right to send one request to a warming endpoint in a window. */
export interface WarmUpPermit {
    readonly service: string;
    readonly grant: WarmUpGrant;
}

/** Permits of this node for one endpoint in one window. */
interface WarmUpGrant {
    readonly window: number;
    factor: number;
    permits: number;
    used: number;
}

/**
 * Limits requests to endpoints that warm up: all nodes together, whether or not they are in touch, send a cold endpoint no more than
 * it tolerates in a second. Each node uses its own permits of each window, then room grows in steps until the limit ends.
 */
export class WarmingEndpoints implements EndpointAdmission {
    private readonly permits: WarmUpPermits;
    private readonly grants = new WeakMap<FleetEndpoint, WarmUpGrant>();
    /** The limited endpoints that were logged. */
    private readonly logged = new WeakSet<FleetEndpoint>();
    private readonly firstWindow: number;
    private peers: { readonly window: number; readonly names: readonly string[] | undefined; } | undefined;

    private constructor(private readonly dependencies: WarmingEndpointsDependencies) {
        this.permits = WarmUpPermits.create(dependencies.membership.name);
        // An earlier incarnation of this node may have used its permits of the window in which this one starts.
        this.firstWindow = this.getWindow() + 1;
    }

    static create(dependencies: WarmingEndpointsDependencies): WarmingEndpoints {
        return new WarmingEndpoints(dependencies);
    }

    /** Selects the endpoints that have warmed up, and those for which this node has a permit left. */
    selectWithRoom(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[] {
        const traits = this.dependencies.findTraits(query.service);
        return traits === undefined ? endpoints : endpoints.filter(endpoint => this.hasRoom(endpoint, traits));
    }

    findObstacle(): EndpointObstacle {
        return EndpointObstacle.Warming;
    }

    /** Returns the time after which a refused request has a chance if every endpoint warms up: with the next permits or the end of a limit. */
    findRetryDelay(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): number | undefined {
        const traits = this.dependencies.findTraits(query.service);
        if (traits === undefined || endpoints.length === 0 || endpoints.some(endpoint => this.hasRoom(endpoint, traits))) {
            return undefined;
        }
        const { clock, random } = this.dependencies;
        this.dependencies.countRequest(query.service, WarmUpOutcome.Refused);
        const now = clock.getMonotonicTime();
        const untilUnlimited = endpoints.map(endpoint => this.getWarmAt(endpoint, traits) + getRampTime() - now);
        return Math.min(computeTimeToNextWindow(clock.getWallTime(), random.pickFraction()), ...untilUnlimited);
    }

    /** Takes a permit for a request that is being sent; undefined if the endpoint has no limit. */
    takePermit(endpoint: FleetEndpoint): WarmUpPermit | undefined {
        const { service } = endpoint.entry;
        const traits = this.dependencies.findTraits(service);
        const factor = traits === undefined ? undefined : this.findPermitFactor(endpoint, traits);
        if (traits === undefined || factor === undefined) {
            return undefined;
        }
        const grant = this.getGrant(endpoint, traits, factor);
        grant.used += 1;
        this.dependencies.countRequest(service, WarmUpOutcome.Sent);
        return { service, grant };
    }

    /** Returns the permit of a request that the endpoint has not received, or that it does not count. */
    releasePermit({ service, grant }: WarmUpPermit): void {
        grant.used -= 1;
        this.dependencies.countRequest(service, WarmUpOutcome.Returned);
    }

    private hasRoom(endpoint: FleetEndpoint, traits: WarmUpTraits): boolean {
        const factor = this.findPermitFactor(endpoint, traits);
        if (factor === undefined) {
            this.logged.delete(endpoint);
            return true;
        }
        this.logLimit(endpoint, traits);
        if (!isWithinUsableTime(this.dependencies.clock.getWallTime())) {
            return false;
        }
        const grant = this.getGrant(endpoint, traits, factor);
        return grant.used < grant.permits;
    }

    /** Returns the factor on an endpoint's permits, 1 while it is cold; undefined if it has no limit. */
    private findPermitFactor(endpoint: FleetEndpoint, traits: WarmUpTraits): number | undefined {
        const warmFor = this.dependencies.clock.getMonotonicTime() - this.getWarmAt(endpoint, traits);
        return warmFor < 0 ? 1 : rampFactors[Math.floor(warmFor / millisecondsPerSecond)];
    }

    /**
     * Returns when an endpoint is warm, in monotonic milliseconds. One that accepted no connections may be cold when it accepts them
     * again, and says so in its entry only later.
     */
    private getWarmAt(endpoint: FleetEndpoint, traits: WarmUpTraits): number {
        return Math.max(endpoint.getWarmAt(), endpoint.getReachableSince() + traits.milliseconds);
    }

    private getGrant(endpoint: FleetEndpoint, traits: WarmUpTraits, factor: number): WarmUpGrant {
        const window = this.getWindow();
        let grant = this.grants.get(endpoint);
        if (grant?.window === window && grant.factor === factor) {
            return grant;
        }
        if (grant?.window !== window) {
            grant = { window, factor, permits: 0, used: 0 };
            this.grants.set(endpoint, grant);
        }
        grant.factor = factor;
        grant.permits = this.countOwnPermits(endpoint, window, computeWindowPermits(traits, this.dependencies.settings) * factor);
        return grant;
    }

    private countOwnPermits(endpoint: FleetEndpoint, window: number, permits: number): number {
        const peers = this.listPeerNames(window);
        if (peers === undefined || window < this.firstWindow) {
            return 0;
        }
        const { id, incarnation } = endpoint.entry;
        return this.permits.countOwn(`${id}/${incarnation}`, window, permits, peers);
    }

    /** Returns the other nodes' names as of the first use in a window. */
    private listPeerNames(window: number): readonly string[] | undefined {
        if (this.peers?.window !== window || this.peers.names === undefined) {
            this.peers = { window, names: this.dependencies.membership.listPeerNames() };
        }
        return this.peers.names;
    }

    private getWindow(): number {
        return Math.floor(this.dependencies.clock.getWallTime() / permitWindowMilliseconds);
    }

    private logLimit(endpoint: FleetEndpoint, traits: WarmUpTraits): void {
        if (this.logged.has(endpoint)) {
            return;
        }
        this.logged.add(endpoint);
        const left = this.getWarmAt(endpoint, traits) - this.dependencies.clock.getMonotonicTime();
        this.dependencies.log.log(LogEvents.EndpointWarming, {
            endpoint: endpoint.entry.id,
            service: endpoint.entry.service,
            isAnnounced: endpoint.entry.warmUpLeft > 0,
            milliseconds: Number.isFinite(left) ? Math.round(left) : undefined,
            permits: computeWindowPermits(traits, this.dependencies.settings),
            nodes: (this.listPeerNames(this.getWindow())?.length ?? 0) + 1,
        });
    }
}

function getRampTime(): number {
    return rampFactors.length * millisecondsPerSecond;
}
