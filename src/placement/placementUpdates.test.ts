import assert from "node:assert/strict";
import { test } from "node:test";
import { PlacementUpdates } from "./placementUpdates.js";

const follower = { peer: "follower", isRelay: false };
const otherFollower = { peer: "other", isRelay: false };
const relay = { peer: "relay", isRelay: true };

// Guards against digests that grow with the requests of the whole fleet, since each of them is told to every node by itself.
test("placements of the same parts at the same endpoint are told once, with the number of their requests", () => {
    const updates = PlacementUpdates.create();
    const parts = [{ id: "shared", tokens: 500 }];
    for (let request = 0; request < 200; request += 1) {
        updates.addUpdate({ endpointId: `e-${request % 4}`, parts, uses: 1 }, request < 100 ? otherFollower : relay);
    }
    updates.addUpdate({ endpointId: "e-0", parts: [{ id: "another", tokens: 9 }], uses: 3 }, otherFollower);
    const listed = updates.listUpdatesSince(0, follower);
    assert.deepEqual(listed.map(({ endpointId, uses }) => [endpointId, uses]), [["e-0", 50], ["e-1", 50], ["e-2", 50], ["e-3", 50], [
        "e-0",
        3,
    ]]);
    const toRelay = updates.listUpdatesSince(0, { peer: "another relay", isRelay: true });
    assert.equal(toRelay.reduce((sum, { uses }) => sum + uses, 0), 103);
    const later = updates.listUpdatesSince(199, follower);
    assert.equal(later.reduce((sum, { uses }) => sum + uses, 0), 4);
    assert.deepEqual(updates.listUpdatesSince(updates.getLatestSequence(), follower), []);
});
