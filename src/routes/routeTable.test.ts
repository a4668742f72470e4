import assert from "node:assert/strict";
import { test } from "node:test";
import { createRoute, createRouteConfiguration } from "../testing/gatewayParts.js";
import { ConfigurationHolder } from "./configurationHolder.js";
import { RouteTable } from "./routeTable.js";

test("the longest prefix of whole path segments of the host matches, and the query is ignored", () => {
    const table = RouteTable.create(createRouteConfiguration(1, [
        createRoute({ name: "root", pathPrefix: "/" }),
        createRoute({ name: "outer", pathPrefix: "/a/" }),
        createRoute({ name: "inner", pathPrefix: "/a/b/" }),
        createRoute({ name: "other", host: "other.example", pathPrefix: "/a/" }),
    ]));
    const findName = (host: string, target: string) => table.findRoute(host, target)?.name;
    assert.equal(findName("desk.example", "/a/b/c"), "inner");
    assert.equal(findName("desk.example", "/a/b"), "outer");
    assert.equal(findName("desk.example", "/a/bc/"), "outer");
    assert.equal(findName("desk.example", "/z?x=/a/b/"), "root");
    assert.equal(findName("other.example", "/a/b/c"), "other");
    assert.equal(findName("other.example", "/b"), undefined);
    assert.equal(findName("third.example", "/a/"), undefined);
});

test("a configuration with an older or equal version is never applied", () => {
    const holder = ConfigurationHolder.create();
    const versions: number[] = [];
    holder.addListener(table => versions.push(table.configuration.version));
    for (const version of [3, 7, 5, 7, 9]) {
        holder.applyConfiguration(createRouteConfiguration(version, []));
    }
    assert.deepEqual(versions, [3, 7, 9]);
});
