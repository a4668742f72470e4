import assert from "node:assert/strict";
import { createConnection, Socket } from "node:net";
import { after, before, test, TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderNames } from "../../platform/wire.js";
import { routedNames, RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** The gateways under test close all connections about 2.8 s after they begin to stop; idle ones after 0.1 s. */
const momentsMilliseconds = [300, 1_000, 1_800, 2_500];
/** How long endpoints work, in milliseconds: less and more than what is left at some of the moments. */
const lengthsMilliseconds = [20, 700, 1_600];
const eventCount = 4;
const paths = ["/lookup/1", "/voucher/1", "/notice/1", "/question/1"];

/** What a connection carries when the node begins to stop. */
enum Channel {
    /** Nothing has been sent on it yet. */
    Fresh = "a fresh connection",
    /** The first half of the request's head. */
    HalfRead = "a connection with half a head",
    /** The response to an earlier request, which ends when the request is sent. */
    Busy = "a connection that was busy",
}

/** What a caller saw of one request. */
interface Seen {
    readonly id: string;
    readonly title: string;
    readonly text: string;
}

const platform = RoutedPlatform.create();

before(() => platform.start());
after(() => platform.stop());

async function startGateway(context: TestContext): Promise<RoutedGateway> {
    return RoutedGateway.start(platform, { name: `stopping-${context.name.length}` });
}

function setWork(milliseconds: number): void {
    platform.callWorkers.forEach(worker => (worker.workMilliseconds = milliseconds));
    platform.engines.forEach(engine => {
        engine.eventCount = eventCount;
        engine.eventMilliseconds = milliseconds / eventCount;
    });
}

function createRequest(path: string, id: string, deadline = 5_000): string {
    return [
        `POST ${path} HTTP/1.1`,
        `host: ${routedNames.host}`,
        `authorization: Bearer ${routedNames.key}`,
        `${HeaderNames.attemptId}: ${id}`,
        `${HeaderNames.deadline}: ${deadline}`,
        "content-length: 2",
        "",
        "{}",
    ].join("\r\n");
}

let sequence = 0;

/** Returns an id that is unique among all tests here: the endpoints keep their records. */
function createId(): string {
    sequence += 1;
    return `stop-${sequence}`;
}

function hasRun(id: string): boolean {
    return platform.listWorkers().some(worker => worker.runs.some(run => run.attemptId === id));
}

function isWhole(text: string, path: string, id: string): boolean {
    const isStream = path.startsWith("/notice") || path.startsWith("/question");
    return text.startsWith("HTTP/1.1 200") && (isStream ? text.endsWith("0\r\n\r\n") : text.endsWith(`answer to ${id}`));
}

/** Opens a connection and collects what comes back on it. */
async function openChannel(port: number): Promise<{ socket: Socket; read: () => string; closed: Promise<void>; }> {
    const socket = createConnection({ host: "127.0.0.1", port });
    let text = "";
    socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
    socket.on("error", () => {});
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    await new Promise<void>(resolve => socket.once("connect", () => resolve()));
    return { socket, read: () => text, closed };
}

/** Sends one request at a moment after the node has begun to stop, on a connection that it has had before. */
async function sendLate(gateway: RoutedGateway, channel: Channel, path: string, moment: number): Promise<Seen> {
    const id = createId();
    const { socket, read, closed } = await openChannel(gateway.getPort());
    const title = `${path} on ${channel} after ${moment} ms`;
    const request = createRequest(path, id);
    if (channel === Channel.Busy) {
        socket.write(createRequest("/question/earlier", `${id}-earlier`));
        const isEnded = () => read().endsWith("0\r\n\r\n");
        await Promise.race([closed, waitUntil(isEnded)]);
        const seen = read().length;
        socket.write(request);
        await closed;
        return { id, title, text: read().slice(seen) };
    }
    const sentEarly = channel === Channel.HalfRead ? 40 : 0;
    socket.write(request.slice(0, sentEarly));
    await sleep(moment);
    socket.write(request.slice(sentEarly));
    await closed;
    return { id, title, text: read() };
}

for (const length of lengthsMilliseconds) {
    // Guards against requests that a stopping node passes on late and cuts off at the end of its grace.
    test(`a stopping node answers or refuses each late request whose endpoint works for ${length} ms`, async context => {
        const gateway = await startGateway(context);
        setWork(50);
        await Promise.all(paths.map(path => gateway.sendCall(path, { method: "POST", body: "{}" })));
        setWork(length);
        // Time limits beyond the grace: what decides is how long such calls took.
        const sent = momentsMilliseconds.flatMap(moment =>
            paths.flatMap(path => [Channel.Fresh, Channel.HalfRead].map(channel => sendLate(gateway, channel, path, moment)))
        );
        const busy = paths.map(path => sendLate(gateway, Channel.Busy, path, length));
        await sleep(50);
        const stopped = gateway.stop();
        const all = await Promise.all([...sent, ...busy]);
        await stopped;
        for (const { id, title, text } of all) {
            const path = title.split(" ")[0] as string;
            const isRefused = text.startsWith("HTTP/1.1 503") && !hasRun(id);
            const isUnread = text === "" && !hasRun(id);
            // A call that may be repeated may also be answered with a failure: its endpoint was slower than it had been.
            const isPastTimeLimit = text.startsWith("HTTP/1.1 504") && text.includes("did not respond before the deadline");
            const isFailed = path.startsWith("/lookup") && text.startsWith("HTTP/1.1 502") && text.includes("MayHaveRun");
            assert.equal(
                isWhole(text, path, id) || isRefused || isUnread || isPastTimeLimit || isFailed,
                true,
                `${title}: ${JSON.stringify(text.slice(0, 200))}, ran: ${hasRun(id)}`,
            );
        }
        // The short ones are served as long as their time limit allows: a stop is no reason to refuse what can be done.
        const served = all.filter(({ id, title, text }) => isWhole(text, title.split(" ")[0] as string, id)).length;
        assert.equal(served > 0 || length > 700, true, `${served} served`);
    });
}

// Guards against requests whose connection is closed without any answer when the grace of a stop ends.
test("a call that still runs when the grace of a stop ends gets a failure that does not promise that it has not run", async context => {
    const gateway = await startGateway(context);
    setWork(20_000);
    const sent = ["/lookup/1", "/voucher/1", "/question/1"].map(async path => {
        const id = createId();
        const { socket, read, closed } = await openChannel(gateway.getPort());
        socket.write(createRequest(path, id));
        await waitUntil(() => hasRun(id));
        return { read, closed };
    });
    const channels = await Promise.all(sent);
    const stopped = gateway.stop();
    await Promise.all(channels.map(({ closed }) => closed));
    await stopped;
    for (const { read } of channels) {
        assert.match(read(), /^HTTP\/1\.1 50[24]/);
        assert.match(read(), /"verdict":"MayHaveRun"/);
    }
});

// Guards against telling a caller that its request may have run when it was never read whole: it could not send a voucher again.
test("a request that has not been read whole when the grace of a stop ends is closed without an answer", async context => {
    const gateway = await startGateway(context);
    const id = createId();
    const { socket, read, closed } = await openChannel(gateway.getPort());
    socket.write(createRequest("/voucher/1", id).slice(0, -1));
    await sleep(50);
    const stopped = gateway.stop();
    await closed;
    await stopped;
    assert.equal(read(), "");
    assert.equal(hasRun(id), false);
});

/** Sends two requests on one connection, the second without waiting for the first one's response. */
async function sendTwo(gateway: RoutedGateway, path: string) {
    const ids = [createId(), createId()] as const;
    const { socket, read, closed } = await openChannel(gateway.getPort());
    socket.write(createRequest(path, ids[0]));
    return { ids, read, closed, sendSecond: () => socket.write(createRequest("/voucher/2", ids[1])), end: () => socket.destroy() };
}

// Guards against a request that is passed on behind another one on its connection, which that one's response then ends.
test("requests that wait behind others on their connection are answered in turn, also by a node that begins to stop", async context => {
    const gateway = await startGateway(context);
    setWork(300);
    const calm = await sendTwo(gateway, "/voucher/1");
    calm.sendSecond();
    await waitUntil(() => calm.ids.every(id => calm.read().includes(`answer to ${id}`)));
    calm.end();
    const late = await sendTwo(gateway, "/voucher/1");
    late.sendSecond();
    await waitUntil(() => hasRun(late.ids[0]));
    const stopped = gateway.stop();
    await late.closed;
    await stopped;
    assert.equal(late.ids.every(id => late.read().includes(`answer to ${id}`)), true, late.read());
});

test("a request that comes behind a response which ends the connection is not passed on", async context => {
    const gateway = await startGateway(context);
    setWork(800);
    const late = await sendTwo(gateway, "/notice/1");
    await waitUntil(() => hasRun(late.ids[0]));
    const stopped = gateway.stop();
    await waitUntil(() => late.read().includes("connection: close"));
    late.sendSecond();
    await late.closed;
    await stopped;
    assert.equal(late.read().endsWith("0\r\n\r\n"), true, late.read());
    assert.equal(hasRun(late.ids[1]), false);
});
