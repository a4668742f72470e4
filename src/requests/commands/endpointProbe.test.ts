import assert from "node:assert/strict";
import { test } from "node:test";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Err, Ok } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { NetworkAddress } from "../../config/types.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointState } from "../../endpoints/types.js";
import { VirtualClock } from "../../testing/virtualClock.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { QuarantineLedger } from "../quarantineLedger.js";
import { EndpointProbe } from "./endpointProbe.js";

const fingerprint = "hash-of-prompt";

const otherAddress = { host: "127.0.0.1", port: 10 };

/**
 * Probes an endpoint whose responses fail with the given verdicts, one after the other, beside another endpoint that answers unless
 * told otherwise; returns the crashes that are counted.
 */
async function countCrashes(verdicts: Verdict[], responseMilliseconds: number, doesOtherAnswer = true): Promise<number> {
    const clock = VirtualClock.create();
    const ledger = QuarantineLedger.create(clock, 600_000);
    const client = {
        fetchLoad: async (address: NetworkAddress) => {
            await clock.sleep(responseMilliseconds);
            if (address === otherAddress && doesOtherAnswer) {
                return Ok({});
            }
            return Err(Failure.create(verdicts.shift() ?? Verdict.MayHaveRun, Diagnostics.Endpoint_refused_the_connection_0, "lost"));
        },
    } as unknown as ModelEndpointClient;
    const other = { name: "other", state: EndpointState.Live, description: { address: otherAddress } };
    const registry = { recordFailure: () => {}, listEntries: () => [other] } as unknown as EndpointRegistry;
    const notifier = { sendUrgentDigest: () => Promise.resolve() };
    const attempt = { fingerprint, holdsSuspectLock: false, countEmittedTokens: () => 0 };
    const entry = {
        name: "engine",
        state: EndpointState.Live,
        attempts: new Set([attempt]),
        description: { address: { host: "127.0.0.1", port: 9 } },
    } as unknown as EndpointEntry;
    void EndpointProbe.create(client, registry, ledger, notifier, clock).checkEndpoint(entry);
    await clock.runUntil(2_000);
    return ledger.countCrashes(fingerprint);
}

// Guards against losing the count of a crash because the ending endpoint accepted one more connection.
test("an endpoint that refuses connections a moment after it lost one counts as crashed", async () => {
    assert.equal(await countCrashes([Verdict.MayHaveRun, Verdict.MayHaveRun, Verdict.NotRun], 2), 1);
});

test("an endpoint that does not answer in time, or goes on losing connections, does not count as crashed", async () => {
    assert.equal(await countCrashes([Verdict.MayHaveRun, Verdict.NotRun], 400), 0);
    assert.equal(await countCrashes([], 2), 0);
});

// Guards against counting the lost paths of a node that is cut off as crashes of endpoints that run.
test("an endpoint that refuses connections does not count as crashed while others do not answer either", async () => {
    assert.equal(await countCrashes([Verdict.NotRun, Verdict.NotRun], 2, false), 0);
});
