import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointEntry } from "../fleet/types.js";
import { FingerprintRecord, QuarantineLedger } from "../requests/quarantineLedger.js";
import { EndpointCrashCheck } from "./endpointCrashCheck.js";
import { QuarantineTrials } from "./quarantineTrials.js";
import { StoredQuarantines } from "./storedQuarantines.js";
import { IncomingCall } from "./types.js";

/**
 * Number of endpoints that a request, or a part of its prompt, must have crashed before it is quarantined; fewer would also refuse
 * requests that ran beside the cause by chance.
 */
export const crashesUntilQuarantine = 3;
/** Longest time from the loss of a request to the evidence that its endpoint crashed: three missed heartbeats, plus a margin. */
const crashConfirmationMilliseconds = 4_500;

/** Time after the latest crash before a trial, in milliseconds: requests that are running elsewhere end first, and a success clears the suspect. */
const trialDelayMilliseconds = 1_000;

/** Number of probes after which an endpoint that accepts connections is taken to run: one that is ending still accepts them for a moment. */
const maximumProbes = 3;
/** Time for which counted crashes are collected before peers are told, in milliseconds. */
const crashReportDelayMilliseconds = 50;

/** What shows that an endpoint crashed. */
export enum CrashEvidence {
    ConnectionRefused = "connection refused",
    EntryRemoved = "entry removed",
    Restarted = "restarted",
}

/** Whether a request may be sent to an endpoint. */
export enum Admission {
    Allowed,
    /** It is quarantined, and may run only under the quarantine's trial, which this node can claim. */
    NeedsTrial,
    Refused,
}

/** A request whose connection was lost, in monotonic milliseconds. */
interface LostRequest {
    readonly fingerprints: readonly string[];
    readonly at: number;
}

/** Returns whether an endpoint is replaced by one of another version, so that its end is planned although it does not drain. */
export type ReplacementSource = (entry: EndpointEntry) => boolean;

/** Detects poison requests: requests, or requests with a part in their prompts, that were lost several times at endpoints that had crashed. */
export class PoisonRequestDetector {
    private readonly lostRequestsByEndpoint = new Map<FleetEndpoint, LostRequest[]>();
    private readonly probedEndpoints = new Set<FleetEndpoint>();
    private handleNewCrash: () => void = () => {};
    private isReporting = false;

    private constructor(
        private readonly ledger: QuarantineLedger,
        private readonly stored: StoredQuarantines,
        private readonly trials: QuarantineTrials,
        private readonly crashCheck: EndpointCrashCheck,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly isReplaced: ReplacementSource,
    ) {}

    static create(
        ledger: QuarantineLedger,
        stored: StoredQuarantines,
        trials: QuarantineTrials,
        crashCheck: EndpointCrashCheck,
        clock: Clock,
        log: EventLog,
        isReplaced: ReplacementSource = () => false,
    ): PoisonRequestDetector {
        return new PoisonRequestDetector(ledger, stored, trials, crashCheck, clock, log, isReplaced);
    }

    /** Sets a function that is called soon after a crash was counted, so that peers learn of it at once. */
    setCrashHandler(handleNewCrash: () => void): void {
        this.handleNewCrash = handleNewCrash;
    }

    /**
     * Returns whether a request may be sent. It is quarantined on every node as soon as the node knows of enough crashes: a time in
     * which it could still run would begin on each node when the request first comes there.
     */
    getAdmission(call: IncomingCall): Admission {
        if (this.ledger.isEmpty()) {
            return Admission.Allowed;
        }
        const quarantined = this.listQuarantined(call).filter(fingerprint => !this.trials.isRunning(fingerprint, call.id));
        if (quarantined.length === 0) {
            return Admission.Allowed;
        }
        // With two of them, a sound part would be tried together with the one that crashes endpoints.
        const isTrialAllowed = quarantined.length === 1 && quarantined.every(fingerprint => this.isTrialDue(fingerprint));
        return isTrialAllowed ? Admission.NeedsTrial : Admission.Refused;
    }

    /** Returns the largest number of crashes that are counted against a request or a part of its prompt. */
    countCrashes(call: IncomingCall): number {
        return Math.max(...listFingerprints(call).map(fingerprint => this.ledger.countCrashes(fingerprint)));
    }

    /** Claims the trial of a quarantined request; returns whether it may be sent. `endTrial` must follow. */
    async claimTrial(call: IncomingCall): Promise<boolean> {
        const [fingerprint] = this.listQuarantined(call);
        const record = fingerprint === undefined ? undefined : this.ledger.findRecord(fingerprint);
        return record === undefined || this.trials.claimTrial(record, call.id);
    }

    /** Gives back the trial under which a request ran, if it was neither served nor lost. */
    endTrial(call: IncomingCall): void {
        if (!this.ledger.isEmpty()) {
            listFingerprints(call).forEach(fingerprint => this.trials.releaseTrial(fingerprint, call.id));
        }
    }

    /** Records that a request was served, which clears it and the parts of its prompt: the endpoints that crashed had another cause. */
    recordSuccess(call: IncomingCall): void {
        if (this.ledger.isEmpty()) {
            return;
        }
        for (const fingerprint of listFingerprints(call)) {
            const crashes = this.ledger.listCrashedEndpoints(fingerprint);
            if (crashes.length > 0) {
                this.ledger.removeCrashes(fingerprint, crashes);
                this.stored.cancelQuarantine(fingerprint);
                this.trials.removeTrial(fingerprint);
                this.log.log(LogEvents.SuspicionRemoved, { request: call.id, fingerprint, deaths: crashes.length });
            }
        }
    }

