import assert from "node:assert/strict";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { RoutePublisher } from "../cli/routePublisher.js";
import { SeededRandom } from "../common/random.js";
import { DefaultConfigurationDecoder } from "../node/bindings/defaultDeployment.js";
import { RouteKind, UsageUnit } from "../routes/types.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { parseIniDocument } from "./iniDocument.js";
import { parseRouteDocument, readRouteFile } from "./routeFiles.js";

const example = join(fileURLToPath(new URL("../../..", import.meta.url)), "examples/recall-desk/routes.ini");

function listFaults(text: string): string[] {
    const document = parseIniDocument("routes.ini", text);
    const parsed = document.ok ? parseRouteDocument(document.val) : document;
    return parsed.ok ? [] : parsed.val.map(fault => `${fault.line}: ${fault.text}`);
}

test("a gateway decodes the published routes as the route file declares them, and an unchanged file gets no new version", async () => {
    const declared = readRouteFile(example);
    assert.equal(declared.ok, true);
    const declaration = declared.unwrap();
    const question = declaration.routes.find(route => route.name === "question");
    assert.deepEqual([question?.kind, question?.isResumable, question?.attempts], [RouteKind.Stream, true, 2]);
    assert.equal(declaration.services[0]?.engine?.memoryTokens, 550_000);
    assert.equal(declaration.services[0]?.scaling?.domainPrices.length, 2);
    assert.equal(declaration.teams[0]?.unit, UsageUnit.Tokens);

    const clock = VirtualClock.create();
    const objects = MemoryObjects.create();
    const store = MemoryObjectStore.create(objects, clock, clock, SeededRandom.create(1));
    const publisher = RoutePublisher.create(store);
    const finish = async <T>(call: Promise<T>) => {
        await clock.runUntil(clock.getMonotonicTime() + 1_000);
        return call;
    };
    const publish = async () => (await finish(publisher.publishRoutes(declaration))).unwrap();
    assert.deepEqual(await publish(), { version: 1, changed: true });
    assert.deepEqual(await publish(), { version: 1, changed: false });
    const stored = (await finish(store.getObject("routes/main"))).unwrap();
    const decoded = DefaultConfigurationDecoder.create().decodeConfiguration(stored?.value);
    assert.deepEqual(decoded.unwrap().routes, declaration.routes);
});

test("all faults of a route file are reported together, each with its line", () => {
    const faults = listFaults([
        "[servce.a]",
        "[service.b]",
        "connection-limit = none",
        "[route.r]",
        "host = Desk",
        "path = /lookup",
        "kind = saef",
        "service[] = c:2",
        "time-limit-milliseconds = 1000",
        "objective-milliseconds = 300",
        "attempt = 2",
        "resumable = yes",
        "[team.t]",
        "unit = words",
        "key[] = short",
    ].join("\n"));
    const expected = [
        /1: Unknown section 'servce.a'. Did you mean 'service.NAME'/,
        /3: Value 'none'/,
        /5: Value 'Desk'/,
        /6: Value '\/lookup'/,
        /7: Value 'saef'/,
        /8: .*'c', which is not declared/,
        /11: Unknown key 'attempt'.*'attempts'/,
        /14: Value 'words'/,
        /15: Value 'short'/,
    ];
    expected.forEach(pattern => assert.equal(faults.some(fault => pattern.test(fault)), true, `${pattern} in\n${faults.join("\n")}`));
});

test("a route without a service, or a resumable route that is not a stream, is refused", () => {
    const route = [
        "[service.a]",
        "connection-limit = 5",
        "[route.r]",
        "host = a",
        "path = /",
        "time-limit-milliseconds = 9",
        "objective-milliseconds = 9",
    ];
    assert.match(listFaults([...route, "kind = safe"].join("\n")).join(), /Key 'service\[\]' is missing/);
    assert.match(
        listFaults([...route, "kind = safe", "service[] = a", "resumable = yes"].join("\n")).join(),
        /only a stream can be resumed/,
    );
});
