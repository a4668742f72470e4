import assert from "node:assert/strict";
import { createServer, Socket } from "node:net";
import { connect } from "node:net";
import { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Metrics } from "../common/metrics.js";
import { ConnectPeerLink } from "./connectPeerLink.js";
import { PeerServer } from "./peerServer.js";
import { PeerHandler } from "./types.js";

/** Required bound for connections without a lookup's stream: an unresponsive connection is detected within 5 s. */
const detectionLimitMilliseconds = 5_000;

// Guards against calls being broken off because another call to the same peer reached its time limit.
test("a call to a peer goes on after the time limit of another one", async () => {
    const forwardCall = async () => {
        await sleep(600);
        return { status: 200 };
    };
    const server = PeerServer.create({ forwardCall } as unknown as PeerHandler, undefined);
    const address = await server.start({ host: "127.0.0.1", port: 0 });
    const link = ConnectPeerLink.create(undefined, Metrics.create());
    const [late, timely] = await Promise.all([link.forwardCall(address, {}, 200), link.forwardCall(address, {}, 2_000)]);
    link.stop();
    await server.stop();
    assert.deepEqual([late.ok, timely.ok], [false, true]);
});

test("a connection to a peer that stops delivering without being closed is detected in time, and the next call opens a new one", async () => {
    const handler = { describeRequest: () => "{}" } as unknown as PeerHandler;
    const server = PeerServer.create(handler, undefined);
    const target = await server.start({ host: "127.0.0.1", port: 0 });
    // Stands in for a NAT or firewall that loses a connection's state: it stops forwarding and closes neither side.
    const pairs: { left: Socket; right: Socket; }[] = [];
    const proxy = createServer(left => {
        const right = connect(target.port, target.host);
        left.on("error", () => {});
        right.on("error", () => {});
        left.pipe(right);
        right.pipe(left);
        pairs.push({ left, right });
    });
    await new Promise<void>(resolve => proxy.listen(0, "127.0.0.1", resolve));
    const address = { host: "127.0.0.1", port: (proxy.address() as AddressInfo).port };
    const link = ConnectPeerLink.create(undefined, Metrics.create());
    assert.equal((await link.describeRequest(address, "x")).ok, true);
    for (const { left, right } of pairs) {
        left.unpipe(right);
        right.unpipe(left);
        left.resume();
        right.resume();
    }
    const startedAt = performance.now();
    const silentResult = await link.describeRequest(address, "x");
    const elapsed = performance.now() - startedAt;
    const nextResult = await link.describeRequest(address, "x");
    assert.equal(silentResult.ok, false);
    assert.ok(elapsed < detectionLimitMilliseconds, `${elapsed} ms`);
    assert.equal(nextResult.ok, true, "a new connection works");
    assert.equal(pairs.length, 2);
    link.stop();
    pairs.forEach(({ left, right }) => {
        left.destroy();
        right.destroy();
    });
    proxy.close();
    await server.stop();
});
