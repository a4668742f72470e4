import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sendCall, sendCompletion } from "../callers.js";
import { Deployment } from "../deployment.js";

const domain = "xela";
/** Time for which no endpoint accepts a connection; their open connections live on. */
const stallMilliseconds = 600;
/** Time after the stall in which waiting requests must be served: an endpoint is avoided for 500 ms after its first failure. */
const serveMilliseconds = 2_500;
const requests = 20;

let deployment: Deployment;

before(async () => {
    deployment = await Deployment.create({ domains: [domain], nodesPerDomain: 1, enginesPerDomain: 2, plainPerDomain: 2 });
});

after(() => deployment.stop());

/** Sends requests while no endpoint accepts a connection; returns their statuses and the time until all have been answered. */
async function sendDuringStall(sendRequest: (index: number) => Promise<{ readonly status: number; }>) {
    const sentAt = performance.now();
    deployment.cuts.addCut(domain, domain);
    const answers = Array.from({ length: requests }, (_value, index) => sendRequest(index));
    await new Promise(resolve => setTimeout(resolve, stallMilliseconds));
    deployment.cuts.removeCuts();
    const statuses = (await Promise.all(answers)).map(answer => answer.status);
    return { statuses, took: performance.now() - sentAt };
}

// Guards against sound endpoints that get no work for many seconds because failures of concurrent attempts count as consecutive ones.
test("generations are served soon after all endpoints have accepted no connection for a moment", async () => {
    const { statuses, took } = await sendDuringStall(index => sendCompletion([deployment.getCallerUrl()], "lookup", `Stall ${index}`, 3));
    assert.deepEqual(new Set(statuses), new Set([200]));
    assert.ok(took < stallMilliseconds + serveMilliseconds, `${took} ms`);
});

// Guards against refused calls to sound endpoints because connections that were never established have spent the retry budget.
test("calls are served soon after all endpoints have accepted no connection for a moment", async () => {
    for (const service of ["records", "voucher"]) {
        const { statuses, took } = await sendDuringStall(index =>
            sendCall(deployment.getCallerUrl(), service, "x", `${service}-${index}`, {})
        );
        assert.deepEqual(new Set(statuses), new Set([200]), service);
        assert.ok(took < stallMilliseconds + serveMilliseconds, `${took} ms`);
    }
});
