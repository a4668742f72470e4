import assert from "node:assert/strict";
import { after, before, beforeEach, test } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { CuttableConnector, PathCut } from "../testing/cuttableConnector.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** A silence after which a sound endpoint goes on, in milliseconds. */
const shortSilenceMilliseconds = 1_200;

const platform = RoutedPlatform.create();
let connector: CuttableConnector;
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    connector = await CuttableConnector.start(platform.listWorkers().map(worker => worker.getAddress()));
    gateway = await RoutedGateway.start(platform, { connector });
});

after(async () => {
    await gateway.stop();
    await platform.stop();
    await connector.stop();
});

beforeEach(() => {
    for (const worker of platform.listWorkers()) {
        worker.runs.length = 0;
        gateway.node.container.get(Keys.Directory).findEndpoint(worker.id)?.recordSuccess(1);
    }
});

// Guards against running a request again, and avoiding its endpoint, because a sound endpoint was silent for a second or so.
test("a sound endpoint that is silent for a second goes on with its requests, which are not sent elsewhere", async () => {
    platform.listWorkers().forEach(worker => worker.silenceFor(shortSilenceMilliseconds));
    const [question, lookup] = await Promise.all([
        gateway.sendCall("/question/1", { method: "POST", body: "{}" }),
        gateway.sendCall("/lookup/1"),
    ]);
    assert.equal(question.status === 200 && question.isWhole, true);
    assert.equal(lookup.status, 200);
    assert.equal(platform.listWorkers().reduce((sum, worker) => sum + worker.runs.length, 0), 2);
    const directory = gateway.node.container.get(Keys.Directory);
    assert.deepEqual(directory.listAll().filter(endpoint => endpoint.isExcluded(performance.now())), []);
    assert.deepEqual(gateway.node.container.get(Keys.ServicePaths).listUnreachableServices(), []);
});

test("a request whose endpoint cannot be reached any more is sent elsewhere within its time", async () => {
    platform.engines.forEach(engine => (engine.eventMilliseconds = 100));
    const sent = gateway.sendCall("/question/2", { method: "POST", body: "{}" });
    await waitUntil(() => platform.engines.some(engine => engine.runs.length > 0));
    connector.setCut(PathCut.Silent, platform.engines.filter(engine => engine.runs.length > 0).map(engine => engine.getAddress()));
    const response = await sent;
    connector.setCut(PathCut.None);
    platform.engines.forEach(engine => (engine.eventMilliseconds = 5));
    assert.equal(response.status === 200 && response.isWhole, true);
});

test("a slow but sound stream is not cut by the probes of its quiet endpoint", async () => {
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = 1_100;
        engine.eventCount = 2;
    });
    const response = await gateway.sendCall("/notice/3", { method: "POST", body: "{}", headers: { [HeaderNames.deadline]: "4000" } });
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = 5;
        engine.eventCount = 5;
    });
    assert.equal(response.status === 200 && response.isWhole, true);
    assert.equal(platform.engines.reduce((sum, engine) => sum + engine.runs.length, 0), 1);
});
