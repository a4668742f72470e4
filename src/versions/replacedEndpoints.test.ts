import assert from "node:assert/strict";
import { test, TestContext } from "node:test";
import { HeaderNames, ObjectKinds } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";
import { MoveStage } from "./types.js";

/** Endpoints of each version; as many crashes as quarantine what they have in common. */
const endpointsEach = 3;
const streamCount = 12;
const target = "v2";
const headers = {
    [HeaderNames.deadline]: "4000",
    [HeaderNames.tokenCounts]: "100,20",
    // The first part is shared with other requests.
    [HeaderNames.promptPrefix]: "aa:60,bb:40",
};

/** Starts a platform with engines of two versions and a gateway before it, and stops them after the test. */
async function startWorld(context: TestContext): Promise<{ platform: RoutedPlatform; gateway: RoutedGateway; }> {
    const platform = RoutedPlatform.create();
    await platform.start(endpointsEach);
    const newEngines = Array.from({ length: endpointsEach }, (_value, index) => {
        const engine = RoutedWorker.create(`i-newer-${index}`, routedNames.engines, "xela", true);
        engine.version = target;
        return engine;
    });
    for (const engine of newEngines) {
        await engine.start();
        platform.publishWorker(engine);
    }
    const gateway = await RoutedGateway.start(platform);
    context.after(async () => {
        await gateway.stop();
        await platform.stop();
        await Promise.all(newEngines.map(engine => engine.stop()));
    });
    return { platform, gateway };
}

/** Stores the stage of a move of the engines and waits until the gateway applies it. */
async function applyStage(platform: RoutedPlatform, gateway: RoutedGateway, stage: MoveStage): Promise<void> {
    const status = { state: stage === MoveStage.Done ? "done" : "running", target, stage, deadline: Date.now() + 60_000, reason: "" };
    platform.store.putObject(ObjectKinds.rollouts, routedNames.engines, { service: routedNames.engines, target, "over-s": 60 }, status);
    const moves = gateway.node.container.get(Keys.Versions);
    await waitUntil(() => moves.findMove(routedNames.engines)?.account?.stage === stage);
}

for (const stage of [MoveStage.All, MoveStage.Done]) {
    // Guards against counting the end of old endpoints, which stop without draining, as crashes that quarantine their requests' prompts.
    test(`prompts of requests that run on old endpoints when these stop in stage '${stage}' are served afterwards`, async context => {
        const { platform, gateway } = await startWorld(context);
        platform.engines.forEach(engine => {
            engine.eventCount = 100;
            engine.eventMilliseconds = 50;
            engine.restartMilliseconds = 1_000;
        });
        const send = (path: string) => gateway.sendCall(path, { method: "POST", body: "{}", headers });
        await applyStage(platform, gateway, MoveStage.Trial);
        const sent = Array.from({ length: streamCount }, (_value, index) => send(`/notice/${index}`));
        await waitUntil(() => platform.engines.every(engine => engine.runs.length > 0));
        await applyStage(platform, gateway, stage);
        platform.engines.forEach(engine => engine.kill());
        await Promise.all(sent);
        const later = await send("/notice/later");
        assert.equal(later.status === 200 && later.isWhole, true, later.body);
    });
}
