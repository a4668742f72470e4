import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { IncomingCall } from "./types.js";

/** Number of endpoints that a request must have crashed before it is refused; fewer would also refuse requests that ran beside it by chance. */
export const crashesUntilRefusal = 3;
/** Longest time from the loss of a request to the evidence that its endpoint crashed: three missed heartbeats, plus a margin. */
const crashConfirmationMilliseconds = 4_500;

/** Time that a suspect request has to be cleared by a success before it is refused; a call or a first event takes less. */
const clearanceMilliseconds = 500;

/** What shows that an endpoint crashed. */
export enum CrashEvidence {
    ConnectionRefused = "connection refused",
    EntryRemoved = "entry removed",
    Restarted = "restarted",
}

/** A request whose connection was lost, in monotonic milliseconds. */
interface LostRequest {
    readonly fingerprint: string;
    readonly at: number;
}

/** Detects poison requests: requests that were lost several times at endpoints that turned out to have crashed. */
export class PoisonRequestDetector {
    /** Monotonic time at which a request was first seen with enough crashes to be refused, by fingerprint. */
    private readonly suspectedSinceByFingerprint = new Map<string, number>();
    private readonly lostRequestsByEndpoint = new Map<FleetEndpoint, LostRequest[]>();

    private constructor(
        private readonly ledger: QuarantineLedger,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(ledger: QuarantineLedger, clock: Clock, log: EventLog): PoisonRequestDetector {
        return new PoisonRequestDetector(ledger, clock, log);
    }

    /**
     * Returns whether a request has crashed too many endpoints to be sent again. Endpoints that crash together also lose harmless requests;
     * such a request soon succeeds at another endpoint and is cleared.
     */
    isRefused(call: IncomingCall): boolean {
        if (this.ledger.isEmpty()) {
            return false;
        }
        const fingerprint = call.getFingerprint();
        if (this.ledger.countCrashes(fingerprint) < crashesUntilRefusal) {
            this.suspectedSinceByFingerprint.delete(fingerprint);
            return false;
        }
        const now = this.clock.getMonotonicTime();
        const since = this.suspectedSinceByFingerprint.get(fingerprint) ?? now;
        this.suspectedSinceByFingerprint.set(fingerprint, since);
        const isRefused = now - since >= clearanceMilliseconds;
        if (!isRefused) {
            const crashes = this.ledger.countCrashes(fingerprint);
            this.log.log(LogEvents.SuspectAllowed, { request: call.id, fingerprint, crashes, suspectedFor: Math.round(now - since) });
        }
        return isRefused;
    }

    /** Records that a request was served, which clears it: the endpoints that crashed while running it had another cause. */
    recordSuccess(call: IncomingCall): void {
        if (this.ledger.isEmpty()) {
            return;
        }
        const deaths = this.ledger.listCrashedEndpoints(call.getFingerprint());
        if (deaths.length > 0) {
            this.ledger.removeCrashes(call.getFingerprint(), deaths);
            this.log.log(LogEvents.SuspicionRemoved, { request: call.id, fingerprint: call.getFingerprint(), deaths: deaths.length });
        }
    }

    /** Records that the connection to an endpoint was lost while it ran a request. */
    recordLoss(endpoint: FleetEndpoint, fingerprint: string): void {
        const now = this.clock.getMonotonicTime();
        const recent = (this.lostRequestsByEndpoint.get(endpoint) ?? []).filter(request =>
            now - request.at < crashConfirmationMilliseconds
        );
        recent.push({ fingerprint, at: now });
        this.lostRequestsByEndpoint.set(endpoint, recent);
    }

    /** Records evidence that an endpoint crashed: it refuses connections, or a new incarnation of it was seen. */
    recordCrash(endpoint: FleetEndpoint, evidence: CrashEvidence): void {
        const now = this.clock.getMonotonicTime();
        const requests = (this.lostRequestsByEndpoint.get(endpoint) ?? []).filter(({ at }) => now - at < crashConfirmationMilliseconds);
        this.lostRequestsByEndpoint.delete(endpoint);
        if (requests.length === 0) {
            return;
        }
        this.log.log(LogEvents.CrashRecorded, { endpoint: endpoint.entry.id, evidence, requests: requests.length });
        const incarnation = `${endpoint.entry.id}/${endpoint.entry.incarnation}`;
        for (const { fingerprint } of requests) {
            this.ledger.recordCrash(fingerprint, incarnation);
            if (this.ledger.countCrashes(fingerprint) === crashesUntilRefusal) {
                this.suspectedSinceByFingerprint.set(fingerprint, now);
                this.log.log(LogEvents.QuarantineAdded, { fingerprint, deaths: crashesUntilRefusal, endpoint: endpoint.entry.id });
            }
        }
    }
}
