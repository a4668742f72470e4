import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../testing/virtualClock.js";
import { PeerTable } from "./peerTable.js";
import { RelaySelector } from "./relaySelector.js";
import { GatewayDigest } from "./types.js";
import { WatchScheduler } from "./watchScheduler.js";

function createTable(name: string, names: readonly string[], clock: VirtualClock): PeerTable {
    const table = PeerTable.create({ name, failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 60_000);
    for (const other of names.filter(candidate => candidate !== name)) {
        const member = { name: other, failureDomain: "x", address: "127.0.0.1:2", incarnation: 1n };
        table.recordDigest({ member, knownMembers: [], isLeaving: false, isStoreReachable: true } as unknown as GatewayDigest);
    }
    return table;
}

function createScheduler(table: PeerTable, clock: VirtualClock, isFollowing = true): WatchScheduler {
    return WatchScheduler.create(table, RelaySelector.create(table), { isFollowing: () => isFollowing }, clock, 2_000);
}

test("some store watch ends within 1.3 seconds of any time, with 2, 9 and 74 nodes", async () => {
    for (const count of [2, 9, 74]) {
        const clock = VirtualClock.create();
        const names = Array.from({ length: count }, (_unused, index) => `node-${String(index).padStart(3, "0")}`);
        const pacings = names.map(name => createScheduler(createTable(name, names, clock), clock));
        for (let time = 0; time < 30_000; time += 137) {
            await clock.runUntil(time);
            const earliestEnd = Math.min(...pacings.map(pacing => pacing.computeWait(true)));
            assert.equal(earliestEnd <= 1_300, true, `${count} nodes at ${time}: ${earliestEnd}`);
        }
    }
});

test("a node without reachable peers uses watches of at most 1.3 seconds", () => {
    const clock = VirtualClock.create();
    const table = PeerTable.create({ name: "a", failureDomain: "x", address: "127.0.0.1:1", incarnation: 1 }, clock, 2_000);
    assert.equal(createScheduler(table, clock).computeWait(true) <= 1_300, true);
});

test("in a large fleet only the readers' watches end in turns, and those of all other nodes last long", () => {
    const clock = VirtualClock.create();
    const names = Array.from({ length: 74 }, (_unused, index) => `node-${String(index).padStart(3, "0")}`);
    const waits = names.map(name => createScheduler(createTable(name, names, clock), clock).computeWait(true));
    assert.equal(waits.filter(wait => wait < 20_000).length <= 2, true, waits.join(" "));
});

// Guards against a node whose relay is late and whose own watch, on a silent connection, waits for longer than a change may take.
test("in a large fleet a node that no peer tells of changes in time waits for half of that time at most", () => {
    const clock = VirtualClock.create();
    const names = Array.from({ length: 74 }, (_unused, index) => `node-${String(index).padStart(3, "0")}`);
    for (const name of names) {
        const wait = createScheduler(createTable(name, names, clock), clock, false).computeWait(true);
        assert.equal(wait <= 1_300, true, `${name}: ${wait}`);
    }
});
