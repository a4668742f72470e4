import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { IncomingCall } from "./types.js";

/** Endpoints that a request must have ended before it is refused: fewer would refuse those that ran beside it by chance. */
export const deathsUntilRefusal = 3;
/** Time between a request's loss and the sign of its endpoint's death, in milliseconds: three silent heartbeats and some. */
const confirmMilliseconds = 4_500;

/** Time in which a request that did no harm is cleared by being served, in milliseconds: a call or a first event takes less. */
const clearingMilliseconds = 500;

interface LostRequest {
    readonly fingerprint: string;
    readonly at: number;
}

/** Finds requests that end the endpoints that run them: lost at an endpoint that then turns out to be dead, several times. */
export class CrashWatch {
    /** When a request was first met with enough deaths to be refused. */
    private readonly suspectedSince = new Map<string, number>();
    private readonly lost = new Map<FleetEndpoint, LostRequest[]>();

    private constructor(
        private readonly ledger: QuarantineLedger,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(ledger: QuarantineLedger, clock: Clock, log: EventLog): CrashWatch {
        return new CrashWatch(ledger, clock, log);
    }

    /**
     * Whether a request has ended so many endpoints that it gets no more. Endpoints that die together end many requests that did them no harm;
     * such a request soon succeeds somewhere and is cleared.
     */
    isRefused(call: IncomingCall): boolean {
        if (this.ledger.isEmpty()) {
            return false;
        }
        const fingerprint = call.getFingerprint();
        if (this.ledger.countDeaths(fingerprint) < deathsUntilRefusal) {
            this.suspectedSince.delete(fingerprint);
            return false;
        }
        const now = this.clock.getMonotonicTime();
        const since = this.suspectedSince.get(fingerprint) ?? now;
        this.suspectedSince.set(fingerprint, since);
        return now - since >= clearingMilliseconds;
    }

    /** Records that a request was served: the endpoints that died with it had another cause. */
    recordSuccess(call: IncomingCall): void {
        if (this.ledger.isEmpty()) {
            return;
        }
        const deaths = this.ledger.listDeaths(call.getFingerprint());
        if (deaths.length > 0) {
            this.ledger.removeDeaths(call.getFingerprint(), deaths);
            this.log.log(LogEvents.SuspicionRemoved, { request: call.id, fingerprint: call.getFingerprint(), deaths: deaths.length });
        }
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
                this.suspectedSince.set(fingerprint, now);
                this.log.log(LogEvents.QuarantineAdded, { fingerprint, deaths: deathsUntilRefusal, endpoint: endpoint.entry.id });
            }
        }
    }
}
