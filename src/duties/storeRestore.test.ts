import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { Ok, Result } from "../common/results.js";
import { LeaseManager } from "../control/commands/leaseManager.js";
import { PeerTable } from "../gossip/peerTable.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { PausableClock, VirtualClock } from "../testing/virtualClock.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { DutyLease } from "./dutyLease.js";
import { DutyRunner } from "./dutyRunner.js";
import { DutyApi, DutyCredentials, DutyFailure, UsageReport } from "./types.js";
import { UsageDuty } from "./usageDuty.js";

const term = 3_000;
const drills = 60;

/** Records every accepted report; refuses one whose fencing token is lower than an earlier one. */
class RecordingApi implements DutyApi {
    readonly accepted: { readonly report: UsageReport; readonly credentials: DutyCredentials; }[] = [];

    async sendUsage(report: UsageReport, credentials: DutyCredentials): Promise<Result<void, DutyFailure>> {
        this.accepted.push({ report, credentials });
        return Ok(undefined);
    }

    async orderEndpoints(): Promise<Result<void, DutyFailure>> {
        return Ok(undefined);
    }
}

/**
 * Runs three candidates for the duties through two restores of the store from copies up to eight seconds old, at random moments
 * and beside outages and pauses; returns the number of reported windows.
 */
async function runDrill(seed: number): Promise<number> {
    const world = VirtualClock.create();
    const objects = MemoryObjects.create(() => world.getMonotonicTime());
    const random = SeededRandom.create(seed);
    const api = new RecordingApi();
    const nodes = ["a", "b", "c"].map((name, index) => {
        const clock = PausableClock.create(world);
        const store = MemoryObjectStore.create(objects, world, clock, SeededRandom.create(seed * 10 + index));
        store.faults.delay = 60;
        const table = PeerTable.create({ name, failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
        const log = SilentEventLog.create();
        const lease = DutyLease.create(store, clock, { name, incarnation: 1 }, term, table, log);
        const counter = UsageCounter.create(clock, 2_000);
        const duty = UsageDuty.create({ store, api, clock, log, lease, table, counter, ledger: UsageLedger.create(), dueTime: 8_000 });
        const runner = DutyRunner.create(lease, [duty], clock, log);
        void lease.runRounds();
        void runner.run();
        return { name, clock, store, lease, counter, runner };
    });
    const restoresAt = [8_000 + random.pickIndex(10_000), 24_000 + random.pickIndex(10_000)];
    let copy = objects.takeCopy();
    let copiedAt = 0;
    for (let step = 1; step < 240; step += 1) {
        const now = step * 250;
        await world.runUntil(now);
        // Each node counts differently, so a holder that computed a report again would send other counts.
        nodes.forEach((node, index) => {
            for (let count = 0; count <= index; count += 1) {
                node.counter.recordStartedRequest("shops", node.clock.getMonotonicTime());
            }
        });
        if (now - copiedAt > random.pickIndex(8_000)) {
            copy = objects.takeCopy();
            copiedAt = now;
        }
        if (now >= (restoresAt[0] ?? Infinity)) {
            restoresAt.shift();
            objects.loadCopy(copy);
            const holder = nodes.find(node => node.lease.getCredentials() !== undefined);
            // Half of the time the holder is lost, cut off or paused in the same moment.
            switch (random.pickIndex(4)) {
                case 0:
                    if (holder !== undefined) {
                        holder.store.faults.isDown = true;
                        void world.sleep(5_000).then(() => (holder.store.faults.isDown = false));
                    }
                    break;
                case 1:
                    holder?.clock.addPause(random.pickIndex(5_000));
                    break;
            }
        }
    }
    nodes.forEach(node => node.runner.stop());
    const countsByWindow = new Map<number, string>();
    const holders = new Map<number, string>();
    for (const { report, credentials } of api.accepted) {
        const counts = JSON.stringify(report.counts);
        assert.equal(countsByWindow.get(report.window) ?? counts, counts, `seed ${seed}: two reports of window ${report.window}`);
        countsByWindow.set(report.window, counts);
        const { holder, fencing } = credentials;
        assert.equal(holders.get(fencing) ?? holder, holder, `seed ${seed}: one fencing token, two holders`);
        holders.set(fencing, holder);
    }
    return countsByWindow.size;
}

test(`${drills} seeded restores of the store: no fencing token has two holders, and no window two different reports`, async () => {
    const windows = await Promise.all(Array.from({ length: drills }, (_value, index) => runDrill(index + 1)));
    const total = windows.reduce((sum, count) => sum + count, 0);
    // 30 windows a run; a drill may cost those that were due while nobody held the lease.
    assert.equal(total > drills * 20, true, `${total} windows reported`);
});

test("the holder acquires its lease again at once after a restore, and a candidate does not before the holder's term has ended", async () => {
    const world = VirtualClock.create();
    const objects = MemoryObjects.create();
    const createLease = (name: string) => {
        const store = MemoryObjectStore.create(objects, world, world, SeededRandom.create(1));
        const lease = LeaseManager.create(store, world, { name, incarnation: 1 }, "leases/test", term, { recordAcquisition: () => {} });
        return { store, lease };
    };
    const [holder, candidate] = [createLease("a"), createLease("b")];
    const copy = objects.takeCopy();
    const runRound = async (lease: LeaseManager) => {
        const round = lease.runRound();
        await world.runUntil(world.getMonotonicTime() + 100);
        await round;
    };
    await runRound(holder.lease);
    await runRound(candidate.lease);
    const before = holder.lease.getGrant();
    assert.notEqual(before, undefined);
    objects.loadCopy(copy);
    await runRound(candidate.lease);
    assert.equal(candidate.lease.getGrant(), undefined);
    holder.store.recordEra(candidate.store.getEra());
    assert.equal(holder.lease.getGrant(), undefined);
    await runRound(holder.lease);
    const grant = holder.lease.getGrant();
    assert.equal(grant?.continuedFencing, before?.fencing);
    assert.equal((grant?.fencing ?? 0) > (before?.fencing ?? 0), true);
});
