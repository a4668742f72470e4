import assert from "node:assert/strict";
import { test } from "node:test";
import { DiagnosticMessage, Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { createSilentLogger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { Err } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ServiceDeclaration } from "../../config/types.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { HostState, PurchaseKind } from "../../provider/types.js";
import { VirtualClock } from "../../testing/virtualClock.js";
import { EndpointRegistry } from "../endpointRegistry.js";
import { ModelRequest, VersionObservation } from "../types.js";
import { shadowAttemptsPerRequest, ShadowRequestRunner } from "./shadowRequestRunner.js";

/** Runs the shadow attempts of one request, all of which fail with the message; returns the reported observations. */
async function runFailingShadowRequests(message: DiagnosticMessage): Promise<VersionObservation[]> {
    const clock = VirtualClock.create();
    const metrics = Metrics.create();
    const registry = EndpointRegistry.create(clock, metrics, createSilentLogger(), 8);
    registry.applyDescriptions([{
        name: "engine-1",
        address: { host: "127.0.0.1", port: 9 },
        failureDomain: "xela",
        region: "home",
        group: "new",
        purchase: PurchaseKind.OnDemand,
        pricePerHour: 1,
        state: HostState.Live,
        leavesAt: undefined,
    }]);
    const observations: VersionObservation[] = [];
    const client: Partial<ModelEndpointClient> = {
        runGeneration: async () => {
            await clock.sleep(20);
            return Err(Failure.create(Verdict.MayHaveRun, message, "reset"));
        },
    };
    const runner = ShadowRequestRunner.create(
        client as ModelEndpointClient,
        registry,
        { selectEndpoint: () => registry.findEntry("engine-1") },
        { findShadowVersion: () => "v2" },
        { recordObservation: observation => observations.push(observation) },
        clock,
        metrics,
        100,
    );
    const service: Partial<ServiceDeclaration> = { name: "draft", versions: [], silenceLimit: 100 };
    const request: Partial<ModelRequest> = { id: "r", team: "desk", prompt: "", maxTokens: 4, isChat: false, sampling: {} };
    const finished = runner.sendShadowRequests(request as ModelRequest, service as ServiceDeclaration, "v1");
    await clock.runUntil(100);
    await finished;
    return observations;
}

test("a shadow attempt whose connection is lost or refused is not counted against the version", async () => {
    assert.equal((await runFailingShadowRequests(Diagnostics.Connection_was_lost_after_the_request_was_sent_0)).length, 0);
    assert.equal((await runFailingShadowRequests(Diagnostics.Endpoint_refused_the_connection_0)).length, 0);
});

test("a shadow attempt that fails with an HTTP error status is counted against the version", async () => {
    const observations = await runFailingShadowRequests(Diagnostics.Endpoint_failed_with_status_0);
    assert.equal(observations.length, shadowAttemptsPerRequest);
    observations.forEach(observation => assert.equal(observation.succeeded, false));
});
