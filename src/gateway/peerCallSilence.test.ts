import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CutOffGateway } from "../testing/cutOffGateway.js";
import { LinkMood } from "../testing/soak/faultProxy.js";

/** A silence after which a sound node goes on, in milliseconds. */
const shortSilenceMilliseconds = 1_300;

let world: CutOffGateway;

before(async () => {
    world = await CutOffGateway.start();
});

after(() => world.stop());

afterEach(() => {
    world.link.setMood(LinkMood.Well);
    setWorkTime(0);
});

function sendCalls(paths: readonly string[]): Promise<(readonly [number, boolean])[]> {
    return Promise.all(paths.map(async path => {
        const { status, isWhole } = await world.sendCall(path);
        return [status, isWhole] as const;
    }));
}

function setWorkTime(milliseconds: number, eventMilliseconds = 5): void {
    world.platform.listWorkers().forEach(worker => (worker.workMilliseconds = milliseconds));
    world.platform.engines.forEach(engine => {
        engine.eventMilliseconds = eventMilliseconds;
        engine.eventCount = 3;
    });
}

// Guards against calls that a peer serves being broken off because it, or the link to it, stood still for a second or so.
test("calls that were handed to a peer go on after the peer was silent for a short time", async () => {
    setWorkTime(0, 1_200);
    world.platform.callWorkers.forEach(worker => (worker.workMilliseconds = 3_000));
    const running = sendCalls(["/voucher/running", "/notice/running", "/lookup/running"]);
    // The stream has begun, and a ping is under way when the silence starts.
    await sleep(2_150);
    setWorkTime(0);
    world.link.setMood(LinkMood.Held);
    await sleep(300);
    const added = sendCalls(["/voucher/added", "/notice/added"]);
    await sleep(shortSilenceMilliseconds - 300);
    world.link.setMood(LinkMood.Well);
    const responses = [...await running, ...await added];
    assert.deepEqual(responses, responses.map(() => [200, true]));
});

// Guards against calls that wait for a session to a peer which has gone silent for good, while new sessions to the peer work.
test("a session to a peer that is silent for good gets no further calls, and those that may be repeated leave it", async () => {
    setWorkTime(300);
    const waiting = sendCalls(["/lookup/waiting", "/question/waiting"]);
    await sleep(100);
    world.link.setMood(LinkMood.OpenOnesSilent);
    const startedAt = performance.now();
    await sleep(1_000);
    const added = sendCalls(["/voucher/new", "/notice/new", "/lookup/new"]);
    const responses = [...await waiting, ...await added];
    assert.deepEqual(responses, responses.map(() => [200, true]));
    const elapsed = performance.now() - startedAt;
    assert.equal(elapsed < 3_000, true, `${elapsed} ms`);
});
