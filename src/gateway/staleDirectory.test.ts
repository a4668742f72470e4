import assert from "node:assert/strict";
import { after, before, test, TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformStore } from "../../platform/platformStore.js";
import { LogEvents } from "../common/logEvents.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { WatchEventKind } from "../provider/types.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { StoreMood } from "../standins/routed/routedStore.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

const applyLimitMilliseconds = 1_000;
const settledMilliseconds = 1_200;
/** Time after a read that did not come in time until requests wait again: half of the limit. */
const leastPauseMilliseconds = applyLimitMilliseconds / 2;
const callCount = 12;
const pauseMilliseconds = 50;

const platform = RoutedPlatform.create();
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    gateway = await RoutedGateway.start(platform, { timing: [`apply-limit-milliseconds = ${applyLimitMilliseconds}`] });
});

after(async () => {
    await gateway.stop();
    await platform.stop();
});

/**
 * Lets the gateway take itself for a node of a large fleet, whose relay says nothing, or of a small one, whose peers say nothing, and lets
 * its next watch of the endpoints fall silent after its first answer, as one on a silent connection. Later ones work.
 */
async function silenceNextWatch(context: TestContext, isFleetLarge = true): Promise<void> {
    const { container } = gateway.node;
    context.mock.method(container.get(Keys.RelayPlan), "hasRelays", () => isFleetLarge);
    const store = container.get(Keys.Store) as PlatformStore;
    const watchObjects = store.watchObjects.bind(store);
    let isSilenced = false;
    context.mock.method(store, "watchObjects", async function*(prefix: string, afterRevision: number, signal: AbortSignal) {
        if (prefix.startsWith("servers") && !isSilenced) {
            isSilenced = true;
            yield { kind: WatchEventKind.Heartbeat, revision: afterRevision };
            await new Promise(resolve => signal.addEventListener("abort", resolve, { once: true }));
            return;
        }
        yield* watchObjects(prefix, afterRevision, signal);
    });
    await sleep(settledMilliseconds);
    container.get(Keys.Watches).endpoints.renewWatch();
    await waitUntil(() => isSilenced);
}

function countRuns(workers: readonly RoutedWorker[]): number {
    return workers.reduce((sum, worker) => sum + worker.runs.length, 0);
}

// Guards against requests that are sent to an endpoint which has left for longer than a change may take, by what the node knew before.
for (
    const [isFleetLarge, node] of [[true, "a node whose relay and whose watch are silent"], [
        false,
        "a node of a small fleet whose watch is silent",
    ]] as const
) {
    test(`${node} reads the endpoints again before it sends by old knowledge`, async context => {
        await silenceNextWatch(context, isFleetLarge);
        const [leaving] = platform.callWorkers as [RoutedWorker];
        const runsBefore = platform.callWorkers.map(worker => worker.runs.length);
        leaving.isDraining = true;
        platform.publishWorker(leaving);
        await sleep(applyLimitMilliseconds);
        for (let call = 0; call < callCount; call += 1) {
            assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
        }
        assert.equal(leaving.runs.length, runsBefore[0]);
        assert.equal(countRuns(platform.callWorkers) - runsBefore.reduce((sum, runs) => sum + runs, 0), callCount);
        leaving.isDraining = false;
        platform.publishWorker(leaving);
        await waitUntil(() => gateway.node.container.get(Keys.Directory).findEndpoint(leaving.id)?.isUsable() === true);
    });
}

// Guards against requests that all wait while nothing can be read: they may wait once in a while, and share that.
test("a node that cannot read the store goes on by what it knows, and its requests seldom wait", async context => {
    await silenceNextWatch(context);
    const logged = context.mock.method(gateway.node.container.get(Keys.Log), "log").mock;
    platform.store.mood = StoreMood.Silent;
    await sleep(applyLimitMilliseconds);
    const startedAt = performance.now();
    for (let call = 0; call < callCount; call += 1) {
        assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
    }
    const elapsed = performance.now() - startedAt;
    const waits = logged.calls.filter(({ arguments: [kind, fields] }) =>
        kind === LogEvents.DirectoryRenewed && fields["isRenewed"] === false
    );
    assert.equal(waits.length > 0, true);
    assert.equal(waits.length <= 1 + elapsed / leastPauseMilliseconds, true, `${waits.length} waits in ${elapsed} ms`);
    platform.store.mood = StoreMood.Well;
});

// Guards against requests that wait for a renewal which no change of the store ends, on a node that reads the store seldom.
test("requests by old knowledge wait no longer than a read takes, though nothing has changed in the store", async context => {
    const { container } = gateway.node;
    const plan = container.get(Keys.RelayPlan);
    context.mock.method(plan, "hasRelays", () => true);
    context.mock.method(plan, "listReaders", () => ["another node"]);
    await sleep(settledMilliseconds);
    (container.get(Keys.Store) as PlatformStore).renewConnections();
    const logged = context.mock.method(container.get(Keys.Log), "log").mock;
    const startedAt = performance.now();
    while (performance.now() - startedAt < 5 * applyLimitMilliseconds) {
        assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
        await sleep(pauseMilliseconds);
    }
    const renewals = logged.calls.filter(({ arguments: [kind] }) => kind === LogEvents.DirectoryRenewed).map(call => call.arguments[1]);
    assert.equal(renewals.length > 0, true);
    assert.deepEqual(renewals.filter(fields => fields["isRenewed"] !== true), []);
});
