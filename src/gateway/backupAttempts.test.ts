import assert from "node:assert/strict";
import { after, before, beforeEach, test } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker, WorkerFault } from "../standins/routed/routedWorker.js";
import { CuttableConnector, PathCut } from "../testing/cuttableConnector.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";

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
    for (const engine of platform.engines) {
        engine.runs.length = 0;
        engine.eventMilliseconds = 50;
        engine.eventCount = 10;
        gateway.node.container.get(Keys.Directory).findEndpoint(engine.id)?.recordSuccess(1);
    }
});

/** Stops engines for a while: they accept no new connections meanwhile, and go on afterwards with what they have. */
function silenceEngines(engines: readonly RoutedWorker[], milliseconds: number): void {
    engines.forEach(engine => engine.silenceFor(milliseconds));
    connector.setCut(PathCut.NewSilent, engines.map(engine => engine.getAddress()));
    setTimeout(() => connector.setCut(PathCut.None), milliseconds);
}

function closeIdleConnections(): void {
    const { container } = gateway.node;
    container.get(Keys.Directory).listAll().forEach(endpoint => container.get(Keys.Connections).closeIdle(endpoint));
}

/** Sends a resumable stream of ten events in half a second. */
function sendSlowStream(): Promise<CallerView> {
    return gateway.sendCall("/question/4", {
        method: "POST",
        body: gateway.createAttemptId(),
        headers: { [HeaderNames.deadline]: "3000" },
    });
}

function checkWholeStream(response: CallerView): void {
    assert.equal(response.status === 200 && response.isWhole, true, `${response.status}: ${response.body}`);
    assert.deepEqual(response.body.match(/^id: \d+$/gm), [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map(id => `id: ${id}`));
}

for (const milliseconds of [1_000, 1_200, 1_500]) {
    // Guards against giving up a request whose endpoint was silent for a second or so, and goes on, before another one has taken it.
    test(`streams go on when all engines, silent for ${milliseconds} ms, accept no connection meanwhile and no other one takes them`, async () => {
        const streams = [sendSlowStream(), sendSlowStream(), sendSlowStream(), sendSlowStream()];
        await waitUntil(() => platform.engines.reduce((sum, engine) => sum + engine.runs.length, 0) === 4);
        await new Promise(resolve => setTimeout(resolve, 120));
        closeIdleConnections();
        silenceEngines(platform.engines, milliseconds);
        platform.publishManifest();
        (await Promise.all(streams)).forEach(checkWholeStream);
    });

    test(`a stream that has not begun goes on when all engines are silent for ${milliseconds} ms and no other one takes it`, async () => {
        platform.engines.forEach(engine => engine.silenceFor(milliseconds));
        const stream = sendSlowStream();
        await waitUntil(() => platform.engines.some(engine => engine.runs.length > 0));
        closeIdleConnections();
        silenceEngines(platform.engines, milliseconds);
        platform.publishManifest();
        checkWholeStream(await stream);
    });
}

test("a stream goes on at its engine, silent for a second or so, when the retry budget is spent", async context => {
    context.mock.method(gateway.node.container.get(Keys.FleetRetryBudget), "takeRetry", () => false);
    const stream = sendSlowStream();
    await waitUntil(() => platform.engines.some(engine => engine.runs.length > 0));
    silenceEngines(platform.engines.filter(engine => engine.runs.length > 0), 1_200);
    checkWholeStream(await stream);
    assert.equal(platform.engines.reduce((sum, engine) => sum + engine.runs.length, 0), 1);
});

// Guards against a backup attempt that goes on, and cuts the call, after the first attempt has ended without further data.
test("a stream that ends after a silence ends its backup attempt, and is not cut by it", async () => {
    platform.engines.forEach(engine => {
        engine.eventMilliseconds = 5;
        engine.faults.push(WorkerFault.LateEnd);
    });
    const stream = sendSlowStream();
    await waitUntil(() => platform.engines.some(engine => engine.runs.length > 0));
    // The backup attempt gets no response.
    platform.engines.forEach(engine => (engine.workMilliseconds = 10_000));
    checkWholeStream(await stream);
    await new Promise(resolve => setTimeout(resolve, 250));
    platform.engines.forEach(engine => {
        engine.workMilliseconds = 0;
        engine.faults.length = 0;
    });
    assert.equal(platform.engines.every(engine => engine.runs.length === 1), true, "no backup attempt was made");
    assert.equal(gateway.node.container.get(Keys.Server).countOpenCalls(), 0);
    assert.deepEqual(platform.engines.map(engine => engine.runs[0]?.isCancelled).sort(), [false, true]);
});
