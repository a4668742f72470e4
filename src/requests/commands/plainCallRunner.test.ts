import assert from "node:assert/strict";
import { test } from "node:test";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Metrics } from "../../common/metrics.js";
import { Err, Ok } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ServiceDeclaration } from "../../config/types.js";
import { EndpointState, PlainCall } from "../../endpoints/types.js";
import { VirtualClock } from "../../testing/virtualClock.js";
import { RequestHistory } from "../requestRecord.js";
import { AttemptOutcome, PlainRequest } from "../types.js";
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

/** A call whose first attempt is silent and then answers, and what the runner does about it. */
async function runSilentCall(isIdempotent: boolean, hasRetry: boolean) {
    const steps: string[] = [];
    const clock = VirtualClock.create();
    const entries = ["first", "second"].map(name => ({ name, state: EndpointState.Live, description: { address: name } }));
    let finishFirst = () => {};
    const dependencies = {
        clock,
        metrics: Metrics.create(),
        tracing: { startChildSpan: () => span, createHeaders: () => ({}), recordFailure: () => {} },
        configuration: { findTeam: () => undefined },
        registry: { getLoadShare: () => 0, recordSuccess: () => {}, listGroup: () => entries },
        admission: {
            acquireSlot: async () => Ok(entries.shift()),
            releaseSlot: (entry: { name: string; }) => steps.push(`release ${entry.name}`),
        },
        client: {
            sendCall: async (address: string, call: PlainCall, signal: AbortSignal, handleSilence: () => void) => {
                steps.push(`${address}${call.mayReuseConnection ? "" : " on a new connection"}`);
                if (address === "second") {
                    return Ok({ ...answer, body: Buffer.from(address) });
                }
                handleSilence();
                handleSilence();
                return new Promise(resolve => {
                    finishFirst = () => resolve(Ok({ ...answer, body: Buffer.from(address) }));
                    signal.addEventListener(
                        "abort",
                        () =>
                            resolve(
                                Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "")),
                            ),
                    );
                });
            },
        },
        probe: { checkEndpoint: () => steps.push("probe") },
        ledger: { isQuarantined: () => false },
        budget: { recordRequest: () => {}, takeRetry: () => hasRetry, releaseRetry: () => {} },
        claims: { claimKey: async () => ({ outcome: ClaimOutcome.Claimed, claim: {} }), storeResponse: async () => {} },
        versions: { selectVersion: () => "v1" },
        observer: { recordObservation: () => {} },
    } as unknown as PlainCallRunnerDependencies;
    const request = { id: "call-1", idempotencyKey: "key-1", path: "x", deadline: clock.getWallTime() + 60_000 } as unknown as PlainRequest;
    const service = { idempotent: isIdempotent, versions: [], queueTimeLimit: 1_000 } as unknown as ServiceDeclaration;
    const history = RequestHistory.create();
    const running = PlainCallRunner.create(dependencies).runCall(request, service, history, span as never, new AbortController().signal);
    setImmediate(() => finishFirst());
    const result = await running;
    await new Promise(resolve => setImmediate(resolve));
    return { steps, text: result.ok && result.val.answer.body.toString(), outcomes: history.attempts.map(attempt => attempt.outcome) };
}

test("an idempotent call that is silent is sent once more, on a new connection, and ended when the other attempt answers", async () => {
    const { steps, text, outcomes } = await runSilentCall(true, true);
    assert.equal(text, "second");
    assert.deepEqual(steps, ["first", "second on a new connection", "release second", "release first"]);
    assert.deepEqual(outcomes, [AttemptOutcome.Cancelled, AttemptOutcome.Finished]);
});

// Guards against calls to sound endpoints that are given up for a retry that finds no place.
test("a call that is silent goes on where the retry budget is spent or it may run only once", async () => {
    for (const [isIdempotent, hasRetry] of [[true, false], [false, true]] as const) {
        const { steps, text, outcomes } = await runSilentCall(isIdempotent, hasRetry);
        assert.equal(text, "first");
        assert.deepEqual(steps, [isIdempotent ? "first" : "first on a new connection", "release first"]);
        assert.deepEqual(outcomes, [AttemptOutcome.Finished]);
    }
});

// Guards against spending the retry budget, which other calls need, on attempts that are never sent because the deadline has passed.
test("a call that fails at its deadline takes no retry and is answered with its deadline", async () => {
    const clock = VirtualClock.create();
    const timeLimit = 1_000;
    let retries = 0;
    const entry = { name: "only", state: EndpointState.Live, description: { address: "only" } };
    const dependencies = {
        clock,
        metrics: Metrics.create(),
        tracing: { startChildSpan: () => span, createHeaders: () => ({}), recordFailure: () => {} },
        configuration: { findTeam: () => undefined },
        registry: { getLoadShare: () => 0, listGroup: () => [entry] },
        admission: { acquireSlot: async () => Ok(entry), releaseSlot: () => {} },
        client: {
            sendCall: async () => {
                await clock.sleep(timeLimit);
                return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "closed"));
            },
        },
        probe: { checkEndpoint: async () => {} },
        ledger: { isQuarantined: () => false },
        budget: { recordRequest: () => {}, takeRetry: () => (retries += 1) > 0 },
        versions: { selectVersion: () => "v1" },
    } as unknown as PlainCallRunnerDependencies;
    const request = { id: "call-1", deadline: clock.getWallTime() + timeLimit } as unknown as PlainRequest;
    const service = { idempotent: true, versions: [], queueTimeLimit: timeLimit } as unknown as ServiceDeclaration;
    const history = RequestHistory.create();
    const running = PlainCallRunner.create(dependencies).runCall(
        request,
        service,
        history,
        span as never,
        new AbortController().signal,
        true,
    );
    await clock.runUntil(2 * timeLimit);
    const result = await running;
    assert.equal(result.err && result.val.message.code, Diagnostics.Deadline_passed.code);
    assert.equal(result.err && result.val.verdict, Verdict.MayHaveRun);
    assert.equal(retries, 0);
    assert.equal(history.attempts.length, 1);
});
