import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { pickFreePort } from "../testing/daemons.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

const platform = RoutedPlatform.create();
let first: RoutedGateway;
let cutOff: RoutedGateway;

before(async () => {
    await platform.start();
    first = await RoutedGateway.start(platform, { name: "first", peersPort: await pickFreePort() });
    // Nothing listens at its store's address: all it knows comes from its peer.
    cutOff = await RoutedGateway.start(platform, {
        name: "cut-off",
        storeAddress: "127.0.0.1:9",
        peersPort: await pickFreePort(),
        seeds: first.getPeerAddress(),
    });
});

after(async () => {
    await Promise.all([first.stop(), cutOff.stop()]);
    await platform.stop();
});

test("a node that the store turns away serves by what its peer knows", async () => {
    assert.equal((await cutOff.sendCall("/lookup/1")).status, 200);
});

test("a newer configuration reaches it, and an older one never does", async () => {
    const configuration = cutOff.node.container.get(Keys.Configuration);
    const version = platform.publishManifest();
    await waitUntil(() => configuration.getVersion() === version);
    assert.equal(first.node.container.get(Keys.Configuration).getVersion(), version);
});

test("an endpoint that leaves is left out there too, and one that is gone is removed", async () => {
    const directory = cutOff.node.container.get(Keys.Directory);
    const worker = platform.callWorkers[0] as RoutedWorker;
    worker.isDraining = true;
    platform.publishWorker(worker);
    await waitUntil(() => directory.findEndpoint(worker.id)?.isUsable() === false);
    platform.store.removeObject("servers", worker.id);
    await waitUntil(() => directory.findEndpoint(worker.id) === undefined);
});

test("changes that no watch was told of are found and passed on", async () => {
    const configuration = cutOff.node.container.get(Keys.Configuration);
    let version = 0;
    platform.store.applyUnseen(() => {
        version = platform.publishManifest();
    });
    await waitUntil(() => configuration.getVersion() === version);
});

test("both count what the other lets pass, and know who holds the lease", async () => {
    await waitUntil(() => first.node.container.get(Keys.Peers).listHeard().length === 1);
    await waitUntil(() => cutOff.node.container.get(Keys.Lease).getHolder() === "first");
    assert.equal(cutOff.node.container.get(Keys.Lease).getCredentials(), undefined);
});

test("a node stops in time though its peers do not answer any more", async () => {
    const stopping = await RoutedGateway.start(platform, { name: "stopping" });
    stopping.node.container.get(Keys.Gossip).publishNow = () => new Promise(() => {});
    let isStopped = false;
    void stopping.stop().then(() => (isStopped = true));
    await waitUntil(() => isStopped);
});