    /** Records that the connection to an endpoint was lost while it ran a request. A planned end of the endpoint is no crash. */
    recordLoss(endpoint: FleetEndpoint, call: IncomingCall): void {
        if (this.isEndPlanned(endpoint)) {
            listFingerprints(call).forEach(fingerprint => this.trials.releaseTrial(fingerprint, call.id));
            return;
        }
        const now = this.clock.getMonotonicTime();
        const recent = (this.lostRequestsByEndpoint.get(endpoint) ?? []).filter(request =>
            now - request.at < crashConfirmationMilliseconds
        );
        const fingerprints = listFingerprints(call);
        recent.push({ fingerprints, at: now });
        this.lostRequestsByEndpoint.set(endpoint, recent);
        fingerprints.forEach(fingerprint => this.trials.recordFailure(fingerprint, call.id));
        if (endpoint.isRemoved) {
            // Its removal or restart was seen before the loss, and will not be seen again.
            this.recordCrash(endpoint, CrashEvidence.EntryRemoved);
            return;
        }
        void this.checkEndpoint(endpoint);
    }

    /** Checks whether an endpoint that lost requests has crashed. */
    async checkEndpoint(endpoint: FleetEndpoint): Promise<void> {
        if (this.probedEndpoints.has(endpoint) || !this.lostRequestsByEndpoint.has(endpoint)) {
            return;
        }
        this.probedEndpoints.add(endpoint);
        const hasCrashed = await this.crashCheck.hasCrashed(endpoint, maximumProbes);
        this.probedEndpoints.delete(endpoint);
        if (hasCrashed) {
            this.recordCrash(endpoint, CrashEvidence.ConnectionRefused);
        }
    }

    /** Records evidence that an endpoint crashed: it refuses connections, or a new incarnation of it was seen. */
    recordCrash(endpoint: FleetEndpoint, evidence: CrashEvidence): void {
        const now = this.clock.getMonotonicTime();
        const requests = (this.lostRequestsByEndpoint.get(endpoint) ?? []).filter(({ at }) => now - at < crashConfirmationMilliseconds);
        this.lostRequestsByEndpoint.delete(endpoint);
        // A move may have got that far since the loss.
        if (requests.length === 0 || this.isReplaced(endpoint.entry)) {
            return;
        }
        this.log.log(LogEvents.CrashRecorded, { endpoint: endpoint.entry.id, evidence, requests: requests.length });
        const incarnation = `${endpoint.entry.id}/${endpoint.entry.incarnation}`;
        for (const fingerprint of new Set(requests.flatMap(({ fingerprints }) => fingerprints))) {
            this.addCrashes(fingerprint, endpoint.entry.id, () => this.ledger.recordCrash(fingerprint, incarnation));
        }
        void this.reportCrashes();
    }

    /** Merges crashes that a peer or the store counts against a request. */
    mergeRecord(record: FingerprintRecord, source: string): void {
        this.addCrashes(record.fingerprint, source, () => this.ledger.mergeRecord(record));
    }

    /** Runs a function that adds crashes to the ledger, and quarantines the request if it has enough of them now. */
    private addCrashes(fingerprint: string, source: string, add: () => void): void {
        const wasQuarantined = this.isQuarantined(fingerprint);
        add();
        const record = this.ledger.findRecord(fingerprint);
        if (wasQuarantined || record === undefined || !this.isQuarantined(fingerprint)) {
            return;
        }
        this.log.log(LogEvents.QuarantineAdded, { fingerprint, endpoints: record.endpoints.join(","), source });
        if (this.ledger.hasOwnCrash(fingerprint)) {
            this.stored.addQuarantine(record);
        }
    }

    private isEndPlanned(endpoint: FleetEndpoint): boolean {
        return endpoint.entry.isDraining || endpoint.isLeaving || this.isReplaced(endpoint.entry);
    }

    /** Reports counted crashes, those of a short time together: endpoints also crash in large groups. */
    private async reportCrashes(): Promise<void> {
        if (this.isReporting) {
            return;
        }
        this.isReporting = true;
        await this.clock.sleep(crashReportDelayMilliseconds);
        this.isReporting = false;
        this.handleNewCrash();
    }

    private listQuarantined(call: IncomingCall): string[] {
        return listFingerprints(call).filter(fingerprint => this.isQuarantined(fingerprint));
    }

    private isQuarantined(fingerprint: string): boolean {
        return this.ledger.countCrashes(fingerprint) >= crashesUntilQuarantine;
    }

    private isTrialDue(fingerprint: string): boolean {
        const sinceLatestCrash = this.clock.getMonotonicTime() - this.ledger.getLatestCrashTime(fingerprint);
        return sinceLatestCrash >= trialDelayMilliseconds && this.trials.isAvailable(fingerprint);
    }
}

/**
 * Returns what a crash counts against: the request itself, and each part of its prompt that other requests may share, at its
 * service. The last part belongs to the request or its session.
 */
function listFingerprints(call: IncomingCall): string[] {
    const sharedParts = call.prompt?.parts.slice(0, -1) ?? [];
    return [call.getFingerprint(), ...sharedParts.map(part => `part-${encodeURIComponent(call.service)}-${part.id}`)];
}
