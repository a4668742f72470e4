import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { GatewayDigestSchema, SharedStateSchema } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { pickFreePort } from "../testing/daemons.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { PeerTable } from "./peerTable.js";
import { GatewayPeer } from "./types.js";

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

// Guards against a node whose own watch has gone silent and that peers never tell of a leaving endpoint, because endpoints change all the time.
test("a peer that lacks an older change of the endpoints is sent it although newer changes follow one another", async () => {
    const { container } = first.node;
    const follower = container.get(Keys.EndpointFollower);
    const [engine] = platform.engines as [RoutedWorker];
    const known = follower.getRevision();
    const digest = create(GatewayDigestSchema, {
        member: { name: "silent-watch", failureDomain: "xela", address: "127.0.0.1:9", incarnation: 1n },
        isStoreReachable: true,
        configurationVersion: BigInt(container.get(Keys.Configuration).getVersion()),
        directoryRevision: BigInt(known),
    });
    const startedAt = performance.now();
    let hasEndpoints = false;
    while (!hasEndpoints && performance.now() - startedAt < 1_500) {
        platform.publishWorker(engine);
        await new Promise(resolve => setTimeout(resolve, 100));
        hasEndpoints = (container.get(Keys.Gossip).handleExchange(digest).state?.endpointsJson ?? "") !== "";
    }
    container.get(Keys.Peers).removePeer("silent-watch");
    assert.equal(follower.getRevision() > known, true);
    assert.equal(hasEndpoints, true);
});

test("a node lists its peer as reachable, and the peer records the lease holder without holding the lease itself", async () => {
    await waitUntil(() => first.node.container.get(Keys.Peers).listReachablePeers().length === 1);
    await waitUntil(() => storelessGateway.node.container.get(Keys.Lease).getHolder() === "first");
    assert.equal(storelessGateway.node.container.get(Keys.Lease).getCredentials(), undefined);
});

test("a node that joins without the store learns of an older quarantine, and that its trial is claimed", async () => {
    const record = { fingerprint: "quarantined-before", endpoints: ["a/1", "b/1", "c/1"], until: Date.now() + 60_000 };
    first.node.container.get(Keys.PoisonRequestDetector).mergeRecord(record, "test");
    first.node.container.get(Keys.QuarantineTrials).recordOtherHolder(record);
    const joining = await RoutedGateway.start(platform, {
        name: "joining",
        storeAddress: "127.0.0.1:9",
        peersPort: await pickFreePort(),
        seeds: first.getPeerAddress(),
    });
    await waitUntil(() => joining.node.container.get(Keys.Ledger).countCrashes(record.fingerprint) === 3);
    assert.equal(joining.node.container.get(Keys.QuarantineTrials).isAvailable(record.fingerprint), false);
    await joining.stop();
});

// Guards against sending every quarantine with each digest until it expires.
test("a peer that has all quarantines is sent only those with recent crashes, until an exchange with it fails", async () => {
    const clock = VirtualClock.create();
    const ledger = QuarantineLedger.create(clock, 600_000);
    ["a/1", "b/1", "c/1"].forEach(endpoint => ledger.recordCrash("old", endpoint));
    await clock.runUntil(10_000);
    ledger.recordCrash("recent", "d/1");
    const list = (minimumCrashes: number) => ledger.listRecordsToShare(minimumCrashes, 5_000).map(record => record.fingerprint);
    assert.deepEqual(list(Infinity), ["recent"]);
    assert.deepEqual(list(3), ["old", "recent"]);
    const table = PeerTable.create({ name: "self", failureDomain: "xela", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
    table.addPeer({ name: "peer", failureDomain: "xela", address: "127.0.0.1:2", incarnation: 1 });
    const peer = table.findPeer("peer") as GatewayPeer;
    peer.hasAllQuarantines = true;
    table.recordFailure(peer);
    assert.equal(peer.hasAllQuarantines, false);
    peer.hasAllQuarantines = true;
    table.addPeer({ name: "peer", failureDomain: "xela", address: "127.0.0.1:2", incarnation: 2 });
    assert.equal(peer.hasAllQuarantines, false);
});

// Guards against dropping all of a peer's state, without a line in the log, because one part of it is malformed.
test("a malformed part of a peer's state leaves the other parts in force", () => {
    const configuration = first.node.container.get(Keys.Configuration).getTable()?.configuration;
    const version = (configuration?.version ?? 0) + 1;
    const state = create(SharedStateSchema, {
        endpointsJson: "{",
        versionMovesJson: "[]",
        configurationJson: JSON.stringify({ ...configuration, version }),
    });
    first.node.container.get(Keys.Gossip).applyState(state, "peer");
    assert.equal(first.node.container.get(Keys.Configuration).getVersion(), version);
    const broken = create(SharedStateSchema, { configurationJson: "{", endpointsJson: "", versionMovesJson: "" });
    assert.doesNotThrow(() => first.node.container.get(Keys.Gossip).applyState(broken, "peer"));
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
