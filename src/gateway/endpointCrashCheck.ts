import { Clock } from "../common/clock.js";
import { ConnectionProbe, ProbeResult } from "../endpoints/connectionProbe.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";

/** Pause before the second probe, in milliseconds; it doubles with each further one. */
const probePauseMilliseconds = 30;

/** Tells whether an endpoint's process has ended, by whether it refuses connections. */
export class EndpointCrashCheck {
    private constructor(private readonly probe: ConnectionProbe, private readonly clock: Clock) {}

    static create(probe: ConnectionProbe, clock: Clock): EndpointCrashCheck {
        return new EndpointCrashCheck(probe, clock);
    }

    /**
     * Returns whether an endpoint refuses connections. Probes it up to `maximumProbes` times while it accepts connections without
     * sending anything, since a process that is ending still accepts them for a moment. A connection that is not answered is no
     * evidence of a crash: the network between may be cut.
     */
    async hasCrashed(endpoint: FleetEndpoint, maximumProbes: number): Promise<boolean> {
        const startedAt = this.clock.getMonotonicTime();
        for (let probes = 1;; probes += 1) {
            const result = await this.probe.checkAddress(endpoint.entry.address);
            if (result !== ProbeResult.Accepted || endpoint.lastReceivedAt > startedAt || probes >= maximumProbes) {
                return result === ProbeResult.Refused;
            }
            await this.clock.sleep(probePauseMilliseconds * 2 ** (probes - 1));
        }
    }
}
