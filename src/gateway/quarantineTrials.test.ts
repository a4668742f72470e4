import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { QuarantineTrials } from "./quarantineTrials.js";
import { quarantinePrefix, StoredQuarantines } from "./storedQuarantines.js";

const clock = VirtualClock.create();

/** Creates the trials of one node before a shared store. */
function createNode(name: string, objects: MemoryObjects) {
    const store = MemoryObjectStore.create(objects, clock, clock, SeededRandom.create(1));
    const log = SilentEventLog.create();
    const stored = StoredQuarantines.create(store, clock, log, `${name}/1`);
    return { store, stored, trials: QuarantineTrials.create(stored, clock, log) };
}

function createRecord(fingerprint: string) {
    return { fingerprint, endpoints: ["a/1", "b/1", "c/1"], until: clock.getWallTime() + 60_000 };
}

/** Waits for a promise while virtual time moves on. */
async function waitInVirtualTime<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const mark = () => {
        isSettled = true;
    };
    void promise.then(mark, mark);
    while (!isSettled) {
        await clock.runUntil(clock.getMonotonicTime() + 10);
    }
    return promise;
}

test("only one of two nodes that claim the trial of a quarantine at the same moment gets it", async () => {
    const objects = MemoryObjects.create();
    const nodes = [createNode("one", objects), createNode("two", objects)];
    const record = createRecord("same-moment");
    const results = await waitInVirtualTime(Promise.all(nodes.map(({ trials }) => trials.claimTrial(record, "request"))));
    assert.deepEqual([...results].sort(), [false, true]);
    await clock.runUntil(clock.getMonotonicTime() + 2_000);
    const loser = nodes[results.indexOf(false)];
    assert.equal(await waitInVirtualTime((loser as typeof nodes[0]).trials.claimTrial(record, "later")), false);
});

test("a node that does not reach the store sends nothing, and claims the trial once it does", async () => {
    const { store, trials } = createNode("one", MemoryObjects.create());
    const record = createRecord("outage");
    store.faults.isDown = true;
    assert.equal(await waitInVirtualTime(trials.claimTrial(record, "first")), false);
    store.faults.isDown = false;
    assert.equal(trials.isAvailable(record.fingerprint), false);
    await clock.runUntil(clock.getMonotonicTime() + 1_000);
    assert.equal(await waitInVirtualTime(trials.claimTrial(record, "second")), true);
});

test("a node recognizes its own claim when the store's response to it was lost", async () => {
    const { store, trials } = createNode("one", MemoryObjects.create());
    const record = createRecord("lost-response");
    store.faults.lostAnswerShare = 1;
    await waitInVirtualTime(trials.claimTrial(record, "first"));
    store.faults.lostAnswerShare = 0;
    await clock.runUntil(clock.getMonotonicTime() + 1_000);
    assert.equal(await waitInVirtualTime(trials.claimTrial(record, "second")), true);
});

test("a trial whose callers leave without a result runs at most three requests, and one that fails two, ten seconds apart", async () => {
    const { trials } = createNode("one", MemoryObjects.create());
    const left = createRecord("callers-leave");
    let runs = 0;
    for (let request = 0; request < 10; request += 1) {
        runs += (await waitInVirtualTime(trials.claimTrial(left, `request-${request}`))) ? 1 : 0;
        trials.releaseTrial(left.fingerprint, `request-${request}`);
    }
    assert.equal(runs, 3);
    const failed = createRecord("fails");
    assert.equal(await waitInVirtualTime(trials.claimTrial(failed, "request")), true);
    trials.recordFailure(failed.fingerprint, "request");
    assert.equal(trials.isAvailable(failed.fingerprint), false);
    await clock.runUntil(clock.getMonotonicTime() + 10_000);
    assert.equal(await waitInVirtualTime(trials.claimTrial(failed, "second")), true);
    trials.recordFailure(failed.fingerprint, "second");
    await clock.runUntil(clock.getMonotonicTime() + 20_000);
    assert.equal(trials.isAvailable(failed.fingerprint), false);
});

// Guards against holding a request until the store times out, although the other nodes' requests are refused at once.
test("a request waits a quarter of a second at most for a slow store, and the trial that is granted later serves the next one", async () => {
    const { store, trials } = createNode("one", MemoryObjects.create());
    const record = createRecord("slow-store");
    store.faults.delay = 800;
    const askedAt = clock.getMonotonicTime();
    assert.equal(await waitInVirtualTime(trials.claimTrial(record, "first")), false);
    assert.equal(clock.getMonotonicTime() - askedAt <= 260, true);
    await clock.runUntil(askedAt + 4_000);
    store.faults.delay = 10;
    assert.equal(await waitInVirtualTime(trials.claimTrial(record, "second")), true);
});

test("a node that knows of another holder does not ask the store", async () => {
    const { trials } = createNode("one", MemoryObjects.create());
    const record = createRecord("known-holder");
    trials.recordOtherHolder(record);
    assert.equal(trials.isAvailable(record.fingerprint), false);
    assert.equal(await trials.claimTrial(record, "request"), false);
});

// Guards against storing the quarantine of a request that was cleared while the store was away.
test("quarantines are stored once the store is back, but not those that were withdrawn meanwhile", async () => {
    const objects = MemoryObjects.create();
    const { store, stored } = createNode("one", objects);
    store.faults.isDown = true;
    stored.addQuarantine(createRecord("stands"));
    stored.addQuarantine(createRecord("withdrawn"));
    await clock.runUntil(clock.getMonotonicTime() + 2_500);
    stored.cancelQuarantine("withdrawn");
    store.faults.isDown = false;
    await clock.runUntil(clock.getMonotonicTime() + 2_500);
    assert.deepEqual([...objects.objects.keys()], [`${quarantinePrefix}stands`]);
    stored.stop();
});
