import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker, WorkerFault } from "../standins/routed/routedWorker.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Lookups that run beside a move at the same time. */
const callersAtOnce = 4;

const platform = RoutedPlatform.create();
const newer: RoutedWorker[] = [];
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    for (const index of [1, 2]) {
        const worker = RoutedWorker.create(`i-newer-${index}`, routedNames.calls, "xela", false);
        worker.version = "v2";
        newer.push(worker);
        await worker.start();
    }
    gateway = await RoutedGateway.start(platform);
});

after(async () => {
    await gateway.stop();
    await platform.stop();
    await Promise.all(newer.map(worker => worker.stop()));
});

interface OrderStatus {
    readonly state: string;
    readonly target: string;
    readonly reason: string;
}

function readStatus(): OrderStatus | undefined {
    return platform.store.getObject("rollouts", routedNames.calls)?.status as OrderStatus | undefined;
}

/** Orders a move, starts the new endpoints and sends lookups until the move has ended; returns how many were sent. */
async function runMove(target: string, seconds: number): Promise<number> {
    platform.store.putObject("rollouts", routedNames.calls, { service: routedNames.calls, target, "over-s": seconds });
    await waitUntil(() => readStatus()?.state === "running" && readStatus()?.target === target);
    newer.forEach(worker => {
        worker.version = target;
        platform.publishWorker(worker);
    });
    let sent = 0;
    const sendLookups = async () => {
        while (readStatus()?.state === "running") {
            const { status } = await gateway.sendCall("/lookup/1");
            assert.equal([200, 500].includes(status), true, String(status));
            sent += 1;
        }
    };
    await Promise.all(Array.from({ length: callersAtOnce }, sendLookups));
    return sent;
}

test("a bad version is rolled back with its cause, and then gets nothing more", async () => {
    newer.forEach(worker => worker.faults.push(...Array.from({ length: 10_000 }, () => WorkerFault.Fail)));
    const sent = await runMove("v2", 60);
    const exposed = newer.reduce((sum, worker) => sum + worker.runs.length, 0);
    assert.equal(readStatus()?.state, "rolled_back");
    assert.match(readStatus()?.reason ?? "", /failures/);
    assert.equal(exposed <= sent * 0.1 + 50, true, `${exposed} of ${sent}`);
    await gateway.sendCall("/lookup/2");
    assert.equal(newer.reduce((sum, worker) => sum + worker.runs.length, 0), exposed);
});

test("a good version is done by the deadline and serves everything from then on", async () => {
    newer.forEach(worker => worker.faults.splice(0));
    await runMove("v3", 4);
    assert.equal(readStatus()?.state, "done");
    const before = newer.reduce((sum, worker) => sum + worker.runs.length, 0);
    for (let call = 0; call < 5; call += 1) {
        assert.equal((await gateway.sendCall("/lookup/3")).status, 200);
    }
    assert.equal(newer.reduce((sum, worker) => sum + worker.runs.length, 0), before + 5);
});
