import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { quarantinePrefix } from "../../config/objectNames.js";
import { ObjectStore, writeObject } from "../../provider/objectStore.js";
import { Revision } from "../../provider/revision.js";
import { StoredObject } from "../../provider/types.js";
import { QuarantineLedger } from "../../requests/quarantineLedger.js";
import { SharedObjectConsumer } from "../sharedObjects.js";

const checkIntervalMilliseconds = 100;
/** Pause after a quarantine could not be stored, in milliseconds. */
const retryMilliseconds = 1_000;
const quarantineSchema = z.object({ endpoints: z.array(z.string()), until: z.number() });

/** Replicates quarantines through the platform's store, for failure domains whose nodes cannot reach each other. */
export class QuarantineReplicator implements SharedObjectConsumer {
    readonly prefix = quarantinePrefix;
    private readonly stopping = new AbortController();
    /** End, in Unix milliseconds, and revision of each quarantine in the store, as far as this node has heard. */
    private readonly stored = new Map<string, { readonly until: number; readonly revision: Revision; }>();

    private constructor(private readonly store: ObjectStore, private readonly ledger: QuarantineLedger, private readonly clock: Clock) {}

    static create(store: ObjectStore, ledger: QuarantineLedger, clock: Clock): QuarantineReplicator {
        return new QuarantineReplicator(store, ledger, clock);
    }

    applyObject(object: StoredObject): boolean {
        const parsed = quarantineSchema.safeParse(object.value);
        if (!parsed.success) {
            return false;
        }
        const fingerprint = object.name.slice(this.prefix.length);
        this.stored.set(fingerprint, { until: parsed.data.until, revision: object.revision });
        this.ledger.mergeRecord({ fingerprint, ...parsed.data });
        return true;
    }

    /** Writes new local quarantines to the store until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const isStored = await this.storeQuarantines();
            await this.clock.sleep(isStored ? checkIntervalMilliseconds : retryMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Stores the quarantines that the store lacks, or has as expired ones; returns whether all are stored. */
    private async storeQuarantines(): Promise<boolean> {
        for (const record of this.ledger.listRecords()) {
            const { fingerprint, endpoints, until } = record;
            const known = this.stored.get(fingerprint);
            const isStored = known !== undefined && known.until > this.clock.getWallTime();
            if (isStored || !this.ledger.isQuarantined(fingerprint)) {
                continue;
            }
            const written = await writeObject(this.store, quarantinePrefix + fingerprint, { endpoints, until }, known);
            if (written.err) {
                // After a conflict the quarantine of another node, or a newer revision, is heard from the store.
                return false;
            }
            this.stored.set(fingerprint, { until, revision: written.val });
        }
        return true;
    }
}
