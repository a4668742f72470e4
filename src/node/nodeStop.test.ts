import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Metrics } from "../common/metrics.js";
import { ConnectPeerLink } from "../peers/connectPeerLink.js";
import { Deployment } from "../testing/deployment.js";
import { CorianderNode } from "./corianderNode.js";

const timeLimitMilliseconds = 5_000;

// Guards against calls being broken off by the planned stop of the peer that serves them.
test("a node that stops ends the calls that its peers forwarded to it first", async context => {
    const deployment = await Deployment.create();
    const link = ConnectPeerLink.create(undefined, Metrics.create());
    context.after(async () => {
        link.stop();
        await deployment.stop();
    });
    deployment.plainServices.forEach(service => (service.workTimeMilliseconds = 600));
    const node = deployment.nodes[0] as CorianderNode;
    const sent = link.forwardCall(node.getAddresses().peers, {
        requestId: "forwarded",
        team: "desk",
        service: "records",
        method: "POST",
        path: "/records/1",
        deadlineMilliseconds: BigInt(Date.now() + timeLimitMilliseconds),
    }, timeLimitMilliseconds);
    await sleep(200);
    await node.stop();
    const response = await sent;
    assert.equal(response.ok && response.val.status, 200);
});
