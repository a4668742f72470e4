import assert from "node:assert/strict";
import { test, TestContext } from "node:test";
import { Verdict } from "../common/verdict.js";
import { parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ScriptedServer } from "../standins/scriptedServer.js";
import { attemptSenders, formatAttemptResponse } from "../testing/attemptSenders.js";

const refusalHeaders = ["x-request-not-run: 1", "x-endpoint-leaving: 1\r\nx-request-not-run: 1"];

/** Formats a refusal, for the attempt if one is given. */
function formatRefusal(headers: string, attemptId: string | undefined): string {
    const id = attemptId === undefined ? "" : `x-attempt-id: ${attemptId}\r\n`;
    return `HTTP/1.1 503 Service Unavailable\r\n${headers}\r\n${id}content-length: 0\r\n\r\n`;
}

async function startServer(
    context: TestContext,
    createResponse: (count: number, attemptId: string | undefined) => string,
): Promise<[ScriptedServer, NetworkAddress]> {
    const server = ScriptedServer.create((request, count, socket) => {
        socket.write(createResponse(count, /^x-attempt-id: (\S+)/im.exec(request)?.[1]));
    });
    const address = parseAddress(await server.start()) as NetworkAddress;
    context.after(() => server.stop());
    return [server, address];
}

for (const { title, createSender } of attemptSenders) {
    // Guards against an earlier refusal on a kept connection that is taken for one of the request that now runs there.
    test(`a refusal of an earlier attempt on a kept connection does not prove that a ${title} has not run`, async context => {
        for (const headers of refusalHeaders) {
            for (const repeatedId of ["attempt-1", undefined]) {
                const [server, address] = await startServer(
                    context,
                    count => count === 1 ? formatAttemptResponse("attempt-1") : formatRefusal(headers, repeatedId),
                );
                const send = createSender();
                assert.equal((await send(address, "attempt-1")).ok, true);
                const repeated = await send(address, "attempt-2");
                assert.equal(server.connections, 1);
                assert.equal(repeated.err && repeated.val.verdict, Verdict.MayHaveRun, `${headers}, ${repeatedId ?? "no id"}`);
            }
        }
    });

    // Guards against an answer that arrives on an idle connection and is read as the answer to the next request.
    test(`a refusal that arrives while its connection is idle is not an answer to the next ${title}`, async context => {
        const server = ScriptedServer.create((_request, count, socket) => {
            socket.write(formatAttemptResponse(`attempt-${server.connections}`));
            if (count === 1) {
                setTimeout(() => socket.write(formatRefusal("x-request-not-run: 1", "attempt-0")), 20);
            }
        });
        const address = parseAddress(await server.start()) as NetworkAddress;
        context.after(() => server.stop());
        const send = createSender();
        await send(address, "attempt-1");
        await new Promise(resolve => setTimeout(resolve, 60));
        assert.equal((await send(address, "attempt-2")).ok, true);
        assert.equal(server.connections, 2);
    });

    test(`a refusal of a ${title} on a new connection, or with the attempt's own id, proves that it has not run`, async context => {
        for (const headers of refusalHeaders) {
            const [, address] = await startServer(context, (_count, attemptId) => formatRefusal(headers, attemptId));
            const send = createSender();
            for (const id of ["attempt-1", "attempt-2"]) {
                const refused = await send(address, id);
                assert.equal(refused.err && refused.val.verdict, Verdict.NotRun);
            }
            const [, newAddress] = await startServer(context, () => formatRefusal(headers, undefined));
            const unnamed = await createSender()(newAddress, "attempt-1");
            assert.equal(unnamed.err && unnamed.val.verdict, Verdict.NotRun);
        }
    });

    // Guards against a request on a connection that its endpoint is about to close.
    test(`a connection is not reused for a ${title} after the idle timeout that its endpoint states`, async context => {
        const [server, address] = await startServer(
            context,
            (_count, attemptId) => formatAttemptResponse(attemptId ?? "").replace("\r\n\r\n", "\r\nkeep-alive: timeout=1\r\n\r\n"),
        );
        const send = createSender();
        assert.equal((await send(address, "attempt-1")).ok, true);
        await new Promise(resolve => setTimeout(resolve, 1_100));
        assert.equal((await send(address, "attempt-2")).ok, true);
        assert.equal(server.connections, 2);
    });
}
