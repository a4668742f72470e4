import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { pickFreePort } from "../testing/daemons.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Crashes that the endpoints of a brittle service may suffer in one spell: two and a tenth of their number. */
const allowedCrashes = (endpoints: number) => 2 + endpoints / 10;
/** Time from the first answers that say so until the rule counts, in milliseconds. */
const contactMilliseconds = 3_000;

const platform = RoutedPlatform.create();
let gateways: RoutedGateway[];

before(async () => {
    await platform.start(3);
    const first = await RoutedGateway.start(platform, { name: "first", peersPort: await pickFreePort() });
    const second = await RoutedGateway.start(platform, {
        name: "second",
        peersPort: await pickFreePort(),
        seeds: first.getPeerAddress(),
    });
    gateways = [first, second];
    await waitUntil(() => gateways.every(gateway => gateway.node.container.get(Keys.Peers).listReachablePeers().length === 1));
});

after(async () => {
    await Promise.all(gateways.map(gateway => gateway.stop()));
    await platform.stop();
});

/** Sends lookups to both gateways for some time, from many callers at once who return quickly; returns the counts by status. */
async function sendLoad(milliseconds: number, callers: number): Promise<Map<number, number>> {
    const endsAt = performance.now() + milliseconds;
    const counts = new Map<number, number>();
    await Promise.all(Array.from({ length: callers }, async (_value, index) => {
        const gateway = gateways[index % gateways.length] as RoutedGateway;
        while (performance.now() < endsAt) {
            const { status } = await gateway.sendCall("/lookup/1");
            counts.set(status, (counts.get(status) ?? 0) + 1);
            await sleep(20);
        }
    }));
    return counts;
}

// Guards against running the endpoints of an overloaded service into the ground, one after the other, by requests that they reject.
test("brittle endpoints under three times their load do not fall over one after the other, and go on serving", async () => {
    for (const worker of platform.callWorkers) {
        worker.workMilliseconds = 100;
        worker.rejectionLimit = 4;
        worker.restartMilliseconds = 1_000;
    }
    await sendLoad(contactMilliseconds, 4);
    const crashesBefore = platform.callWorkers.reduce((sum, worker) => sum + worker.crashes, 0);
    const counts = await sendLoad(4_000, 60);
    const crashes = platform.callWorkers.reduce((sum, worker) => sum + worker.crashes, 0) - crashesBefore;
    assert.equal(crashes <= allowedCrashes(platform.callWorkers.length), true, `${crashes} crashes`);
    // Three endpoints of six slots serve 180 calls a second at best; half of it must be left.
    assert.equal((counts.get(200) ?? 0) >= 360, true, JSON.stringify([...counts]));
});
