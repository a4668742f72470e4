import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { nameSchema } from "../common/json.js";
import { LogEvents } from "../common/logEvents.js";
import { ObjectStore, writeObject } from "../provider/objectStore.js";
import { Revision } from "../provider/revision.js";
import { StoredObject, WriteOutcome } from "../provider/types.js";
import { FingerprintRecord } from "../requests/quarantineLedger.js";

/** Prefix of the store objects that hold quarantines, one for each fingerprint. */
export const quarantinePrefix = "quarantines/";

/** Time after a call that the store did not answer before the next one, in milliseconds: most outages of the store last seconds. */
const storeRetryMilliseconds = 1_000;

const quarantineSchema = z.object({
    endpoints: z.array(nameSchema),
    until: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
    trialBy: nameSchema.optional(),
});

/** Value of a stored quarantine. */
export interface StoredQuarantine {
    readonly endpoints: readonly string[];
    /** Unix time in milliseconds at which it expires. */
    readonly until: number;
    /** Incarnation of the node that holds the trial; undefined before it is claimed. */
    readonly trialBy?: string | undefined;
}

/** Parses the value of a stored quarantine; undefined if it is malformed. */
export function parseStoredQuarantine(value: unknown): StoredQuarantine | undefined {
    const parsed = quarantineSchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
}

/** Outcome of a claim to the trial of a quarantine. */
export enum ClaimOutcome {
    Granted = "granted",
    /** Another node holds it. */
    Taken = "taken",
    /** The store did not answer, or another node wrote the quarantine at the same moment. */
    Undecided = "undecided",
}

/** Result of a claim; the revision is that of the stored quarantine if the trial was granted. */
export interface ClaimResult {
    readonly outcome: ClaimOutcome;
    readonly revision?: Revision | undefined;
}

/** Quarantines in the store, where they outlast the nodes, with the claims to their trials. */
export class StoredQuarantines {
    private readonly stopping = new AbortController();
    /** Quarantines that are to be stored. */
    private readonly pending = new Map<string, FingerprintRecord>();
    private isStoring = false;

    private constructor(
        private readonly store: ObjectStore,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly holder: string,
    ) {}

    /** `holder` names this incarnation of the node. */
    static create(store: ObjectStore, clock: Clock, log: EventLog, holder: string): StoredQuarantines {
        return new StoredQuarantines(store, clock, log, holder);
    }

    /** Returns whether a stored quarantine's trial is held by another node. */
    isTakenByOther(stored: StoredQuarantine): boolean {
        return stored.trialBy !== undefined && stored.trialBy !== this.holder;
    }

    /** Claims the trial of a quarantine for this node with a conditional write. */
    async claimTrial(record: FingerprintRecord): Promise<ClaimResult> {
        const name = quarantinePrefix + record.fingerprint;
        const found = await this.store.getObject(name);
        if (found.err) {
            return { outcome: ClaimOutcome.Undecided };
        }
        const stored = this.findUnexpired(found.val);
        if (stored !== undefined && this.isTakenByOther(stored)) {
            return { outcome: ClaimOutcome.Taken };
        }
        if (stored?.trialBy === this.holder) {
            // The response to an earlier claim of this node was lost.
            return { outcome: ClaimOutcome.Granted, revision: found.val?.revision };
        }
        const value: StoredQuarantine = { endpoints: record.endpoints, until: record.until, trialBy: this.holder };
        const written = await writeObject(this.store, name, value, found.val);
        return written.ok ? { outcome: ClaimOutcome.Granted, revision: written.val } : { outcome: ClaimOutcome.Undecided };
    }

    /** Stores a quarantine in the background, with retries until it is stored, has expired or is withdrawn. */
    addQuarantine(record: FingerprintRecord): void {
        this.pending.set(record.fingerprint, record);
        if (!this.isStoring) {
            this.isStoring = true;
            void this.storePending().finally(() => (this.isStoring = false));
        }
    }

    /** Withdraws a quarantine that is not stored yet: its request was cleared. */
    cancelQuarantine(fingerprint: string): void {
        this.pending.delete(fingerprint);
    }

    /** Removes a stored quarantine if its revision is still the given one. What cannot be removed expires. */
    async removeQuarantine(fingerprint: string, revision: Revision): Promise<void> {
        const removed = await this.store.removeObject(quarantinePrefix + fingerprint, revision);
        if (removed.err && removed.val.outcome !== WriteOutcome.Conflict) {
            this.log.log(LogEvents.TaskFailed, { task: "remove quarantine", fingerprint, cause: removed.val.failure.text });
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    private async storePending(): Promise<void> {
        while (this.pending.size > 0 && !this.stopping.signal.aborted) {
            for (const record of [...this.pending.values()]) {
                if (record.until > this.clock.getWallTime() && !(await this.storeQuarantine(record))) {
                    // The store does not answer the others either.
                    await this.clock.sleep(storeRetryMilliseconds, this.stopping.signal);
                    break;
                }
                this.pending.delete(record.fingerprint);
            }
        }
    }

    /** Stores a quarantine unless another node has done so; returns whether it is stored. */
    private async storeQuarantine(record: FingerprintRecord): Promise<boolean> {
        const name = quarantinePrefix + record.fingerprint;
        const found = await this.store.getObject(name);
        if (found.err) {
            return false;
        }
        if (this.findUnexpired(found.val) !== undefined || !this.pending.has(record.fingerprint)) {
            return true;
        }
        const value: StoredQuarantine = { endpoints: record.endpoints, until: record.until };
        return (await writeObject(this.store, name, value, found.val)).ok;
    }

    private findUnexpired(object: StoredObject | undefined): StoredQuarantine | undefined {
        const stored = parseStoredQuarantine(object?.value);
        return stored !== undefined && stored.until > this.clock.getWallTime() ? stored : undefined;
    }
}
