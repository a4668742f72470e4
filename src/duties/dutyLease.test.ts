import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Clock } from "../common/clock.js";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { LeaseManager } from "../control/commands/leaseManager.js";
import { GatewayDigestSchema } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerTable } from "../gossip/peerTable.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { DutyLease } from "./dutyLease.js";

test("a restarted holder that only reports the lease of its previous incarnation does not keep other nodes from acquiring it", () => {
    const clock = VirtualClock.create();
    const table = PeerTable.create({ name: "b", failureDomain: "x", address: "b:1", incarnation: 1 }, clock, 2_000);
    const store = MemoryObjectStore.create(MemoryObjects.create(), clock, clock, SeededRandom.create(1));
    const lease = DutyLease.create(store, clock, { name: "b", incarnation: 1 }, 3_000, table, SilentEventLog.create());
    const receiveDigest = (incarnation: number, isHeldBySender: boolean) => {
        const digest = create(GatewayDigestSchema, {
            member: { name: "a", failureDomain: "x", address: "a:1", incarnation: BigInt(incarnation) },
            isStoreReachable: true,
            lease: { holder: "a", fencing: 4n, isHeldBySender },
        });
        table.recordDigest(digest);
        lease.mergeReportedHolder("a", 4);
    };
    receiveDigest(1, true);
    assert.equal(lease.isHolderReachable(), true);
    receiveDigest(2, false);
    assert.equal(lease.isHolderReachable(), false);
});

test("a node whose host is suspended while its lease write is pending does not assume that it holds the lease after it resumes", async () => {
    const virtualClock = VirtualClock.create();
    const term = 3_000;
    let suspended = 0;
    const clock: Clock = {
        getWallTime: () => virtualClock.getWallTime() + suspended,
        getMonotonicTime: () => virtualClock.getMonotonicTime(),
        sleep: (milliseconds, signal) => virtualClock.sleep(milliseconds, signal),
    };
    const store = MemoryObjectStore.create(MemoryObjects.create(), virtualClock, virtualClock, SeededRandom.create(1));
    const leaseManager = LeaseManager.create(store, clock, { name: "a", incarnation: 1 }, "leases/duties", term, {
        recordAcquisition: () => {},
    });
    const round = leaseManager.runRound();
    suspended = term;
    await virtualClock.runUntil(500);
    await round;
    assert.equal(leaseManager.getGrant(), undefined);
});
