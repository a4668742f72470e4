import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { ObjectKinds } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Time that a caller waits before it gives up, in milliseconds: the time limit of the routes and half a second. */
const patienceMilliseconds = 2_000;

const platform = RoutedPlatform.create();
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    gateway = await RoutedGateway.start(platform);
});

after(async () => {
    await gateway.stop();
    await platform.stop();
});

function sendLookups(target = gateway): Promise<CallerView[]> {
    return Promise.all(Array.from(
        { length: 6 },
        (_, index) => target.sendCall(`/lookup/${index}`, { signal: AbortSignal.timeout(patienceMilliseconds) }),
    ));
}

function checkServed(responses: readonly CallerView[]): void {
    assert.deepEqual(responses.map(response => response.status), responses.map(() => 200));
}

// Guards against an entry whose name cannot be sent in a header: the calls that were placed there were never answered.
for (const id of ["i-\ufffd\ufffd91c2", "i-\ud800", "i 7", "i\n7", "i-\u00e9", "x".repeat(300)]) {
    test(`an entry whose name is ${JSON.stringify(id).slice(0, 20)} gets no calls`, async () => {
        const worker = platform.callWorkers[0] as RoutedWorker;
        platform.store.putObject(ObjectKinds.servers, id, { ...worker.createEntry(), slots: 1_000 });
        platform.store.putObject(ObjectKinds.servers, "marker", { ...worker.createEntry(), service: "unused" });
        const directory = gateway.node.container.get(Keys.Directory);
        await waitUntil(() => directory.findEndpoint("marker") !== undefined);
        const [first, second] = [await sendLookups(), await sendLookups()];
        platform.store.removeObject(ObjectKinds.servers, id);
        platform.store.removeObject(ObjectKinds.servers, "marker");
        await waitUntil(() => directory.findEndpoint("marker") === undefined);
        checkServed([...first, ...second]);
    });
}

// Guards against callers that get no answer, and calls that never end, after an exception that no one expected.
test("a call that fails by an unexpected exception is answered at once, and counts as ended", async () => {
    const manifest = platform.createManifest();
    const [team] = manifest["tenants"] as readonly Readonly<Record<string, unknown>>[];
    const version = platform.publishManifest({ tenants: [{ ...team, name: "no\nheader" }] });
    await waitUntil(() => gateway.node.container.get(Keys.Configuration).getVersion() === version);
    const failed = await gateway.sendCall("/lookup/1", { signal: AbortSignal.timeout(patienceMilliseconds) });
    const next = platform.publishManifest();
    await waitUntil(() => gateway.node.container.get(Keys.Configuration).getVersion() === next);
    assert.equal(failed.status, 500, failed.body);
    await waitUntil(() => gateway.node.container.get(Keys.Server).countOpenCalls() === 0);
    checkServed(await sendLookups());
});
