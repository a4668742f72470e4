import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { pickFreePort } from "../testing/daemons.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Number of nodes; each could send a poison request once more. */
const nodeCount = 5;
/** Bounds of the users' rule: more retries than this, later than the time after the third crash, break it. */
const allowedRetries = 3;
const contactMilliseconds = 3_000;

const platform = RoutedPlatform.create();
const gateways: RoutedGateway[] = [];

before(async () => {
    await platform.start(4);
    for (let index = 0; index < nodeCount; index += 1) {
        gateways.push(
            await RoutedGateway.start(platform, {
                name: `node-${index}`,
                peersPort: await pickFreePort(),
                seeds: gateways[0]?.getPeerAddress() ?? "",
            }),
        );
    }
});

after(async () => {
    await Promise.all(gateways.map(gateway => gateway.stop()));
    await platform.stop();
});

function countCrashes(workers: readonly RoutedWorker[]): number {
    return workers.reduce((sum, worker) => sum + worker.crashes, 0);
}

function countArrivals(workers: readonly RoutedWorker[], target: string): number {
    return workers.flatMap(worker => worker.runs).filter(run => run.target === target).length;
}

/** Returns the most crashes that a node counts against one request. */
function countCrashesOn(gateway: RoutedGateway | undefined): number {
    const records = gateway?.node.container.get(Keys.Ledger).listRecords() ?? [];
    return Math.max(0, ...records.map(record => record.endpoints.length));
}

/** Sends a call through every node; returns the statuses. */
function sendThroughAll(target: string): Promise<number[]> {
    return Promise.all(gateways.map(async gateway => (await gateway.sendCall(target)).status));
}

/** Sends a request through a node until it has crashed three workers. */
async function killThree(gateway: RoutedGateway, target: string, workers: readonly RoutedWorker[]): Promise<void> {
    const crashesBefore = countCrashes(workers);
    const statuses: number[] = [];
    while (countCrashes(workers) < crashesBefore + 3) {
        statuses.push((await gateway.sendCall(target)).status);
        assert.equal(statuses.length < 100, true, `too few crashes: ${statuses.slice(0, 10).join(" ")}`);
    }
}

/** Lets a request crash three workers, then sends it through every node for a while; returns how often it still reached workers. */
async function countRetriesAfterThreeCrashes(target: string, workers: readonly RoutedWorker[]): Promise<number> {
    workers.forEach(worker => (worker.isDeadly = run => run.target === target));
    await killThree(gateways[0] as RoutedGateway, target, workers);
    await sleep(contactMilliseconds);
    const arrivalsBefore = countArrivals(workers, target);
    for (let round = 0; round < 6; round += 1) {
        for (const gateway of gateways) {
            await gateway.sendCall(target);
        }
        await sleep(200);
    }
    return countArrivals(workers, target) - arrivalsBefore;
}

// Guards against counting a crash only when a later request is refused a connection or the endpoint's entry has expired.
test("a crash is counted on every node before the endpoint is back, without a further request", async () => {
    platform.callWorkers.forEach(worker => {
        worker.restartMilliseconds = contactMilliseconds;
        worker.isDeadly = run => run.target === "/voucher/deadly";
    });
    await gateways[0]?.sendCall("/voucher/deadly", { method: "POST", body: "{}" });
    await waitUntil(() => gateways.every(gateway => countCrashesOn(gateway) === 1));
    assert.equal(platform.callWorkers.some(worker => !worker.isListening()), true, "the endpoint was back first");
    platform.callWorkers.forEach(worker => (worker.restartMilliseconds = 300));
    await waitUntil(() => platform.callWorkers.every(worker => worker.isListening()));
});

// Guards against a quarantine that each node delays by itself, so that every node sends the request to further endpoints.
test("a request that crashed three endpoints is retried at most three times by all nodes together, wherever it comes", async () => {
    const retries = await countRetriesAfterThreeCrashes("/lookup/deadly", platform.callWorkers);
    assert.equal(retries <= allowedRetries, true, `${retries} retries`);
});

// Guards against clearing a stream of its crashes by the events that it sends before it crashes the next endpoint.
test("a stream that crashes endpoints after its first event is retried at most three times by all nodes together", async () => {
    const retries = await countRetriesAfterThreeCrashes("/question/deadly", platform.engines);
    assert.equal(retries <= allowedRetries, true, `${retries} retries`);
});

