import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CutOffGateway } from "../testing/cutOffGateway.js";
import { waitUntil } from "../testing/routedGateway.js";
import { LinkMood } from "../testing/soak/faultProxy.js";

/** Size of an answer that takes several round trips to a peer, in bytes. */
const longAnswerBytes = 200_000;

// Guards against callers that get neither an answer nor a refusal because the session to a peer ends in the middle of an answer.
test("a call whose answer from a peer breaks off is answered: with that of another run, or as failed", async context => {
    const world = await CutOffGateway.start();
    context.after(() => world.stop());
    const workers = world.platform.callWorkers;
    workers.forEach(worker => (worker.answerPadding = longAnswerBytes));
    world.link.setMood(LinkMood.Delayed);
    const targets = ["/lookup/long", "/voucher/long"];
    const sent = Promise.all(targets.map(target => world.sendCall(target)));
    await waitUntil(() => targets.every(target => workers.some(worker => worker.runs.some(run => run.target === target))));
    // The first bytes of the answers have arrived, and the others have not.
    await sleep(400);
    world.link.setMood(LinkMood.Resetting);
    world.link.setMood(LinkMood.Well);
    const responses = await sent;
    assert.deepEqual(responses.map(({ status, isWhole }) => [status, isWhole]), [[200, true], [502, true]]);
});
