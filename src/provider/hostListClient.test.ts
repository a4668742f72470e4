import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { isNestedTooDeeply } from "../common/json.js";
import { startOnLoopback, stopServer } from "../standins/routed/loopbackHttp.js";
import { HttpHostListClient } from "./hostListClient.js";

const host = { name: "host-1", role: "endpoint", failure_domain: "xela", address: "10.0.0.1:8080", state: "live" };
const oddValues = ["null", "[]", "{}", "7", "\"\"", "\"\\ud800\"", "\"a\\nb\"", "1e400", `${"[".repeat(400_000)}${"]".repeat(400_000)}`];

// Guards against one malformed host that keeps a node from all later host lists.
test("a malformed entry of the host list is reported and left out, and the others hold", async context => {
    const odd = oddValues.map(value => JSON.stringify({ ...host, role: "raw" }).replace("\"raw\"", value));
    const server = createServer((_request, response) =>
        response.end(`{"hosts":[${[...odd, ...oddValues, JSON.stringify(host)].join(",")}]}`)
    );
    const address = await startOnLoopback(server);
    context.after(() => stopServer(server));
    const faults: string[] = [];
    const listed = await HttpHostListClient.create(`http://${address}`, 2_000, fault => faults.push(fault)).listHosts();
    assert.deepEqual(listed.ok && listed.val.map(({ name }) => name), ["host-1"]);
    assert.equal(faults.length, 2 * oddValues.length);
});

test("a value is nested too deeply when the runtime could not write it again", () => {
    const createNested = (depth: number) => JSON.parse("[".repeat(depth) + "]".repeat(depth)) as unknown;
    assert.equal(isNestedTooDeeply(createNested(20)), false);
    assert.equal(isNestedTooDeeply({ a: { b: ["c"] } }), false);
    assert.equal(isNestedTooDeeply(createNested(400_000)), true);
});
