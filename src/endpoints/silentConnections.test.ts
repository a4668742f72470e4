import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test, TestContext } from "node:test";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ScriptedServer } from "../standins/scriptedServer.js";
import { attemptSenders, formatAttemptResponse, SendAttempt } from "../testing/attemptSenders.js";
import { HttpModelEndpointClient } from "./httpModelEndpoint.js";

/** Connections that are idle when they go silent. */
const idleConnections = 3;
/** Time after which an attempt without data fails, in milliseconds. */
const limitMilliseconds = 600;
/** Time after which the server answers, in milliseconds, so that attempts sent together use a connection each. */
const workMilliseconds = 20;

/** Leaves connections idle that then go silent for good, while new ones work, and sends attempts one after the other; returns what became of them. */
async function sendAfterSilence(context: TestContext, send: SendAttempt, format: (attemptId: string) => string): Promise<boolean[]> {
    const opened = new Set<Socket>();
    const silent = new Set<Socket>();
    const server = ScriptedServer.create((request, _count, socket) => {
        opened.add(socket);
        const attemptId = /^x-attempt-id: (\S+)/im.exec(request)?.[1] ?? "";
        if (!silent.has(socket)) {
            setTimeout(() => socket.write(format(attemptId)), workMilliseconds);
        }
    });
    const address = parseAddress(await server.start()) as NetworkAddress;
    context.after(() => server.stop());
    const attempts = Array.from({ length: idleConnections }, (_, index) => `attempt-${index}`);
    await Promise.all(attempts.map(attemptId => send(address, attemptId)));
    assert.equal(server.connections, idleConnections);
    opened.forEach(socket => silent.add(socket));
    const served: boolean[] = [];
    for (const attemptId of attempts) {
        served.push((await send(address, attemptId)).ok);
    }
    return served;
}

for (const { title, createSender } of attemptSenders) {
    // Guards against attempts that are sent on idle connections which have gone silent, one on each, after one got no data.
    test(`one ${title} is lost by idle connections that have gone silent, and the next ones are served`, async context => {
        const served = await sendAfterSilence(context, createSender(limitMilliseconds), formatAttemptResponse);
        assert.deepEqual(served, [false, true, true]);
    });
}

// Guards against an engine that counts as lost because several reports in a row were asked for on connections that had gone silent.
test("one report of the load is lost by idle connections that have gone silent, and the next ones arrive", async context => {
    const client = HttpModelEndpointClient.create();
    const report = JSON.stringify({ running: 0, waiting: 0 });
    const served = await sendAfterSilence(
        context,
        address => client.fetchLoad(address, limitMilliseconds),
        () => `HTTP/1.1 200 OK\r\ncontent-length: ${report.length}\r\n\r\n${report}`,
    );
    assert.deepEqual(served, [false, true, true]);
});
