import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { HeaderNames } from "../../../platform/wire.js";
import { routedNames } from "../../standins/routed/routedPlatform.js";
import { LinkMood } from "../soak/faultProxy.js";
import { SoakNode, SoakWorld } from "../soak/soakWorld.js";

const nodeCount = 3;
/** Time after a silence from which a change must be in force on every node, in milliseconds: the users' time until nodes are in touch again. */
const contactMilliseconds = 3_000;
/** Time for the watches and idle connections of the start to settle, in milliseconds. */
const settleMilliseconds = 1_500;
const pollMilliseconds = 20;
const statusNotFound = 404;

let sequence = 0;

async function isServed(node: SoakNode, path: string): Promise<boolean> {
    const response = await fetch(`http://127.0.0.1:${node.process.callers}${path}`, {
        headers: {
            authorization: `Bearer ${routedNames.key}`,
            [HeaderNames.attemptId]: `probe-${sequence += 1}`,
        },
    });
    await response.arrayBuffer();
    return response.status !== statusNotFound;
}

// Guards against a confirmed configuration that is refused as an older version says after open connections have gone silent.
test("a route that is added while all open connections to the store are silent is served on every node in time", async context => {
    const directory = mkdtempSync(join(tmpdir(), "corianderward-silence-"));
    const world = await SoakWorld.start(nodeCount, directory);
    context.after(async () => {
        await world.stop();
        rmSync(directory, { recursive: true, force: true });
    });
    await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
    world.nodes.forEach(node => node.storeLink.setMood(LinkMood.OpenOnesSilent));
    const silentSince = performance.now();
    const { routes } = world.platform.createManifest() as { readonly routes: readonly Record<string, unknown>[]; };
    world.platform.publishManifest({
        routes: [...routes, { ...routes[0], name: "added", host: "127.0.0.1", "path-prefix": "/added/" }],
    });
    const delays = await Promise.all(world.nodes.map(async node => {
        while (!await isServed(node, "/added/1") && performance.now() - silentSince < 5 * contactMilliseconds) {
            await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        }
        return Math.round(performance.now() - silentSince);
    }));
    assert.equal(Math.max(...delays) < contactMilliseconds, true, `served after ${delays.join(", ")} ms`);
});
