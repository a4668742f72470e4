import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { ObjectStore, writeObject } from "../provider/objectStore.js";
import { Revision } from "../provider/revision.js";
import { StoredObject, WriteOutcome } from "../provider/types.js";
import { FingerprintRecord } from "../requests/quarantineLedger.js";

/** Prefix of the store objects that hold quarantines, one for each fingerprint. */
export const quarantinePrefix = "quarantines/";

/** Time after a claim that the store did not decide before the next one, in milliseconds: most outages of the store last seconds. */
const claimRetryMilliseconds = 1_000;

/** Largest number of requests that run under one trial, because they are lost, callers leave or endpoints are full. */
const maximumTrialRuns = 3;
/** Largest number of requests that are lost under one trial; a second one tells bad luck from a poison request. */
const maximumTrialLosses = 2;
/** Time after a loss before the next request of the same trial, in milliseconds: crashed endpoints are back by then. */
const nextTrialDelayMilliseconds = 10_000;

/** Stored quarantine. `trialBy` names the incarnation of the node that holds the trial; absent before the trial is claimed. */
export const quarantineSchema = z.object({ endpoints: z.array(z.string()), until: z.number(), trialBy: z.string().optional() });

type StoredQuarantine = z.infer<typeof quarantineSchema>;

/** State of a quarantine's trial, as this node knows it. */
enum TrialState {
    /** This node is claiming it, or could not reach the store lately. */
    Undecided = "undecided",
    /** This node has claimed it; no request runs under it. */
    Held = "held",
    /** This node has claimed it, and a request runs under it. */
    Running = "running",
    /** Another node has claimed it, or too many requests have run under it without success. */
    Spent = "spent",
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
 * The node that claims the trial with a conditional write to the store may send the request once, and a few times more if there is no
 * result. No other node sends it, nor does one that cannot reach the store.
 */
export class QuarantineTrials {
    private readonly trials = new Map<string, Trial>();
    private readonly stopping = new AbortController();

    private constructor(
        private readonly store: ObjectStore,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly holder: string,
    ) {}

    /** `holder` names this incarnation of the node. */
    static create(store: ObjectStore, clock: Clock, log: EventLog, holder: string): QuarantineTrials {
        return new QuarantineTrials(store, clock, log, holder);
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

    /** Claims the trial of a quarantine for a request; returns whether the request may run. */
    async claimTrial(record: FingerprintRecord, request: string): Promise<boolean> {
        if (!this.isAvailable(record.fingerprint)) {
            return false;
        }
        const trial = this.findTrial(record.fingerprint) ?? this.addTrial(record);
        if (trial.state !== TrialState.Held) {
            // Only one request of this node asks the store; the others are refused meanwhile.
            trial.claimableAt = Infinity;
            trial.state = await this.claimInStore(record, trial);
            trial.claimableAt = trial.state === TrialState.Held ? -Infinity : this.clock.getMonotonicTime() + claimRetryMilliseconds;
            this.log.log(LogEvents.TrialClaimed, { fingerprint: record.fingerprint, request, state: trial.state });
        }
        if (trial.state !== TrialState.Held) {
            return false;
        }
        trial.state = TrialState.Running;
        trial.request = request;
        trial.runs += 1;
        return true;
    }

    /** Records that the request under trial was lost. After the second loss the quarantine stands until it expires. */
    recordFailure(fingerprint: string, request: string): void {
        const trial = this.findTrial(fingerprint);
        if (trial !== undefined && this.isRunning(fingerprint, request)) {
            trial.losses += 1;
            trial.claimableAt = this.clock.getMonotonicTime() + nextTrialDelayMilliseconds;
            this.closeRun(trial);
        }
    }

    /** Gives a trial without a result back to this node, for the next request with the fingerprint. */
    releaseTrial(fingerprint: string, request: string): void {
        const trial = this.findTrial(fingerprint);
        if (trial !== undefined && this.isRunning(fingerprint, request)) {
            this.closeRun(trial);
        }
    }

    /** Removes the trial of a request that was cleared, and its stored quarantine if this node has claimed it. */
    removeTrial(fingerprint: string): void {
        const trial = this.trials.get(fingerprint);
        this.trials.delete(fingerprint);
        if (trial?.revision !== undefined) {
            void this.removeStored(fingerprint, trial.revision);
        }
    }

    /** Stores a quarantine without a claim to its trial, with retries until it is stored or has expired. */
    async storeQuarantine(record: FingerprintRecord): Promise<void> {
        while (!this.stopping.signal.aborted && record.until > this.clock.getWallTime()) {
            const found = await this.store.getObject(quarantinePrefix + record.fingerprint);
            if (found.ok) {
                if (this.findUnexpired(found.val) !== undefined) {
                    return;
                }
                const value = { endpoints: record.endpoints, until: record.until };
                const written = await writeObject(this.store, quarantinePrefix + record.fingerprint, value, found.val);
                if (written.ok) {
                    return;
                }
            }
            await this.clock.sleep(claimRetryMilliseconds, this.stopping.signal);
        }
    }

    /** Removes a stored quarantine. What cannot be removed expires. */
    async removeStored(fingerprint: string, revision: Revision): Promise<void> {
        const removed = await this.store.removeObject(quarantinePrefix + fingerprint, revision);
        if (removed.err && removed.val.outcome !== WriteOutcome.Conflict) {
            this.log.log(LogEvents.DependencyLost, { dependency: "store", cause: removed.val.failure.text });
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    private findUnexpired(object: StoredObject | undefined): StoredQuarantine | undefined {
        const stored = quarantineSchema.safeParse(object?.value);
        return stored.success && stored.data.until > this.clock.getWallTime() ? stored.data : undefined;
    }

    private async claimInStore(record: FingerprintRecord, trial: Trial): Promise<TrialState> {
        const name = quarantinePrefix + record.fingerprint;
        const found = await this.store.getObject(name);
        if (found.err) {
            return TrialState.Undecided;
        }
        const trialBy = this.findUnexpired(found.val)?.trialBy;
        if (trialBy !== undefined) {
            // The response to this node's own claim may have been lost.
            trial.revision = trialBy === this.holder ? found.val?.revision : undefined;
            return trial.revision === undefined ? TrialState.Spent : TrialState.Held;
        }
        const value = { endpoints: record.endpoints, until: record.until, trialBy: this.holder };
        const written = await writeObject(this.store, name, value, found.val);
        if (written.err) {
            return TrialState.Undecided;
        }
        trial.revision = written.val;
        return TrialState.Held;
    }

    private closeRun(trial: Trial): void {
        trial.state = trial.runs < maximumTrialRuns && trial.losses < maximumTrialLosses ? TrialState.Held : TrialState.Spent;
        trial.request = undefined;
    }

    private findTrial(fingerprint: string): Trial | undefined {
        const trial = this.trials.get(fingerprint);
        if (trial !== undefined && trial.until <= this.clock.getWallTime()) {
            this.trials.delete(fingerprint);
            return undefined;
        }
        return trial;
    }

    private addTrial({ fingerprint, until }: FingerprintRecord): Trial {
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
}
