import assert from "node:assert/strict";
import { test, TestContext } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { exchangeTimeoutMilliseconds } from "../gossip/gossipClient.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { CuttableConnector, PathCut } from "../testing/cuttableConnector.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Connections that are idle when all go silent. */
const idleConnections = 4;
/** Deadline of the calls that follow, in milliseconds. */
const deadlineMilliseconds = 700;

/** A gateway whose connections to endpoints can be silenced. */
interface SilenceableFleet {
    readonly platform: RoutedPlatform;
    readonly connector: CuttableConnector;
    readonly gateway: RoutedGateway;
}

/** Starts a gateway before a number of endpoints of each service, and leaves connections to the plain ones idle. */
async function startFleet(context: TestContext, endpointsEach: number): Promise<SilenceableFleet> {
    const platform = RoutedPlatform.create();
    await platform.start(endpointsEach);
    const connector = await CuttableConnector.start(platform.listWorkers().map(worker => worker.getAddress()));
    const gateway = await RoutedGateway.start(platform, { connector });
    context.after(async () => {
        await gateway.stop();
        await platform.stop();
        await connector.stop();
    });
    const fleet = { platform, connector, gateway };
    await sendTogether(fleet);
    return fleet;
}

/** Sends calls at once, so that their connections are idle afterwards. */
async function sendTogether({ platform, gateway }: SilenceableFleet): Promise<void> {
    platform.callWorkers.forEach(worker => (worker.workMilliseconds = 40));
    const responses = await Promise.all(Array.from({ length: idleConnections }, (_, index) => gateway.sendCall(`/lookup/${index}`)));
    platform.callWorkers.forEach(worker => (worker.workMilliseconds = 0));
    assert.deepEqual(responses.map(response => response.status), Array(idleConnections).fill(200));
}

/** Silences all open connections for good, and sends unsafe calls one after the other; returns their statuses. */
async function sendAfterSilence({ connector, gateway }: SilenceableFleet): Promise<number[]> {
    connector.setCut(PathCut.Silent);
    connector.setCut(PathCut.None);
    const statuses: number[] = [];
    for (let sent = 0; sent < idleConnections; sent += 1) {
        const headers = { [HeaderNames.deadline]: String(deadlineMilliseconds) };
        statuses.push((await gateway.sendCall("/voucher/1", { method: "POST", body: "{}", headers })).status);
    }
    return statuses;
}

// Guards against calls that are sent on idle connections which have gone silent, one call on each, after one such call got no answer.
test("one unsafe call is lost by idle connections that have gone silent, and the next ones are served", async context => {
    const fleet = await startFleet(context, 1);
    assert.deepEqual(await sendAfterSilence(fleet), [504, 200, 200, 200]);
});

// Guards against losing one call for each endpoint when the connections to all of them go silent at once.
test("no call is sent on a silent idle connection after calls to two endpoints got no answer", async context => {
    const fleet = await startFleet(context, idleConnections);
    assert.deepEqual(await sendAfterSilence(fleet), [504, 504, 200, 200]);
});

test("no call is sent on a silent idle connection after a peer and a call to one endpoint got no answer", async context => {
    const fleet = await startFleet(context, idleConnections);
    const { platform, gateway } = fleet;
    const peer = await RoutedGateway.start(platform, { name: "node-2", seeds: gateway.getPeerAddress() });
    context.after(() => peer.stop());
    const { container } = gateway.node;
    await waitUntil(() => container.get(Keys.Peers).listReachablePeers().length > 0);
    const recordSilence = context.mock.method(container.get(Keys.Connections), "recordSilence");
    context.mock.method(container.get(Keys.GossipLink), "exchangeDigests", async () => {
        await new Promise(resolve => setTimeout(resolve, exchangeTimeoutMilliseconds));
        return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_broke_off));
    });
    await waitUntil(() => recordSilence.mock.callCount() > 0);
    await sendTogether(fleet);
    assert.deepEqual(await sendAfterSilence(fleet), [504, 200, 200, 200]);
});

// Guards against closing idle connections again and again for an endpoint that is sound.
test("an endpoint that is silent for a second loses its idle connections once, and a stream that goes on closes none", async context => {
    const fleet = await startFleet(context, 1);
    const { platform, connector, gateway } = fleet;
    const opened = connector.openedConnections;
    platform.callWorkers.forEach(worker => worker.silenceFor(1_200));
    assert.equal((await gateway.sendCall("/lookup/1")).status, 200);
    await sendTogether(fleet);
    assert.equal(connector.openedConnections - opened <= idleConnections, true);

    const stream = { method: "POST", body: "{}", headers: { [HeaderNames.deadline]: "4000" } };
    await Promise.all(["1", "2"].map(id => gateway.sendCall(`/notice/${id}`, stream)));
    const openedByStreams = connector.openedConnections;
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = 100;
        engine.eventCount = 13;
    });
    const long = gateway.sendCall("/notice/3", stream);
    await new Promise(resolve => setTimeout(resolve, 1_000));
    const late = await gateway.sendCall("/notice/4", stream);
    assert.equal((await long).isWhole && late.isWhole, true);
    assert.equal(connector.openedConnections, openedByStreams);
});

// Guards against waiting until the deadline on a connection that has gone silent while the endpoint answers on others.
test("lookups and resumable streams whose connections go silent are served by other endpoints before their deadlines", async context => {
    const fleet = await startFleet(context, 2);
    const { platform, connector, gateway } = fleet;
    const eventCount = 10;
    platform.engines.forEach(engine => Object.assign(engine, { eventMilliseconds: 50, eventCount }));
    platform.callWorkers.forEach(worker => (worker.workMilliseconds = 200));
    const sendStream = () =>
        gateway.sendCall("/question/1", { method: "POST", body: gateway.createAttemptId(), headers: { [HeaderNames.deadline]: "3000" } });
    const begunStreams = [sendStream(), sendStream(), sendStream()];
    await new Promise(resolve => setTimeout(resolve, 150));
    platform.engines.forEach(engine => (engine.workMilliseconds = 300));
    const waitingStreams = [sendStream(), sendStream(), sendStream()];
    const lookups = [1, 2, 3, 4].map(id => gateway.sendCall(`/lookup/${id}`));
    await new Promise(resolve => setTimeout(resolve, 50));
    connector.setCut(PathCut.Silent);
    connector.setCut(PathCut.None);
    platform.listWorkers().forEach(worker => (worker.workMilliseconds = 0));
    // The endpoints answer on new connections all the while.
    const later: Promise<CallerView>[] = [];
    for (let round = 0; round < 20; round += 1) {
        later.push(gateway.sendCall(`/lookup/${round}`), sendStream());
        await new Promise(resolve => setTimeout(resolve, 100));
    }
    const everyId = Array.from({ length: eventCount }, (_, index) => `id: ${index + 1}`);
    for (const response of await Promise.all([...begunStreams, ...waitingStreams])) {
        assert.equal(response.status === 200 && response.isWhole, true, `${response.status}: ${response.body}`);
        assert.deepEqual(response.body.match(/^id: \d+$/gm), everyId);
    }
    assert.deepEqual((await Promise.all([...lookups, ...later])).map(response => response.status), Array(44).fill(200));
});