// Guards against refusing a popular request for the whole term of a quarantine because it ran where endpoints crashed by chance.
test("a harmless request that ran on three crashed endpoints is served by all nodes after one of them has tried it", async () => {
    const target = "/lookup/unlucky";
    platform.callWorkers.forEach(worker => (worker.isDeadly = run => run.target === target));
    await killThree(gateways[0] as RoutedGateway, target, platform.callWorkers);
    platform.callWorkers.forEach(worker => (worker.isDeadly = () => false));
    const isCleared = async () => (await sendThroughAll(target)).every(status => status === 200);
    const endsAt = performance.now() + contactMilliseconds;
    while (!(await isCleared())) {
        assert.equal(performance.now() < endsAt, true, "still refused by a node");
        await sleep(50);
    }
});

// Guards against forgetting a quarantine when all nodes are restarted.
test("a node that starts when no other node is left refuses a request that was quarantined before", async context => {
    const target = "/lookup/remembered";
    const lonePlatform = RoutedPlatform.create();
    context.after(() => lonePlatform.stop());
    await lonePlatform.start(4);
    const first = await RoutedGateway.start(lonePlatform, { name: "first" });
    lonePlatform.callWorkers.forEach(worker => (worker.isDeadly = run => run.target === target));
    await killThree(first, target, lonePlatform.callWorkers);
    await waitUntil(() => countCrashesOn(first) >= 3);
    await first.stop();
    const second = await RoutedGateway.start(lonePlatform, { name: "second" });
    context.after(() => second.stop());
    await waitUntil(() => lonePlatform.callWorkers.every(worker => worker.isListening()) && countCrashesOn(second) >= 3);
    const arrivalsBefore = countArrivals(lonePlatform.callWorkers, target);
    await second.sendCall(target);
    await second.sendCall(target);
    // The quarantine's one trial may run.
    assert.equal(countArrivals(lonePlatform.callWorkers, target) - arrivalsBefore <= 1, true);
});

/** Sends a stream whose prompt has the given parts and one of its own; no two are alike. */
async function sendPrompt(gateway: RoutedGateway, sharedParts: readonly string[]): Promise<number> {
    promptCount += 1;
    const parts = [...sharedParts, `ee${promptCount.toString(16)}`].map(id => `${id}:100`).join(",");
    const headers = { [HeaderNames.tokenCounts]: "400,20", [HeaderNames.promptPrefix]: parts };
    return (await gateway.sendCall(`/question/${promptCount}`, { method: "POST", body: `${promptCount}`, headers })).status;
}

let promptCount = 0;

/** Bound of the users' rule for prompt parts: later than the time after the fifth crash, more requests than `allowedRetries` break it. */
const crashesBeforeBound = 5;

// Guards against counting crashes against whole requests only, while requests that share a part of their prompts crash one endpoint each.
test("requests with a part that crashes endpoints are refused by all nodes, and sound ones with their other parts are served", async () => {
    const crashesBefore = countCrashes(platform.engines);
    const isDeadly = (run: { readonly headers: Readonly<Record<string, unknown>>; }) =>
        String(run.headers[HeaderNames.promptPrefix]).includes("dead01");
    platform.engines.forEach(engine => (engine.isDeadly = isDeadly));
    const countDeadly = () => platform.engines.flatMap(engine => engine.runs).filter(isDeadly).length;
    const sendRound = async () => {
        for (const gateway of gateways) {
            await Promise.all([sendPrompt(gateway, ["aa01", "dead01"]), sendPrompt(gateway, ["aa01", "bb01"])]);
        }
    };
    for (let round = 0; round < 20 && countCrashes(platform.engines) < crashesBefore + crashesBeforeBound; round += 1) {
        await sendRound();
    }
    await sleep(contactMilliseconds);
    const arrivalsBefore = countDeadly();
    for (let round = 0; round < 4; round += 1) {
        await sendRound();
        await sleep(100);
    }
    const arrivals = countDeadly() - arrivalsBefore;
    assert.equal(arrivals <= allowedRetries, true, `${arrivals} arrivals`);
    await waitUntil(() => platform.engines.every(engine => engine.isListening()));
    const statuses = [];
    for (const gateway of gateways) {
        statuses.push(await sendPrompt(gateway, ["aa01", "bb01"]));
    }
    const records = gateways.map(gateway =>
        gateway.node.container.get(Keys.Ledger).listRecords().filter(record => record.endpoints.length > 1)
    );
    assert.deepEqual(statuses, gateways.map(() => 200), JSON.stringify(records));
});
