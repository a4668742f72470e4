import assert from "node:assert/strict";
import { createConnection } from "node:net";
import { after, before, test } from "node:test";
import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { EndlessServer } from "../standins/routed/endlessServer.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

const statusBadGateway = 502;
const attemptIdPattern = new RegExp(`${HeaderNames.attemptId}: (\\S+)`, "i");
/** Pause before the server sends its bytes again, in milliseconds; longer than a call, so that it sends them once. */
const repetitionMilliseconds = 60_000;

const platform = RoutedPlatform.create();
let gateway: RoutedGateway;

before(async () => {
    await platform.start(0);
    gateway = await startGateway();
});

after(async () => {
    await gateway.stop();
    await platform.stop();
});

async function startGateway(): Promise<RoutedGateway> {
    // The gateway is not ready without an endpoint.
    addEndpoint("unused", "127.0.0.1:9", "unused");
    return RoutedGateway.start(platform);
}

function addEndpoint(id: string, address: string, service: string): void {
    platform.store.putObject("servers", id, { service, addr: address, zone: "xela", version: "v1", slots: 6, state: "ready", born: 1 });
}

const cases = [
    { title: "a space in a header's name", status: "200 OK", line: "Cache Status: miss" },
    { title: "a space before a header's colon", status: "200 OK", line: "X-Cache : hit" },
    { title: "an empty header name", status: "200 OK", line: ": miss" },
    { title: "a status below 100", status: "099 Odd", line: "x-more: value" },
    { title: "an upgrade that nobody asked for", status: "101 Switching Protocols", line: "x-more: value" },
];

for (const { title, status, line } of cases) {
    // Guards against a malformed head that ends the process, or whose caller gets no answer.
    test(`callers of an endpoint whose responses have ${title} get a failure at once, on routes of calls and of streams`, async context => {
        for (const path of ["/voucher/1", "/lookup/1", "/notice/1", "/question/1"]) {
            const isCall = path.startsWith("/voucher") || path.startsWith("/lookup");
            const body = isCall ? "answer" : "id: 1\ndata: piece 1\n\n";
            const server = EndlessServer.create(
                request => {
                    const id = attemptIdPattern.exec(request)?.[1] ?? "";
                    return `HTTP/1.1 ${status}\r\n${HeaderNames.attemptId}: ${id}\r\n${HeaderNames.seal}: seal\r\n${line}\r\n`
                        + `content-type: ${isCall ? "text/plain" : "text/event-stream"}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
                },
                "",
                repetitionMilliseconds,
            );
            addEndpoint("malformed", await server.start(), isCall ? routedNames.calls : routedNames.engines);
            context.after(() => server.stop());
            const directory = gateway.node.container.get(Keys.Directory);
            await waitUntil(() => directory.findEndpoint("malformed") !== undefined);
            const response = await gateway.sendCall(path, {
                method: "POST",
                body: gateway.createAttemptId(),
                headers: { [HeaderNames.deadline]: "1000" },
                signal: AbortSignal.timeout(3_000),
            });
            assert.equal(response.status, statusBadGateway, `${path}: ${response.body}`);
            platform.store.removeObject("servers", "malformed");
            await waitUntil(() => directory.findEndpoint("malformed") === undefined);
        }
    });
}

// Guards against a caller's own malformed head, which the runtime's parser accepts and its client refuses to send on.
for (
    const [title, path, line] of [
        ["a tab in the path", "/lookup/a\tb", "x-more: value"],
        ["a form feed in the path", "/lookup/a\fb", "x-more: value"],
        ["a space in a header's name", "/lookup/1", "Cache Status: miss"],
    ] as const
) {
    test(`a request with ${title} is rejected at once`, async () => {
        const socket = createConnection({ host: "127.0.0.1", port: gateway.getPort() });
        const text = await new Promise<string>(resolve => {
            let received = "";
            socket.setTimeout(2_000, () => resolve(received));
            socket.on("error", () => resolve(received));
            socket.on("close", () => resolve(received));
            socket.on("data", (chunk: Buffer) => {
                received += chunk.toString();
                resolve(received);
            });
            socket.write([
                `GET ${path} HTTP/1.1`,
                `host: ${routedNames.host}`,
                `authorization: Bearer ${routedNames.key}`,
                `${HeaderNames.attemptId}: ${gateway.createAttemptId()}`,
                line,
                "",
                "",
            ].join("\r\n"));
        });
        socket.destroy();
        assert.match(text, /^HTTP\/1\.1 400/);
    });
}
