import { Clock } from "../common/clock.js";
import { RandomSource } from "../common/random.js";
import { ConnectionProbe, ProbeResult } from "../endpoints/connectionProbe.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { Evacuations } from "../fleet/evacuations.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { ServicePathTracker } from "../fleet/servicePathTracker.js";

/** Interval at which lost network paths are tried again, in milliseconds: calls go over peers meanwhile. */
const probeIntervalMilliseconds = 500;
/** Number of endpoints of a service that are probed at a time. */
const probedEndpoints = 2;

/** Finds out by connections of its own whether this node's network paths to endpoints work. */
export class ServicePathProber {
    private readonly checks = new Map<FleetEndpoint, Promise<boolean>>();
    private isStopped = false;

    private constructor(
        private readonly paths: ServicePathTracker,
        private readonly directory: EndpointDirectory,
        private readonly probe: ConnectionProbe,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly evacuations: Pick<Evacuations, "isEvacuated">,
    ) {}

    static create(
        paths: ServicePathTracker,
        directory: EndpointDirectory,
        probe: ConnectionProbe,
        clock: Clock,
        random: RandomSource,
        evacuations: Pick<Evacuations, "isEvacuated">,
    ): ServicePathProber {
        return new ServicePathProber(paths, directory, probe, clock, random, evacuations);
    }

    /** Probes the services whose paths are lost until it is stopped; does nothing while there are none. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            await Promise.all(this.paths.listUnreachableServices().flatMap(service => this.probeService(service)));
            await this.clock.sleep(probeIntervalMilliseconds);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Opens a connection to an endpoint and records whether it was accepted; concurrent checks of one endpoint share it. */
    checkEndpoint(endpoint: FleetEndpoint): Promise<boolean> {
        const running = this.checks.get(endpoint);
        if (running !== undefined) {
            return running;
        }
        const check = this.probeEndpoint(endpoint).finally(() => this.checks.delete(endpoint));
        this.checks.set(endpoint, check);
        return check;
    }

    private probeService(service: string): Promise<boolean>[] {
        const usable = this.directory.listEndpoints(service).filter(endpoint =>
            endpoint.isUsable() && !this.evacuations.isEvacuated(endpoint.entry.failureDomain)
        );
        const probes: Promise<boolean>[] = [];
        while (usable.length > 0 && probes.length < probedEndpoints) {
            const [endpoint] = usable.splice(this.random.pickIndex(usable.length), 1);
            probes.push(this.checkEndpoint(endpoint as FleetEndpoint));
        }
        return probes;
    }

    private async probeEndpoint(endpoint: FleetEndpoint): Promise<boolean> {
        const isAccepted = await this.probe.checkAddress(endpoint.entry.address) === ProbeResult.Accepted;
        if (isAccepted) {
            this.paths.recordContact(endpoint);
        }
        else {
            this.paths.recordFailure(endpoint);
        }
        return isAccepted;
    }
}
