import assert from "node:assert/strict";
import { test } from "node:test";
import { computeSummary, findRequest, formatLogLine, readLogLines } from "./logReader.js";

function createLine(second: number, node: string, message: string, fields: Readonly<Record<string, unknown>> = {}): string {
    const timestamp = `2026-12-04T10:00:${String(second).padStart(2, "0")}.000Z`;
    return JSON.stringify({ level: "info", message, node, timestamp, ...fields });
}

const nodeA = [
    createLine(1, "a", "configuration applied", { version: 3, source: "store" }),
    createLine(2, "a", "endpoint changed", { endpoint: "i-1", change: "added" }),
    createLine(2, "a", "endpoint changed", { endpoint: "i-2", change: "added" }),
    createLine(4, "a", "endpoint changed", { endpoint: "i-1", change: "draining" }),
    createLine(5, "a", "attempt failed", { request: "r-1", endpoint: "i-1", cause: "socket hang up", verdict: "MayHaveRun" }),
    createLine(5, "a", "request failed", { request: "r-1", endpoint: "i-1", outcome: "failed", cause: "lost after 12 ms" }),
    createLine(9, "a", "configuration applied", { version: 5, source: "store" }),
].join("\n");
const nodeB = [
    `  6.1 b ${createLine(6, "b", "request refused", { request: "r-2", outcome: "refused", cause: "Team 'x' is over its usage cap." })}`,
    createLine(7, "b", "request refused", { request: "r-3", outcome: "refused", cause: "Team 'y' is over its usage cap." }),
    createLine(8, "b", "lines left out", { kind: "request refused", lines: 40 }),
    "text that is not a log line",
].join("\n");

test("explaining a request lists its lines from all nodes and only the earlier state changes of its own node and endpoint", () => {
    const logs = readLogLines([nodeB, nodeA]);
    assert.equal(logs.unreadable, 1);
    const found = findRequest(logs.lines, "r-1");
    assert.deepEqual(found?.events.map(event => event.message), ["attempt failed", "request failed"]);
    const beliefs = found?.beliefs.map(formatLogLine) ?? [];
    assert.deepEqual(beliefs, [
        "2026-12-04T10:00:01.000Z a configuration applied: source=store version=3",
        "2026-12-04T10:00:04.000Z a endpoint changed: change=draining endpoint=i-1",
    ]);
    assert.equal(findRequest(logs.lines, "r-9"), undefined);
});

test("a summary counts causes that differ only in names or numbers together, and adds up the dropped lines", () => {
    const summary = computeSummary(readLogLines([nodeA, nodeB]).lines);
    assert.deepEqual(summary.causes, [
        { outcome: "refused", cause: "Team '…' is over its usage cap.", requests: 2 },
        { outcome: "failed", cause: "lost after N ms", requests: 1 },
    ]);
    assert.equal(summary.linesLeftOut, 40);
    assert.equal(summary.changes.length, 5);
});
