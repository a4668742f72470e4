import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { runSoak } from "./soak.js";
import { createSoakPlan } from "./soakPlan.js";

test("the same seed plans the same faults", () => {
    assert.deepEqual(createSoakPlan(5, 20_000), createSoakPlan(5, 20_000));
    assert.notDeepEqual(createSoakPlan(5, 20_000), createSoakPlan(6, 20_000));
});

test("a short soak breaks no promise", async () => {
    const directory = mkdtempSync(join(tmpdir(), "corianderward-soak-"));
    const report = await runSoak({ seed: 1, seconds: 8, nodes: 3, callers: 4, directory, reportFault: () => {} });
    assert.deepEqual(report.broken, []);
    assert.equal(report.served > 0, true);
    rmSync(directory, { recursive: true, force: true });
});
