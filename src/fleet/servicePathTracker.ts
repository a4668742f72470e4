import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { EndpointDirectory } from "./endpointDirectory.js";
import { FleetEndpoint } from "./fleetEndpoint.js";

/** Number of endpoints to which new connections must have failed, one after the other, before the node doubts its own network paths. */
const failedEndpointsUntilDoubt = 2;

/**
 * Tracks for each service whether this node's own network paths still lead to any of its endpoints. A failed path says nothing
 * about the endpoint: other nodes may reach it.
 */
export class ServicePathTracker {
    /** Ids of the endpoints that could not be reached since any endpoint of their service was. */
    private readonly failedEndpointsByService = new Map<string, Set<string>>();

    private constructor(private readonly directory: EndpointDirectory, private readonly log: EventLog) {}

    static create(directory: EndpointDirectory, log: EventLog): ServicePathTracker {
        return new ServicePathTracker(directory, log);
    }

    /** Records that no connection to an endpoint could be established, or that established ones went silent. */
    recordFailure(endpoint: FleetEndpoint): void {
        const { id, service } = endpoint.entry;
        const wasUnreachable = this.isUnreachable(service);
        const failed = this.failedEndpointsByService.get(service) ?? new Set();
        failed.add(id);
        this.failedEndpointsByService.set(service, failed);
        if (!wasUnreachable && this.isUnreachable(service)) {
            this.log.log(LogEvents.ServicePathsChanged, { service, state: "lost", endpoints: [...failed].join(",") });
        }
    }

    /** Records that an endpoint accepted a connection or sent something. */
    recordContact(endpoint: FleetEndpoint): void {
        if (this.failedEndpointsByService.size === 0) {
            return;
        }
        const { id, service } = endpoint.entry;
        const wasUnreachable = this.isUnreachable(service);
        this.failedEndpointsByService.delete(service);
        if (wasUnreachable) {
            this.log.log(LogEvents.ServicePathsChanged, { service, state: "regained", endpoints: id });
        }
    }

    /** Returns whether this node has lost its paths to the endpoints of a service, by the latest failures and contacts. */
    isUnreachable(service: string): boolean {
        const failed = this.failedEndpointsByService.get(service);
        if (failed === undefined) {
            return false;
        }
        const usable = this.directory.listEndpoints(service).filter(endpoint => endpoint.isUsable());
        const failedUsable = usable.filter(endpoint => failed.has(endpoint.entry.id)).length;
        return failedUsable > 0 && failedUsable >= Math.min(failedEndpointsUntilDoubt, usable.length);
    }

    /** Returns the services whose endpoints this node cannot reach. */
    listUnreachableServices(): string[] {
        return [...this.failedEndpointsByService.keys()].filter(service => this.isUnreachable(service));
    }
}
