import assert from "node:assert/strict";
import { test } from "node:test";
import { CutOffGateway } from "../testing/cutOffGateway.js";
import { waitUntil } from "../testing/routedGateway.js";
import { LinkMood } from "../testing/soak/faultProxy.js";

/** Size of an answer that takes several round trips to a peer, in bytes. */
const longAnswerBytes = 200_000;

// Guards against an answer being broken off because the peer that serves the call stops after it has read the answer, not sent it.
test("a node that stops sends the rest of its answers to peers before it ends", async context => {
    const world = await CutOffGateway.start();
    context.after(() => world.stop());
    world.platform.callWorkers.forEach(worker => {
        worker.workMilliseconds = 300;
        worker.answerPadding = longAnswerBytes;
    });
    world.link.setMood(LinkMood.Delayed);
    const sent = world.sendCall("/voucher/long");
    await waitUntil(() => world.platform.callWorkers.some(worker => worker.runs.some(run => run.target === "/voucher/long")));
    await world.peer.stop();
    const response = await sent;
    assert.deepEqual([response.status, response.isWhole, response.body.length > longAnswerBytes], [200, true, true]);
});
