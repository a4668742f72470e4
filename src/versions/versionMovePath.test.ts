import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker, WorkerFault } from "../standins/routed/routedWorker.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Callers that send lookups in parallel during a move. */
const concurrentCallers = 4;

const platform = RoutedPlatform.create();
const newWorkers: RoutedWorker[] = [];
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    for (const index of [1, 2]) {
        const worker = RoutedWorker.create(`i-newer-${index}`, routedNames.calls, "xela", false);
        worker.version = "v2";
        newWorkers.push(worker);
        await worker.start();
    }
    gateway = await RoutedGateway.start(platform);
});

after(async () => {
    await gateway.stop();
    await platform.stop();
    await Promise.all(newWorkers.map(worker => worker.stop()));
});

interface OrderStatus {
    readonly state: string;
    readonly target: string;
    readonly reason: string;
}

function readStatus(): OrderStatus | undefined {
    return platform.store.getObject("rollouts", routedNames.calls)?.status as OrderStatus | undefined;
}

/** Orders a move, publishes the new endpoints and sends lookups until the move has ended; returns the number of lookups. */
async function runMove(target: string, seconds: number): Promise<number> {
    platform.store.putObject("rollouts", routedNames.calls, { service: routedNames.calls, target, "over-s": seconds });
    await waitUntil(() => readStatus()?.state === "running" && readStatus()?.target === target);
    newWorkers.forEach(worker => {
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
    await Promise.all(Array.from({ length: concurrentCallers }, sendLookups));
    return sent;
}

test("a failing new version is rolled back within the exposure limit, its status names the cause, and it gets no further request", async () => {
    newWorkers.forEach(worker => worker.faults.push(...Array.from({ length: 10_000 }, () => WorkerFault.Fail)));
    const sent = await runMove("v2", 60);
    const attemptsAtNewVersion = newWorkers.reduce((sum, worker) => sum + worker.runs.length, 0);
    assert.equal(readStatus()?.state, "rolled_back");
    assert.match(readStatus()?.reason ?? "", /failures/);
    assert.equal(attemptsAtNewVersion <= sent * 0.1 + 50, true, `${attemptsAtNewVersion} of ${sent}`);
    await gateway.sendCall("/lookup/2");
    assert.equal(newWorkers.reduce((sum, worker) => sum + worker.runs.length, 0), attemptsAtNewVersion);
});

test("a move to a sound version is done by the deadline, and the new version then serves every request", async () => {
    newWorkers.forEach(worker => worker.faults.splice(0));
    await runMove("v3", 4);
    assert.equal(readStatus()?.state, "done");
    const before = newWorkers.reduce((sum, worker) => sum + worker.runs.length, 0);
    for (let call = 0; call < 5; call += 1) {
        assert.equal((await gateway.sendCall("/lookup/3")).status, 200);
    }
    assert.equal(newWorkers.reduce((sum, worker) => sum + worker.runs.length, 0), before + 5);
});
