import assert from "node:assert/strict";
import { test } from "node:test";
import { Verdict } from "../common/verdict.js";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ScriptedServer } from "../standins/scriptedServer.js";
import { attemptSenders, formatAttemptResponse } from "../testing/attemptSenders.js";

for (const { title, createSender } of attemptSenders) {
    // Guards against a head that breaks off and is taken for a success with an empty or short body.
    test(`a response to a ${title} whose head breaks off is not a success, wherever it breaks off, on kept and on new connections`, async () => {
        const whole = formatAttemptResponse("attempt-2");
        for (let cut = 1; cut <= whole.indexOf("\r\n\r\n") + 3; cut += 3) {
            for (const isKept of [false, true]) {
                const server = ScriptedServer.create((_request, count, socket) => {
                    if (isKept && count === 1) {
                        socket.write(formatAttemptResponse("attempt-1"));
                        return;
                    }
                    socket.end(whole.slice(0, cut));
                });
                const address = parseAddress(await server.start()) as NetworkAddress;
                const send = createSender();
                if (isKept) {
                    assert.equal((await send(address, "attempt-1")).ok, true);
                }
                const result = await send(address, "attempt-2");
                assert.equal(result.err && result.val.verdict, Verdict.MayHaveRun, `cut at ${cut}`);
                assert.equal(server.requests, isKept ? 2 : 1);
                await server.stop();
            }
        }
    });
}

// Guards against the text of an error that becomes a part of a stream which another endpoint has begun.
test("an engine that answers a generation with an error in place of events adds no token to it", async () => {
    for (const status of ["500 Internal Server Error", "400 Bad Request", "200 OK"]) {
        for (const type of ["application/json", "text/html", "text/event-stream"]) {
            const body = "error: no prompt\n\n";
            const server = ScriptedServer.create((_request, _count, socket) =>
                void socket.write(`HTTP/1.1 ${status}\r\ncontent-type: ${type}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
            );
            const address = parseAddress(await server.start()) as NetworkAddress;
            const tokens: string[] = [];
            const send = attemptSenders.find(sender => sender.title === "generation")?.createSender();
            const result = await send?.(address, "attempt-1", token => tokens.push(token));
            assert.equal(result?.err && result.val.verdict, Verdict.MayHaveRun);
            assert.deepEqual(tokens, []);
            await server.stop();
        }
    }
});
