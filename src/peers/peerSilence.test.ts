import assert from "node:assert/strict";
import { createServer, Socket } from "node:net";
import { connect } from "node:net";
import { AddressInfo } from "node:net";
import { test } from "node:test";
import { Metrics } from "../common/metrics.js";
import { ConnectPeerLink } from "./connectPeerLink.js";
import { PeerServer } from "./peerServer.js";
import { PeerHandler } from "./types.js";

/** Stated bound for connections that carry no stream of a lookup: noticed within 5 s. */
const noticeLimitMilliseconds = 5_000;

test("a connection to a peer that goes silent for good is noticed, and the next call goes over a new one", async () => {
    const handler = { describeRequest: () => "{}" } as unknown as PeerHandler;
    const server = PeerServer.create(handler, undefined);
    const target = await server.start({ host: "127.0.0.1", port: 0 });
    // Stands for whatever lies between two hosts and loses track of a connection: it forwards nothing more, and closes nothing.
    const pairs: { left: Socket; right: Socket; }[] = [];
    const between = createServer(left => {
        const right = connect(target.port, target.host);
        left.on("error", () => {});
        right.on("error", () => {});
        left.pipe(right);
        right.pipe(left);
        pairs.push({ left, right });
    });
    await new Promise<void>(resolve => between.listen(0, "127.0.0.1", resolve));
    const address = { host: "127.0.0.1", port: (between.address() as AddressInfo).port };
    const link = ConnectPeerLink.create(undefined, Metrics.create());
    assert.equal((await link.describeRequest(address, "x")).ok, true);
    for (const { left, right } of pairs) {
        left.unpipe(right);
        right.unpipe(left);
        left.resume();
        right.resume();
    }
    const startedAt = performance.now();
    const lost = await link.describeRequest(address, "x");
    const took = performance.now() - startedAt;
    const next = await link.describeRequest(address, "x");
    assert.equal(lost.ok, false);
    assert.ok(took < noticeLimitMilliseconds, `${took} ms`);
    assert.equal(next.ok, true, "a new connection works");
    assert.equal(pairs.length, 2);
    link.stop();
    pairs.forEach(({ left, right }) => {
        left.destroy();
        right.destroy();
    });
    between.close();
    await server.stop();
});
