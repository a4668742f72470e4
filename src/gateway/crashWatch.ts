import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { IncomingCall } from "./types.js";

/** Endpoints that a request must have ended before it is refused: fewer would refuse those that ran beside it by chance. */
const deathsUntilRefusal = 3;
/** Time between a request's loss and the sign of its endpoint's death, in milliseconds: three silent heartbeats and some. */
const confirmMilliseconds = 4_500;

interface LostRequest {
    readonly fingerprint: string;
    readonly at: number;
}

/** Finds requests that end the endpoints that run them: lost at an endpoint that then turns out to be dead, several times. */
export class CrashWatch {
    private readonly lost = new Map<FleetEndpoint, LostRequest[]>();

    private constructor(
        private readonly ledger: QuarantineLedger,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(ledger: QuarantineLedger, clock: Clock, log: EventLog): CrashWatch {
        return new CrashWatch(ledger, clock, log);
    }

    /** Whether a request has ended so many endpoints that it gets no more. */
    isRefused(call: IncomingCall): boolean {
        return !this.ledger.isEmpty() && this.ledger.countDeaths(call.getFingerprint()) >= deathsUntilRefusal;
    }

    /** Records that the connection of a running request was lost. */
    recordLoss(endpoint: FleetEndpoint, fingerprint: string): void {
        const now = this.clock.getMonotonicTime();
        const recent = (this.lost.get(endpoint) ?? []).filter(request => now - request.at < confirmMilliseconds);
        recent.push({ fingerprint, at: now });
        this.lost.set(endpoint, recent);
    }

    /** Records a sign that an endpoint has died: it refuses connections, or another life of it was seen. */
    recordDeath(endpoint: FleetEndpoint): void {
        const requests = this.lost.get(endpoint) ?? [];
        this.lost.delete(endpoint);
        const now = this.clock.getMonotonicTime();
        const life = `${endpoint.entry.id}/${endpoint.entry.incarnation}`;
        for (const { fingerprint, at } of requests) {
            if (now - at >= confirmMilliseconds) {
                continue;
            }
            this.ledger.recordDeath(fingerprint, life);
            if (this.ledger.countDeaths(fingerprint) === deathsUntilRefusal) {
                this.log.log(LogEvents.QuarantineAdded, { fingerprint, deaths: deathsUntilRefusal, endpoint: endpoint.entry.id });
            }
        }
    }
}
