import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { Err, Ok, Result } from "../common/results.js";
import { PeerTable } from "../gossip/peerTable.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { DutyLease } from "./dutyLease.js";
import { DutyRunner } from "./dutyRunner.js";
import { DutyApi, DutyCredentials, DutyFailure, DutyOutcome, UsageReport } from "./types.js";
import { UsageDuty } from "./usageDuty.js";

/** Window lengths in milliseconds: with the first few reports are due at once, with the second many. */
const windowLengths = [5_000, 1_000];

interface SentReport {
    readonly report: UsageReport;
    readonly credentials: DutyCredentials;
}

/** Accepts reports unless a higher fencing token was used before; drops a share of the responses. */
class RecordingApi implements DutyApi {
    readonly accepted: SentReport[] = [];
    private highest = 0;

    private constructor(private readonly random: SeededRandom, private readonly lostShare: number) {}

    static create(seed: number, lostShare: number): RecordingApi {
        return new RecordingApi(SeededRandom.create(seed), lostShare);
    }

    async sendUsage(report: UsageReport, credentials: DutyCredentials): Promise<Result<void, DutyFailure>> {
        if (credentials.fencing < this.highest) {
            return Err({ outcome: DutyOutcome.Fenced, text: "" });
        }
        this.highest = credentials.fencing;
        this.accepted.push({ report, credentials });
        return this.random.pickFraction() < this.lostShare ? Err({ outcome: DutyOutcome.Unknown, text: "lost" }) : Ok(undefined);
    }

    async orderEndpoints(): Promise<Result<void, DutyFailure>> {
        return Ok(undefined);
    }
}

for (const windowLength of windowLengths) {
    test(`all reports of a window of ${windowLength} ms have the same counts, whichever node holds the lease and whichever responses are lost`, async () => {
        await Promise.all(Array.from({ length: 30 }, (_value, index) => checkReports(index + 1, windowLength)));
    });
}

async function checkReports(seed: number, windowLength: number): Promise<void> {
    {
        const clock = VirtualClock.create();
        const objects = MemoryObjects.create(() => clock.getMonotonicTime());
        const api = RecordingApi.create(seed, 0.3);
        const random = SeededRandom.create(seed + 100);
        const nodes = ["a", "b", "c"].map((name, index) => {
            const store = MemoryObjectStore.create(objects, clock, clock, SeededRandom.create(seed * 10 + index));
            store.faults.lostAnswerShare = 0.1;
            const table = PeerTable.create({ name, failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
            const lease = DutyLease.create(store, clock, { name, incarnation: 1 }, 3_000, table, SilentEventLog.create());
            const counter = UsageCounter.create(clock, windowLength);
            const duty = UsageDuty.create({
                store,
                api,
                clock,
                log: SilentEventLog.create(),
                lease,
                table,
                counter,
                ledger: UsageLedger.create(),
                dueTime: 10_000,
            });
            const runner = DutyRunner.create(lease, [duty], clock, SilentEventLog.create());
            void lease.runRounds();
            void runner.run();
            return { store, lease, counter, runner };
        });
        for (let step = 0; step < 120; step += 1) {
            await clock.runUntil(step * 500);
            // Each node counts differently, so a new lease holder that recomputed a report would send different counts.
            nodes.forEach((node, index) => node.counter.recordStartedRequest("shops", clock.getMonotonicTime() - index));
            if (random.pickFraction() < 0.05) {
                const holder = nodes.find(node => node.lease.getCredentials() !== undefined);
                if (holder !== undefined) {
                    holder.store.faults.isDown = true;
                    void clock.sleep(6_000).then(() => (holder.store.faults.isDown = false));
                }
            }
        }
        nodes.forEach(node => node.runner.stop());
        const byWindow = new Map<number, string>();
        for (const { report } of api.accepted) {
            const text = JSON.stringify(report.counts);
            assert.equal(byWindow.get(report.window) ?? text, text, `seed ${seed}, window ${report.window}`);
            byWindow.set(report.window, text);
        }
        assert.equal(byWindow.size >= 6, true, `seed ${seed}: ${byWindow.size} windows reported`);
        const holders = new Map<number, string>();
        for (const { credentials } of api.accepted) {
            assert.equal(holders.get(credentials.fencing) ?? credentials.holder, credentials.holder);
            holders.set(credentials.fencing, credentials.holder);
        }
    }
}

test("a new lease holder without counts of its own sends every report that is still due again, unchanged", async () => {
    const clock = VirtualClock.create();
    const objects = MemoryObjects.create(() => clock.getMonotonicTime());
    const api = RecordingApi.create(1, 0);
    const createNode = (name: string) => {
        const store = MemoryObjectStore.create(objects, clock, clock, SeededRandom.create(name.length));
        const table = PeerTable.create({ name, failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
        const lease = DutyLease.create(store, clock, { name, incarnation: 1 }, 3_000, table, SilentEventLog.create());
        const counter = UsageCounter.create(clock, 1_000);
        const log = SilentEventLog.create();
        const duty = UsageDuty.create({ store, api, clock, log, lease, table, counter, ledger: UsageLedger.create(), dueTime: 20_000 });
        const runner = DutyRunner.create(lease, [duty], clock, log);
        const start = () => {
            void lease.runRounds();
            void runner.run();
        };
        return { lease, counter, runner, start };
    };
    const [first, second] = [createNode("first"), createNode("second")];
    first.start();
    await clock.runUntil(1_000);
    second.start();
    for (let step = 2; step < 40; step += 1) {
        await clock.runUntil(step * 500);
        first.counter.recordStartedRequest("shops", clock.getMonotonicTime());
    }
    first.runner.stop();
    void first.lease.release();
    await clock.runUntil(23_000);
    second.runner.stop();
    const byWindow = new Map<number, string>();
    for (const { report } of api.accepted) {
        const text = JSON.stringify(report.counts);
        assert.equal(byWindow.get(report.window) ?? text, text, `window ${report.window}`);
        byWindow.set(report.window, text);
    }
    assert.equal(api.accepted.length > byWindow.size, true);
});

test("a new lease holder waits for the counts that relays send it once they know that it holds the lease", async () => {
    const clock = VirtualClock.create();
    const store = MemoryObjectStore.create(MemoryObjects.create(() => clock.getMonotonicTime()), clock, clock, SeededRandom.create(1));
    const api = RecordingApi.create(1, 0);
    const table = PeerTable.create({ name: "a", failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
    const log = SilentEventLog.create();
    const lease = DutyLease.create(store, clock, { name: "a", incarnation: 1 }, 3_000, table, log);
    const counter = UsageCounter.create(clock, 1_000);
    const ledger = UsageLedger.create();
    const runner = DutyRunner.create(
        lease,
        [UsageDuty.create({ store, api, clock, log, lease, table, counter, ledger, dueTime: 20_000 })],
        clock,
        log,
    );
    const window = counter.getWindow(clock.getWallTime());
    await clock.runUntil(1_500);
    void lease.runRounds();
    void runner.run();
    await clock.runUntil(3_300);
    ledger.recordUsage("b/1", window, [{ team: "shops", requests: 7 }]);
    await clock.runUntil(6_000);
    runner.stop();
    const report = api.accepted.find(sent => sent.report.window === window)?.report;
    assert.deepEqual(report?.counts, [{ team: "shops", requests: 7 }]);
});
