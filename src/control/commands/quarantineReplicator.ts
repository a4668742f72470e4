import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { quarantinePrefix } from "../../config/objectNames.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { StoredObject } from "../../provider/types.js";
import { QuarantineLedger } from "../../requests/quarantineLedger.js";
import { SharedObjectConsumer } from "../sharedObjects.js";

const checkIntervalMilliseconds = 100;
const quarantineSchema = z.object({ endpoints: z.array(z.string()), until: z.number() });

/** Replicates quarantines through the platform's store, for failure domains whose nodes cannot reach each other. */
export class QuarantineReplicator implements SharedObjectConsumer {
    readonly prefix = quarantinePrefix;
    private readonly stopping = new AbortController();
    private readonly storedEndpointCounts = new Map<string, number>();

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
        this.storedEndpointCounts.set(fingerprint, parsed.data.endpoints.length);
        this.ledger.mergeRecord({ fingerprint, ...parsed.data });
        return true;
    }

    /** Writes new local quarantines to the store until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.storeQuarantines();
            await this.clock.sleep(checkIntervalMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    private async storeQuarantines(): Promise<void> {
        for (const record of this.ledger.listRecords()) {
            const isStored = (this.storedEndpointCounts.get(record.fingerprint) ?? 0) > 0;
            if (isStored || !this.ledger.isQuarantined(record.fingerprint)) {
                continue;
            }
            // A conflict means that another node has already written this quarantine.
            await this.store.createObject(quarantinePrefix + record.fingerprint, { endpoints: record.endpoints, until: record.until });
            this.storedEndpointCounts.set(record.fingerprint, record.endpoints.length);
        }
    }
}
