import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { v7 } from "uuid";
import { Keys } from "../../node/keys.js";
import { CallFault } from "../../standins/plainService.js";
import { sendCall } from "../callers.js";
import { Deployment } from "../deployment.js";

let deployment: Deployment;

before(async () => {
    deployment = await Deployment.create({ domains: ["xela", "peten"], nodesPerDomain: 1, enginesPerDomain: 0, plainPerDomain: 1 });
});

after(() => deployment.stop());

function countEffects(key: string): number {
    return deployment.plainServices.flatMap(service => service.effects).filter(effect => effect.key === key).length;
}

test("a lost answer to the claim's creation is settled by reading it back, and the call runs", async () => {
    deployment.platform.faults.lostAnswerShare = 1;
    const answer = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", "lost-create", { shop: 1 });
    deployment.platform.faults.lostAnswerShare = 0;
    assert.equal(answer.status, 200);
    assert.equal(answer.verdict, "Ran");
    assert.equal(countEffects("lost-create"), 1);
});

test("the same key at two nodes at once runs once, and the other is told that it may have run or gets the answer", async () => {
    for (let round = 0; round < 20; round += 1) {
        const key = `twice-${round}`;
        const answers = await Promise.all(
            [0, 1].map(index => sendCall(deployment.getCallerUrl(index), "voucher", "issue", key, { shop: 2 })),
        );
        assert.equal(countEffects(key), 1);
        assert.ok(answers.every(answer => answer.verdict !== "NotRun"), "neither is told that it was not run");
    }
});

test("a call whose answer is lost is not repeated, here or elsewhere", async () => {
    deployment.plainServices.forEach(service => service.faults.push(CallFault.ResetAfterEffect));
    const first = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", "lost-answer", { shop: 3 });
    const second = await sendCall(deployment.getCallerUrl(1), "voucher", "issue", "lost-answer", { shop: 3 });
    deployment.plainServices.forEach(service => service.faults.splice(0));
    assert.equal(first.verdict, "MayHaveRun");
    assert.equal(second.verdict, "MayHaveRun");
    assert.equal(second.status, 409);
    assert.equal(countEffects("lost-answer"), 1);
});

test("a call refused as not run can be sent again with its key", async () => {
    deployment.plainServices.forEach(service => service.faults.push(...Array.from({ length: 8 }, () => CallFault.RefuseNotRun)));
    const first = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", "refused", { shop: 4 });
    deployment.plainServices.forEach(service => service.faults.splice(0));
    const second = await sendCall(deployment.getCallerUrl(1), "voucher", "issue", "refused", { shop: 4 });
    assert.equal(first.verdict, "NotRun");
    assert.equal(second.verdict, "Ran");
    assert.equal(countEffects("refused"), 1);
});

test("a key that shows a time older than the retention is refused as not run", async () => {
    const old = v7({ msecs: Date.now() - 2 * 3_600_000 });
    const answer = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", old, { shop: 5 });
    assert.equal(answer.status, 422);
    assert.equal(answer.verdict, "NotRun");
    assert.equal(countEffects(old), 0);
});

test("a node cut off from the platform hands the call to a peer that reaches it; with no such peer it refuses as not run", async () => {
    const names = deployment.nodes.map(node => node.settings.name);
    deployment.platform.cutViewers.add(names[0] as string);
    const handed = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", "handed-on", { shop: 6 });
    deployment.platform.cutViewers.add(names[1] as string);
    const refused = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", "refused-off", { shop: 6 });
    deployment.platform.cutViewers.clear();
    assert.equal(handed.verdict, "Ran");
    assert.equal(countEffects("handed-on"), 1);
    assert.equal(refused.verdict, "NotRun");
    assert.equal(countEffects("refused-off"), 0);
});

test("a node that wakes after the deadline of a claimed call does not dispatch it", async () => {
    const node = deployment.nodes[0];
    assert.ok(node !== undefined);
    const claims = node.container.get(Keys.Claims);
    const claimKey = claims.claimKey.bind(claims);
    // The pause strikes between the claim and the dispatch, and outlasts the time limit of 5 s.
    const clock = node.container.get(Keys.Clock);
    const getWallTime = clock.getWallTime.bind(clock);
    claims.claimKey = async request => {
        const result = await claimKey(request);
        clock.getWallTime = () => getWallTime() + 6_000;
        return result;
    };
    const answer = await sendCall(deployment.getCallerUrl(0), "voucher", "issue", "paused", { shop: 7 });
    claims.claimKey = claimKey;
    clock.getWallTime = getWallTime;
    assert.equal(answer.verdict, "NotRun");
    assert.equal(countEffects("paused"), 0);
});
