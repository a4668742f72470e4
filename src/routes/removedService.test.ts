import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

const streamCount = 8;

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

/** Returns the manifest's routes with all of them moved to the plain service. */
function createRoutesWithoutEngines(): unknown[] {
    const { routes } = platform.createManifest() as { routes: Readonly<Record<string, unknown>>[]; };
    return routes.map(route => ({ ...route, service: routedNames.calls }));
}

// Guards against breaking off requests that arrived before their service was removed, for want of a place at its other endpoints.
test("streams on a service that a configuration removes go on at its other endpoints", async () => {
    platform.engines.forEach(engine => {
        engine.eventCount = 20;
        engine.eventMilliseconds = 40;
    });
    const sent = Array.from({ length: streamCount }, () => gateway.sendCall("/question/1", { method: "POST", body: "{}" }));
    await waitUntil(() => platform.engines.reduce((sum, engine) => sum + engine.runs.length, 0) === streamCount);
    const services = (platform.createManifest() as { services: { name: string; }[]; }).services;
    const version = platform.publishManifest({
        routes: createRoutesWithoutEngines(),
        services: services.filter(({ name }) => name !== routedNames.engines),
    });
    await waitUntil(() => gateway.node.container.get(Keys.Configuration).getVersion() === version);
    platform.engines[0]?.kill();
    const answers = await Promise.all(sent);
    assert.deepEqual(answers.map(({ status, isWhole }) => [status, isWhole]), answers.map(() => [200, true]));
});
