import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { Metrics } from "../common/metrics.js";
import { Verdict } from "../common/verdict.js";
import { GatewayPeerService } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { SilentAddress } from "../testing/silentAddress.js";
import { ConnectPeerLink } from "./connectPeerLink.js";
import { PeerSessions } from "./peerSessions.js";

const connectTimeoutMilliseconds = 300;
/** Time after which a wait counts as one without a limit, in milliseconds: the system gives a connection up after two minutes. */
const patienceMilliseconds = 4_000;
const observer = { recordUnresponsivePeer: () => {}, recordSessionError: () => {} };
let silent: SilentAddress;

before(async () => {
    silent = await SilentAddress.create();
});

after(() => silent.stop());

/** Fails when a task takes longer than any caller would wait. */
async function waitBriefly<T>(task: Promise<T>): Promise<T> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<never>((_, reject) => {
        timer = setTimeout(() => reject(new Error("the call did not end")), patienceMilliseconds);
    });
    try {
        return await Promise.race([task, limit]);
    }
    finally {
        clearTimeout(timer);
    }
}

// Guards against calls that wait without limit for a connection to a host without power.
test("a session that is not opened in time fails the calls that wait for it, and a later call opens a new one", async () => {
    const sessions = PeerSessions.create(GatewayPeerService, undefined, observer, connectTimeoutMilliseconds);
    const { signal } = new AbortController();
    for (let round = 0; round < 2; round += 1) {
        const calls = [1, 2, 3].map(() => assert.rejects(sessions.openClient(silent.address, signal)));
        await waitBriefly(Promise.all(calls));
    }
    const sent = await waitBriefly(sessions.send(silent.address, client => client.exchange({})));
    assert.equal(sent.err && sent.val.verdict, Verdict.NotRun);
    sessions.closePeers();
});

test("a call that is given up does not wait for its session", async () => {
    const sessions = PeerSessions.create(GatewayPeerService, undefined, observer, 60_000);
    const controller = new AbortController();
    const opened = assert.rejects(sessions.openClient(silent.address, controller.signal));
    controller.abort();
    await waitBriefly(opened);
    sessions.closePeers();
});

test("on the product's own interface, calls to a host without power fail in time and as not run", async () => {
    const link = ConnectPeerLink.create(undefined, Metrics.create());
    const described = await waitBriefly(link.describeRequest(silent.address, "x"));
    assert.equal(described.err && described.val.verdict, Verdict.NotRun);
    const events = link.followRequest(silent.address, "x", 0, new AbortController().signal);
    await waitBriefly(assert.rejects(events[Symbol.asyncIterator]().next()));
    link.stop();
});
