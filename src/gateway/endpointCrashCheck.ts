import { Clock } from "../common/clock.js";
import { RandomSource } from "../common/random.js";
import { ConnectionProbe, ProbeResult } from "../endpoints/connectionProbe.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";

/** Pause before the second probe, in milliseconds; it doubles with each further one. */
const probePauseMilliseconds = 30;

/** Number of other endpoints of which one must accept a connection before a refusal counts as a crash. */
const comparedEndpoints = 3;

/** Tells whether an endpoint's process has ended, by whether it refuses connections. */
export class EndpointCrashCheck {
    private constructor(
        private readonly probe: ConnectionProbe,
        private readonly directory: EndpointDirectory,
        private readonly clock: Clock,
        private readonly random: RandomSource,
    ) {}

    static create(probe: ConnectionProbe, directory: EndpointDirectory, clock: Clock, random: RandomSource): EndpointCrashCheck {
        return new EndpointCrashCheck(probe, directory, clock, random);
    }

    /**
     * Returns whether an endpoint refuses connections, while another one accepts them: a node that is cut off is refused everywhere,
     * and its own network paths must not count against endpoints or their requests.
     */
    async hasCrashed(endpoint: FleetEndpoint, maximumProbes: number): Promise<boolean> {
        return await this.isRefusing(endpoint, maximumProbes) && await this.isOtherEndpointReachable(endpoint);
    }

    /**
     * Returns whether an endpoint refuses connections. Probes it up to `maximumProbes` times while it accepts connections without
     * sending anything, since a process that is ending still accepts them for a moment. A connection that is not answered is no
     * refusal: the network between may be cut.
     */
    async isRefusing(endpoint: FleetEndpoint, maximumProbes: number): Promise<boolean> {
        const startedAt = this.clock.getMonotonicTime();
        for (let probes = 1;; probes += 1) {
            const result = await this.probe.checkAddress(endpoint.entry.address);
            if (result === ProbeResult.Refused) {
                return true;
            }
            if (result !== ProbeResult.Accepted || endpoint.lastReceivedAt > startedAt || probes >= maximumProbes) {
                return false;
            }
            await this.clock.sleep(probePauseMilliseconds * 2 ** (probes - 1));
        }
    }

    /** Returns whether a new connection to some other endpoint is accepted; open connections may outlive a lost path. */
    private async isOtherEndpointReachable(endpoint: FleetEndpoint): Promise<boolean> {
        const others = this.directory.listAll().filter(other => other !== endpoint && other.isUsable());
        const probes: Promise<ProbeResult>[] = [];
        while (others.length > 0 && probes.length < comparedEndpoints) {
            const [other] = others.splice(this.random.pickIndex(others.length), 1);
            probes.push(this.probe.checkAddress((other as FleetEndpoint).entry.address));
        }
        return (await Promise.all(probes)).includes(ProbeResult.Accepted);
    }
}
