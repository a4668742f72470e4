import assert from "node:assert/strict";
import { test } from "node:test";
import { RemovalLog } from "./removalLog.js";

test("a node gets the removals after its revision, or none of them where the log does not go back so far", () => {
    const log = RemovalLog.create();
    assert.equal(log.listRemovalsSince(5), undefined);
    log.startAt(5);
    assert.equal(log.listRemovalsSince(4), undefined);
    log.recordRemoval("a", 6);
    log.recordRemoval("b", 6);
    log.recordRemoval("c", 9);
    assert.deepEqual(log.listRemovalsSince(5), ["a", "b", "c"]);
    assert.deepEqual(log.listRemovalsSince(6), ["c"]);
    assert.deepEqual(log.listRemovalsSince(9), []);
    for (let index = 0; index < 1_000; index += 1) {
        log.recordRemoval(`late-${index}`, 10 + index);
    }
    assert.equal(log.listRemovalsSince(5), undefined);
    assert.equal(log.listRemovalsSince(500)?.length, 509);
});

test("after a removal that was applied late, every node gets a complete list", () => {
    const log = RemovalLog.create();
    log.startAt(1);
    log.recordRemoval("a", 4);
    log.recordRevision(8);
    log.recordRemoval("delayed", 6);
    assert.equal(log.listRemovalsSince(8), undefined);
    log.recordRevision(12);
    assert.equal(log.listRemovalsSince(8), undefined);
    assert.deepEqual(log.listRemovalsSince(12), []);
});
