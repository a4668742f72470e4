import assert from "node:assert/strict";
import { test } from "node:test";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Metrics } from "../../common/metrics.js";
import { Err, Ok } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ServiceDeclaration } from "../../config/types.js";
import { EndpointState } from "../../endpoints/types.js";
import { VirtualClock } from "../../testing/virtualClock.js";
import { RequestHistory } from "../requestRecord.js";
import { PlainRequest } from "../types.js";
import { ClaimOutcome } from "./claimStore.js";
import { PlainCallRunner, PlainCallRunnerDependencies } from "./plainCallRunner.js";

const span = { setAttribute: () => {}, end: () => {} };
const answer = { status: 200, contentType: undefined, body: Buffer.from("from the peer") };

/** A call on a node to which every endpoint refuses connections, and what happens to it. */
interface RefusedCall {
    readonly isIdempotent: boolean;
    readonly isForwarded: boolean;
    readonly hasPeer: boolean;
}

async function runRefusedCall({ isIdempotent, isForwarded, hasPeer }: RefusedCall) {
    const steps: string[] = [];
    const clock = VirtualClock.create();
    const entries = Array.from({ length: 8 }, (_value, index) => ({
        name: `endpoint-${index}`,
        state: EndpointState.Live,
        description: { address: { host: "127.0.0.1", port: 9 } },
    }));
    const dependencies = {
        clock,
        metrics: Metrics.create(),
        tracing: { startChildSpan: () => span, createHeaders: () => ({}), recordFailure: () => {} },
        configuration: { findTeam: () => undefined },
        registry: { getLoadShare: () => 0, recordFailure: () => {}, listGroup: () => entries },
        admission: { acquireSlot: async () => Ok(entries.shift()), releaseSlot: () => {} },
        client: {
            sendCall: async () => {
                steps.push("attempt");
                return Err(Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_the_connection_0, "refused"));
            },
        },
        ledger: { isQuarantined: () => false },
        budget: { recordRequest: () => {}, takeRetry: () => true },
        claims: {
            claimKey: async () => ({ outcome: ClaimOutcome.Claimed, claim: {} }),
            releaseClaim: async () => void steps.push("release"),
        },
        forwarder: {
            forwardCall: async () => {
                steps.push("forward");
                return hasPeer ? Ok({ answer, isReplayed: false }) : undefined;
            },
        },
        versions: { selectVersion: () => "v1" },
        observer: { recordObservation: () => {} },
    } as unknown as PlainCallRunnerDependencies;
    const request = {
        id: "call-1",
        team: "shops",
        service: "desk",
        idempotencyKey: "key-1",
        deadline: clock.getWallTime() + 60_000,
    } as unknown as PlainRequest;
    const service = { name: "desk", idempotent: isIdempotent, versions: [], queueTimeLimit: 1_000 } as unknown as ServiceDeclaration;
    const runner = PlainCallRunner.create(dependencies);
    const history = RequestHistory.create();
    const result = await runner.runCall(request, service, history, span as never, new AbortController().signal, isForwarded);
    return { steps, result };
}

// Guards against refusing calls on a node that is cut off from all endpoints, while its peers reach them.
test("an idempotent call that cannot be connected to two endpoints is handed to a peer", async () => {
    const { steps, result } = await runRefusedCall({ isIdempotent: true, isForwarded: false, hasPeer: true });
    assert.deepEqual(steps, ["attempt", "attempt", "forward"]);
    assert.equal(result.ok && result.val.answer.body.toString(), "from the peer");
});

test("a call that may run once is handed to a peer after its claim has been released", async () => {
    const { steps, result } = await runRefusedCall({ isIdempotent: false, isForwarded: false, hasPeer: true });
    assert.deepEqual(steps.slice(-2), ["release", "forward"]);
    assert.equal(result.ok && result.val.answer.body.toString(), "from the peer");
});

test("a call that came from a peer, or that no peer takes, is refused as not run", async () => {
    for (const options of [{ isForwarded: true, hasPeer: true }, { isForwarded: false, hasPeer: false }]) {
        for (const isIdempotent of [true, false]) {
            const { steps, result } = await runRefusedCall({ isIdempotent, ...options });
            assert.equal(result.err && result.val.verdict, Verdict.NotRun);
            assert.equal(steps.filter(step => step === "attempt").length, 6);
            assert.equal(steps.includes("forward"), !options.isForwarded);
        }
    }
});
