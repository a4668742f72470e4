import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Clock } from "../common/clock.js";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { LeaseKeeper } from "../control/commands/leaseKeeper.js";
import { GatewayDigestSchema } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerTable } from "../gossip/peerTable.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { DutyLease } from "./dutyLease.js";

test("a holder that was started anew and only knows of its earlier life does not keep others from the lease", () => {
    const clock = VirtualClock.create();
    const table = PeerTable.create({ name: "b", failureDomain: "x", address: "b:1", incarnation: 1 }, clock, 2_000);
    const store = MemoryObjectStore.create(MemoryObjects.create(), clock, clock, SeededRandom.create(1));
    const lease = DutyLease.create(store, clock, { name: "b", incarnation: 1 }, 3_000, table, SilentEventLog.create());
    const hearHolder = (incarnation: number, isHeldBySender: boolean) => {
        const digest = create(GatewayDigestSchema, {
            member: { name: "a", failureDomain: "x", address: "a:1", incarnation: BigInt(incarnation) },
            isStoreReachable: true,
            lease: { holder: "a", fencing: 4n, isHeldBySender },
        });
        table.recordDigest(digest);
        lease.recordNews("a", 4);
    };
    hearHolder(1, true);
    assert.equal(lease.isHolderHeard(), true);
    hearHolder(2, false);
    assert.equal(lease.isHolderHeard(), false);
});

test("a holder whose host was suspended before the answer to its write holds nothing when it wakes", async () => {
    const world = VirtualClock.create();
    const term = 3_000;
    let suspended = 0;
    const clock: Clock = {
        getWallTime: () => world.getWallTime() + suspended,
        getMonotonicTime: () => world.getMonotonicTime(),
        sleep: (milliseconds, signal) => world.sleep(milliseconds, signal),
    };
    const store = MemoryObjectStore.create(MemoryObjects.create(), world, world, SeededRandom.create(1));
    const keeper = LeaseKeeper.create(store, clock, { name: "a", incarnation: 1 }, "leases/duties", term, { recordTaken: () => {} });
    const taken = keeper.runRound();
    suspended = term;
    await world.runUntil(500);
    await taken;
    assert.equal(keeper.getGrant(), undefined);
});
