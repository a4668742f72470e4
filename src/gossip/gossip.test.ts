import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { pickFreePort } from "../testing/daemons.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

const platform = RoutedPlatform.create();
let first: RoutedGateway;
let storelessGateway: RoutedGateway;

before(async () => {
    await platform.start();
    first = await RoutedGateway.start(platform, { name: "first", peersPort: await pickFreePort() });
    // Nothing listens at this store address, so all of this node's state comes from its peer.
    storelessGateway = await RoutedGateway.start(platform, {
        name: "cut-off",
        storeAddress: "127.0.0.1:9",
        peersPort: await pickFreePort(),
        seeds: first.getPeerAddress(),
    });
});

after(async () => {
    await Promise.all([first.stop(), storelessGateway.stop()]);
    await platform.stop();
});

test("a node that cannot reach the store serves requests with the state received from its peer", async () => {
    assert.equal((await storelessGateway.sendCall("/lookup/1")).status, 200);
});

test("a newer configuration reaches a node without store access, and its older one does not replace it on the peer", async () => {
    const configuration = storelessGateway.node.container.get(Keys.Configuration);
    const version = platform.publishManifest();
    await waitUntil(() => configuration.getVersion() === version);
    assert.equal(first.node.container.get(Keys.Configuration).getVersion(), version);
});

test("a node without store access stops using a draining endpoint and drops a removed one", async () => {
    const directory = storelessGateway.node.container.get(Keys.Directory);
    const worker = platform.callWorkers[0] as RoutedWorker;
    worker.isDraining = true;
    platform.publishWorker(worker);
    await waitUntil(() => directory.findEndpoint(worker.id)?.isUsable() === false);
    platform.store.removeObject("servers", worker.id);
    await waitUntil(() => directory.findEndpoint(worker.id) === undefined);
});

test("an endpoint that told one node that it is leaving gets nothing more from the other node", async () => {
    const findOn = (gateway: RoutedGateway) => gateway.node.container.get(Keys.Directory).findEndpoint(platform.engines[1]?.id ?? "");
    await waitUntil(() => findOn(first) !== undefined && findOn(storelessGateway) !== undefined);
    const endpoint = findOn(first);
    assert.notEqual(endpoint, undefined);
    if (endpoint !== undefined) {
        first.node.container.get(Keys.Directory).markLeaving(endpoint, "test");
    }
    await waitUntil(() => findOn(storelessGateway)?.isUsable() === false);
});

test("a removal that was delayed after a store outage reaches a node whose directory has the same revision", async () => {
    const { container } = first.node;
    const directory = storelessGateway.node.container.get(Keys.Directory);
    const lapsed = RoutedWorker.create("lapsed", "unused", "xela", false);
    platform.store.putObject("servers", "lapsed", { ...lapsed.createEntry(), addr: "127.0.0.1:9" });
    await waitUntil(() => directory.findEndpoint("lapsed") !== undefined);
    container.get(Keys.EndpointFollower).setOutageSource(() => performance.now());
    platform.store.removeObject("servers", "lapsed");
    await new Promise(resolve => setTimeout(resolve, 500));
    // A later change, so that both nodes have a newer revision than that of the removal when it is applied.
    container.get(Keys.EndpointFollower).setOutageSource(() => -Infinity);
    const [engine] = platform.engines;
    if (engine !== undefined) {
        platform.publishWorker(engine);
    }
    await waitUntil(() => directory.findEndpoint("lapsed") === undefined);
});

test("a change that no store watch delivers is still detected and sent to peers", async () => {
    const configuration = storelessGateway.node.container.get(Keys.Configuration);
    let version = 0;
    platform.store.applyUnseen(() => {
        version = platform.publishManifest();
    });
    await waitUntil(() => configuration.getVersion() === version);
});

test("a node lists its peer as reachable, and the peer records the lease holder without holding the lease itself", async () => {
    await waitUntil(() => first.node.container.get(Keys.Peers).listReachablePeers().length === 1);
    await waitUntil(() => storelessGateway.node.container.get(Keys.Lease).getHolder() === "first");
    assert.equal(storelessGateway.node.container.get(Keys.Lease).getCredentials(), undefined);
});

test("a node stops although its last exchange with peers never completes", async () => {
    const stopping = await RoutedGateway.start(platform, { name: "stopping" });
    stopping.node.container.get(Keys.Gossip).publishNow = () => new Promise(() => {});
    let isStopped = false;
    void stopping.stop().then(() => (isStopped = true));
    await waitUntil(() => isStopped);
});

test("after the store is restored, nodes register again and keep serving with the newest configuration they have seen", async () => {
    const copy = platform.store.takeCopy();
    const version = platform.publishManifest();
    const { container } = first.node;
    await waitUntil(() => container.get(Keys.Configuration).getVersion() === version);
    const restarted = await RoutedGateway.start(platform, { name: "late", peersPort: await pickFreePort(), seeds: first.getPeerAddress() });
    await waitUntil(() => platform.store.getObject("nodes", "late") !== undefined);
    platform.store.loadCopy(copy);
    assert.equal(platform.store.getObject("nodes", "late"), undefined);
    await waitUntil(() => platform.store.getObject("nodes", "late") !== undefined);
    assert.equal(container.get(Keys.Configuration).getVersion(), version);
    assert.equal((await restarted.sendCall("/lookup/1")).status, 200);
    await waitUntil(() => storelessGateway.node.container.get(Keys.Store).getEra() === container.get(Keys.Store).getEra());
    await restarted.stop();
});
