import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { CuttableConnector, PathCut } from "../testing/cuttableConnector.js";
import { pickFreePort } from "../testing/daemons.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";
import { FaultProxy, LinkMood } from "../testing/soak/faultProxy.js";

/** A silence after which a sound node goes on, in milliseconds. */
const shortSilenceMilliseconds = 1_300;
/** Time limit of all calls, in milliseconds. */
const deadlineMilliseconds = 6_000;

const platform = RoutedPlatform.create();
let connector: CuttableConnector;
let peer: RoutedGateway;
/** A node that has lost its paths to all endpoints, and reaches the peer over the link. */
let cutOff: RoutedGateway;
let link: FaultProxy;

before(async () => {
    await platform.start();
    const routes = platform.createManifest()["routes"] as Readonly<Record<string, unknown>>[];
    platform.publishManifest({ routes: routes.map(route => ({ ...route, "timeout-ms": deadlineMilliseconds })) });
    connector = await CuttableConnector.start(platform.listWorkers().map(worker => worker.getAddress()));
    peer = await RoutedGateway.start(platform, { name: "peer", peersPort: await pickFreePort() });
    cutOff = await RoutedGateway.start(platform, {
        name: "cut-off",
        peersPort: await pickFreePort(),
        seeds: peer.getPeerAddress(),
        connector,
    });
    link = await FaultProxy.start(peer.getPeerAddress());
    const peers = cutOff.node.container.get(Keys.Peers);
    await waitUntil(() => peers.listReachablePeers().length === 1);
    peers.listReachablePeers().forEach(known => (known.address = link.getAddress()));
    connector.setCut(PathCut.Reset);
    await Promise.all(["/lookup/first", "/notice/first"].map(path => send(path)));
    await waitUntil(() => cutOff.node.container.get(Keys.ServicePaths).listUnreachableServices().length === 2);
});

after(async () => {
    await Promise.all([cutOff.stop(), peer.stop()]);
    await platform.stop();
    await connector.stop();
    await link.stop();
});

afterEach(() => {
    link.setMood(LinkMood.Well);
    setWorkTime(0);
});

function send(path: string): Promise<CallerView> {
    const options = path.startsWith("/lookup") ? {} : { method: "POST", body: path };
    return cutOff.sendCall(path, { ...options, headers: { [HeaderNames.deadline]: String(deadlineMilliseconds) } });
}

function setWorkTime(milliseconds: number, eventMilliseconds = 5): void {
    platform.listWorkers().forEach(worker => (worker.workMilliseconds = milliseconds));
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = eventMilliseconds;
        engine.eventCount = 3;
    });
}

// Guards against calls that a peer serves being broken off because it, or the link to it, stood still for a second or so.
test("calls that were handed to a peer go on after the peer was silent for a short time", async () => {
    setWorkTime(0, 1_200);
    platform.callWorkers.forEach(worker => (worker.workMilliseconds = 3_000));
    const running = ["/voucher/running", "/notice/running", "/lookup/running"].map(path => send(path));
    // The stream has begun, and a ping is under way when the silence starts.
    await sleep(2_150);
    setWorkTime(0);
    link.setMood(LinkMood.Held);
    await sleep(300);
    const added = ["/voucher/added", "/notice/added"].map(path => send(path));
    await sleep(shortSilenceMilliseconds - 300);
    link.setMood(LinkMood.Well);
    const responses = await Promise.all([...running, ...added]);
    assert.deepEqual(responses.map(response => [response.status, response.isWhole]), responses.map(() => [200, true]));
});

// Guards against calls that wait for a session to a peer which has gone silent for good, while new sessions to the peer work.
test("a session to a peer that is silent for good gets no further calls, and those that may be repeated leave it", async () => {
    setWorkTime(300);
    const waiting = ["/lookup/waiting", "/question/waiting"].map(path => send(path));
    await sleep(100);
    link.setMood(LinkMood.OpenOnesSilent);
    const startedAt = performance.now();
    await sleep(1_000);
    const added = ["/voucher/new", "/notice/new", "/lookup/new"].map(path => send(path));
    const responses = await Promise.all([...waiting, ...added]);
    assert.deepEqual(responses.map(response => [response.status, response.isWhole]), responses.map(() => [200, true]));
    const elapsed = performance.now() - startedAt;
    assert.equal(elapsed < 3_000, true, `${elapsed} ms`);
});
