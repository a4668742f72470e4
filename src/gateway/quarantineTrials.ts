import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { Revision } from "../provider/revision.js";
import { FingerprintRecord } from "../requests/quarantineLedger.js";
import { ClaimOutcome, StoredQuarantines } from "./storedQuarantines.js";

/** Time after an undecided claim before the next one, in milliseconds: most outages of the store last seconds. */
const claimRetryMilliseconds = 1_000;
/** Longest time for which a request waits for the store's decision, in milliseconds; a claim that is granted later serves the next request. */
const claimWaitMilliseconds = 250;

/** Largest number of requests that run under one trial, because they are lost, callers leave or endpoints are full. */
const maximumTrialRuns = 3;
/** Largest number of requests that are lost under one trial; a second one tells bad luck from a poison request. */
const maximumTrialLosses = 2;
/** Time after a loss before the next request of the same trial, in milliseconds: crashed endpoints are back by then. */
const nextTrialDelayMilliseconds = 10_000;

/** State of a quarantine's trial, as this node knows it. */
enum TrialState {
    /** This node is claiming it, or the store has not decided its claim. */
    Undecided,
    /** This node holds it; no request runs under it. */
    Held,
    /** This node holds it, and a request runs under it. */
    Running,
    /** Another node holds it, or too many requests have run under it without success. */
    Closed,
}

interface Trial {
    state: TrialState;
    /** Request that runs under the trial. */
    request: string | undefined;
    /** Number of requests that have run under it. */
    runs: number;
    /** Number of requests that were lost under it. */
    losses: number;
    /** Monotonic time in milliseconds before which no request runs under it, and the store is not asked again. */
    claimableAt: number;
    /** Revision of the stored quarantine after this node's claim. */
    revision: Revision | undefined;
    /** Unix time in milliseconds at which the quarantine expires. */
    readonly until: number;
}

/**
 * Grants one trial for each quarantine, so that a harmless request that ran on crashed endpoints by chance is cleared by its success.
 * The node that claims the trial in the store may send the request once, and a few times more if there is no result. No other node
 * sends it, nor does one that cannot reach the store.
 */
export class QuarantineTrials {
    private readonly trials = new Map<string, Trial>();

    private constructor(
        private readonly stored: StoredQuarantines,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(stored: StoredQuarantines, clock: Clock, log: EventLog): QuarantineTrials {
        return new QuarantineTrials(stored, clock, log);
    }

    /** Returns whether a request runs under the trial of a fingerprint. */
    isRunning(fingerprint: string, request: string): boolean {
        const trial = this.findTrial(fingerprint);
        return trial?.state === TrialState.Running && trial.request === request;
    }

    /** Returns whether this node holds the trial of a fingerprint, or may claim it now. */
    isAvailable(fingerprint: string): boolean {
        const trial = this.findTrial(fingerprint);
        if (trial === undefined) {
            return true;
        }
        const isOpen = trial.state === TrialState.Held || trial.state === TrialState.Undecided;
        return isOpen && this.clock.getMonotonicTime() >= trial.claimableAt;
    }

    /** Returns whether a node is known to hold the trial of a fingerprint, or to have held it. */
    isClaimed(fingerprint: string): boolean {
        const trial = this.findTrial(fingerprint);
        return trial !== undefined && trial.state !== TrialState.Undecided;
    }

    /** Claims the trial of a quarantine for a request; returns whether the request may run. */
    async claimTrial(record: FingerprintRecord, request: string): Promise<boolean> {
        if (!this.isAvailable(record.fingerprint)) {
            return false;
        }
        const trial = this.findTrial(record.fingerprint) ?? this.addTrial(record);
        if (trial.state !== TrialState.Held) {
            await Promise.race([this.resolveClaim(trial, record), this.clock.sleep(claimWaitMilliseconds)]);
        }
        if (!this.isHeld(trial)) {
            return false;
        }
        trial.state = TrialState.Running;
        trial.request = request;
        trial.runs += 1;
        return true;
    }

    /** Records that another node has claimed the trial of a quarantine, so that this node need not ask the store. */
    recordOtherHolder(record: FingerprintRecord): void {
        const trial = this.findTrial(record.fingerprint) ?? this.addTrial(record);
        if (trial.state === TrialState.Undecided) {
            trial.state = TrialState.Closed;
        }
    }

    /** Records that the request under trial was lost. After the second loss the quarantine stands until it expires. */
    recordFailure(fingerprint: string, request: string): void {
        const trial = this.findTrial(fingerprint);
        if (trial !== undefined && this.isRunning(fingerprint, request)) {
            trial.losses += 1;
            trial.claimableAt = this.clock.getMonotonicTime() + nextTrialDelayMilliseconds;
            this.endRun(trial);
        }
    }

    /** Gives a trial without a result back to this node, for the next request with the fingerprint. */
    releaseTrial(fingerprint: string, request: string): void {
        const trial = this.findTrial(fingerprint);
        if (trial !== undefined && this.isRunning(fingerprint, request)) {
            this.endRun(trial);
        }
    }

    /** Removes the trial of a request that was cleared, and its stored quarantine if this node holds the trial. */
    removeTrial(fingerprint: string): void {
        const trial = this.trials.get(fingerprint);
        this.trials.delete(fingerprint);
        if (trial?.revision !== undefined) {
            void this.stored.removeQuarantine(fingerprint, trial.revision);
        }
    }

    /** Claims a trial in the store and records the decision, which may come after the request has stopped waiting for it. */
    private async resolveClaim(trial: Trial, record: FingerprintRecord): Promise<void> {
        // Only one request of this node asks the store; the others are refused meanwhile.
        trial.claimableAt = Infinity;
        const { outcome, revision } = await this.stored.claimTrial(record);
        if (revision !== undefined && this.trials.get(record.fingerprint) !== trial) {
            // The request was cleared while the store decided.
            void this.stored.removeQuarantine(record.fingerprint, revision);
        }
        trial.revision = revision;
        trial.claimableAt = this.clock.getMonotonicTime() + (outcome === ClaimOutcome.Undecided ? claimRetryMilliseconds : 0);
        if (outcome !== ClaimOutcome.Undecided) {
            trial.state = outcome === ClaimOutcome.Granted ? TrialState.Held : TrialState.Closed;
        }
        this.log.log(LogEvents.TrialClaimed, { fingerprint: record.fingerprint, outcome });
    }

    private isHeld(trial: Trial): boolean {
        return trial.state === TrialState.Held;
    }

    private endRun(trial: Trial): void {
        trial.state = trial.runs < maximumTrialRuns && trial.losses < maximumTrialLosses ? TrialState.Held : TrialState.Closed;
        trial.request = undefined;
    }

    private findTrial(fingerprint: string): Trial | undefined {
        const trial = this.trials.get(fingerprint);
        return trial !== undefined && trial.until > this.clock.getWallTime() ? trial : undefined;
    }

    private addTrial({ fingerprint, until }: FingerprintRecord): Trial {
        this.removeExpired();
        const trial: Trial = {
            state: TrialState.Undecided,
            request: undefined,
            runs: 0,
            losses: 0,
            claimableAt: -Infinity,
            revision: undefined,
            until,
        };
        this.trials.set(fingerprint, trial);
        return trial;
    }

    private removeExpired(): void {
        const now = this.clock.getWallTime();
        for (const [fingerprint, { until }] of this.trials) {
            if (until <= now) {
                this.trials.delete(fingerprint);
            }
        }
    }
}
