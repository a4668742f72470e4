import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Diagnostics } from "../common/diagnostics.js";
import { SilentEventLog } from "../common/eventLog.js";
import { Failure } from "../common/failure.js";
import { Err, Ok } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { GatewayDigestSchema, GatewayExchangeResponseSchema } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { exchangeTimeoutMilliseconds, GossipClient } from "./gossipClient.js";
import { DigestHandler, GossipExchange } from "./gossipExchange.js";
import { PeerTable } from "./peerTable.js";
import { RelaySelector } from "./relaySelector.js";

const intervalMilliseconds = 500;
const member = { name: "peer", failureDomain: "x", address: "127.0.0.1:2", incarnation: 1n };

const idleClient: GossipClient = {
    exchangeDigests: () => new Promise(() => {}),
    sendState: () => Promise.resolve(Ok(undefined)),
    stop: () => {},
};

function createHandler(recordConfirmation: DigestHandler["recordConfirmation"] = () => {}): DigestHandler {
    return {
        createDigest: () => create(GatewayDigestSchema, {}),
        applyDigest: () => {},
        createStateFor: () => undefined,
        applyState: () => {},
        recordConfirmation,
        getLoopDelay: () => 0,
        getLeaseHolder: () => "",
    };
}

/** What happened in a series of exchanges with one peer. */
interface ExchangeSeries {
    readonly startedAt: readonly number[];
    /** Number of times that the peer was reported to have gone silent. */
    readonly silences: number;
}

/**
 * Runs exchanges with one peer. `isAnswered` tells whether the exchange that starts now gets an answer; one that gets none takes
 * `failureTime`, in milliseconds.
 */
async function runExchanges(
    until: number,
    isAnswered: (startedAt: number) => boolean,
    failureTime = exchangeTimeoutMilliseconds,
): Promise<ExchangeSeries> {
    const clock = VirtualClock.create();
    const table = PeerTable.create({ name: "node", failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
    table.addPeer({ ...member, incarnation: 1 });
    const startedAt: number[] = [];
    const client: GossipClient = {
        exchangeDigests: async () => {
            const now = clock.getMonotonicTime();
            startedAt.push(now);
            if (isAnswered(now)) {
                return Ok(create(GatewayExchangeResponseSchema, { digest: { member } }));
            }
            await clock.sleep(failureTime);
            return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Node_at_0_did_not_answer_1, member.address, "timeout"));
        },
        sendState: () => Promise.resolve(Ok(undefined)),
        stop: () => {},
    };
    const handler = createHandler();
    const log = SilentEventLog.create();
    const gossip = GossipExchange.create(table, client, handler, RelaySelector.create(table), clock, intervalMilliseconds, log);
    let silences = 0;
    gossip.setSilenceHandler(() => (silences += 1));
    const running = gossip.runRounds();
    await clock.runUntil(until);
    gossip.stop();
    await running;
    return { startedAt, silences };
}

// Guards against news that waits for a second pause after a session has gone silent, while its peer lives.
test("an exchange whose session has gone silent is followed at once by one over a new session", async () => {
    const silentFrom = 2_000;
    const { startedAt } = await runExchanges(5_000, now => now < silentFrom || now >= silentFrom + exchangeTimeoutMilliseconds);
    const firstAnswered = startedAt.find(time => time >= silentFrom + exchangeTimeoutMilliseconds) ?? Infinity;
    const latest = silentFrom + intervalMilliseconds + exchangeTimeoutMilliseconds;
    assert.equal(firstAnswered <= latest, true, `answered at ${firstAnswered}, allowed until ${latest}`);
});

test("a peer that does not answer is tried again after growing pauses", async () => {
    const { startedAt } = await runExchanges(30_000, now => now < 2_000);
    const failed = startedAt.filter(time => time >= 2_000);
    const pauses = failed.slice(1).map((time, index) => time - (failed[index] as number) - exchangeTimeoutMilliseconds);
    assert.deepEqual(pauses.slice(0, 4), [0, 1_000, 2_000, 4_000]);
    assert.equal(Math.max(...pauses), 4_000);
});

// Guards against a store whose connections have gone silent together with those to peers, and are used on.
test("a peer that lets exchanges time out after it had answered is reported once, one that refuses them is not", async () => {
    const isAnswered = (now: number) => now < 2_000;
    assert.equal((await runExchanges(10_000, isAnswered)).silences, 1);
    assert.equal((await runExchanges(10_000, isAnswered, 5)).silences, 0);
});

// Guards against a start at which every dead node that is still registered makes all nodes renew their connections to the store.
test("a peer that has never answered is not reported to have gone silent", async () => {
    assert.equal((await runExchanges(10_000, () => false)).silences, 0);
});

// Guards against old knowledge that looks young because the digest that brought it waited until a busy node read it.
test("what a caller knows of the store is dated back by the time that its last exchange with this node took", async () => {
    const clock = VirtualClock.create();
    await clock.runUntil(5_000);
    const table = PeerTable.create({ name: "node", failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
    const sentAt: number[] = [];
    const handler = createHandler((_digest, time) => void sentAt.push(time));
    const plan = RelaySelector.create(table);
    const gossip = GossipExchange.create(table, idleClient, handler, plan, clock, intervalMilliseconds, SilentEventLog.create());
    gossip.handleExchange(create(GatewayDigestSchema, { member, exchangeMilliseconds: 700 }));
    gossip.handleExchange(create(GatewayDigestSchema, { member }));
    assert.deepEqual(sentAt, [4_300, 5_000]);
});
