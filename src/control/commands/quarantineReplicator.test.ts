import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../common/random.js";
import { quarantinePrefix } from "../../config/objectNames.js";
import { QuarantineLedger } from "../../requests/quarantineLedger.js";
import { MemoryObjects, MemoryObjectStore } from "../../testing/memoryObjectStore.js";
import { VirtualClock } from "../../testing/virtualClock.js";
import { QuarantineReplicator } from "./quarantineReplicator.js";

const termMilliseconds = 600_000;
const fingerprint = "hash-of-prompt";
const objectName = quarantinePrefix + fingerprint;

function createReplicator() {
    const clock = VirtualClock.create();
    const objects = MemoryObjects.create();
    const store = MemoryObjectStore.create(objects, clock, clock, SeededRandom.create(1));
    const ledger = QuarantineLedger.create(clock, termMilliseconds);
    const replicator = QuarantineReplicator.create(store, ledger, clock);
    const quarantine = () => ["engine-1", "engine-2"].forEach(endpoint => ledger.recordCrash(fingerprint, endpoint));
    const getStoredEnd = () => (objects.objects.get(objectName)?.value as { until?: number; } | undefined)?.until ?? -Infinity;
    return { clock, objects, store, replicator, quarantine, getStoredEnd };
}

// Guards against a request that crashes endpoints again after its quarantine, and is kept from domains that only the store connects.
test("a quarantine replaces an expired one in the store", async () => {
    const { clock, objects, replicator, quarantine, getStoredEnd } = createReplicator();
    objects.putObject(objectName, { endpoints: ["engine-0"], until: clock.getWallTime() - 1 });
    const expired = objects.objects.get(objectName);
    assert.notEqual(expired, undefined);
    if (expired !== undefined) {
        replicator.applyObject(expired);
    }
    quarantine();
    void replicator.runRounds();
    await clock.runUntil(3_000);
    assert.equal(getStoredEnd() > clock.getWallTime(), true);
    const firstEnd = getStoredEnd();
    await clock.runUntil(termMilliseconds + 10_000);
    quarantine();
    await clock.runUntil(termMilliseconds + 13_000);
    assert.equal(getStoredEnd() > firstEnd, true);
    replicator.stop();
});

test("a quarantine that could not be stored is stored when the store is back", async () => {
    const { clock, store, replicator, quarantine, getStoredEnd } = createReplicator();
    store.faults.isDown = true;
    quarantine();
    void replicator.runRounds();
    await clock.runUntil(5_000);
    assert.equal(getStoredEnd(), -Infinity);
    store.faults.isDown = false;
    await clock.runUntil(10_000);
    assert.equal(getStoredEnd() > clock.getWallTime(), true);
    replicator.stop();
});
