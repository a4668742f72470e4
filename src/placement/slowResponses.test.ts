import assert from "node:assert/strict";
import { test, TestContext } from "node:test";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedGateway } from "../testing/routedGateway.js";

/** Calls that start before the first of them has ended: more than the endpoints run at once. */
const burst = 16;
const laterCalls = 5;

async function startWorld(context: TestContext, workMilliseconds: number): Promise<{ platform: RoutedPlatform; gateway: RoutedGateway; }> {
    const platform = RoutedPlatform.create();
    await platform.start();
    platform.callWorkers.forEach(worker => (worker.workMilliseconds = workMilliseconds));
    const gateway = await RoutedGateway.start(platform);
    context.after(async () => {
        await gateway.stop();
        await platform.stop();
    });
    return { platform, gateway };
}

/** Sends a burst of calls and then further ones, one at a time; returns the statuses of the further ones. */
async function sendBurst(gateway: RoutedGateway): Promise<number[]> {
    await Promise.all(Array.from({ length: burst }, () => gateway.sendCall("/lookup/1")));
    const statuses: number[] = [];
    for (let call = 0; call < laterCalls; call += 1) {
        statuses.push((await gateway.sendCall("/lookup/2")).status);
    }
    return statuses;
}

const served = Array.from({ length: laterCalls }, () => 200);

// Guards against refusing every further call for good because the last responses were slow, though the endpoints are idle.
test("calls are served after all endpoints of their service were silent for a second", async context => {
    const { platform, gateway } = await startWorld(context, 50);
    platform.callWorkers.forEach(worker => worker.silenceFor(1_200));
    assert.deepEqual(await sendBurst(gateway), served);
});

test("calls are served after the first ones to their service took longer than assumed", async context => {
    const { gateway } = await startWorld(context, 700);
    assert.deepEqual(await sendBurst(gateway), served);
});

test("calls are refused while those that wait for a slot cannot be served in time", async context => {
    const { gateway } = await startWorld(context, 700);
    await sendBurst(gateway);
    const statuses = (await Promise.all(Array.from({ length: 60 }, () => gateway.sendCall("/lookup/3")))).map(({ status }) => status);
    assert.equal(statuses.filter(status => status === 503).length >= 20, true, statuses.join(" "));
});
