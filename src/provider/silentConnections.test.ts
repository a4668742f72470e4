import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "../common/clock.js";
import { SilentEventLog } from "../common/eventLog.js";
import { Metrics } from "../common/metrics.js";
import { StandInPlatform } from "../standins/platform.js";
import { HttpObjectStore } from "./httpObjectStore.js";
import { ObjectWatcher } from "./objectWatcher.js";

const timeoutMilliseconds = 1_000;
const watchSilenceMilliseconds = 1_000;
/** Bound on the time to a change: the silent watch is given up, and the next one works. */
const limitMilliseconds = 2_000;
const idleConnections = 4;

// Guards against a restarted watch that waits on another connection which has gone silent, so that a confirmed configuration is not in force in time.
test("a watch of the object API recovers within two seconds after all open connections have gone silent", async () => {
    const platform = StandInPlatform.create();
    await platform.start();
    const options = {
        url: platform.getUrl("node-1"),
        token: undefined,
        timeout: timeoutMilliseconds,
        watchSilence: watchSilenceMilliseconds,
    };
    const store = HttpObjectStore.create(options, Metrics.create());
    let changedAt = Infinity;
    const handler = {
        handleListing: () => {},
        handleChange: () => (changedAt = performance.now()),
        handleRemoval: () => {},
    };
    const watcher = ObjectWatcher.create(store, "teams/", handler, SystemClock.create(), SilentEventLog.create());
    // Calls at the same time leave as many idle connections behind.
    await Promise.all(Array.from({ length: idleConnections + 1 }, () => store.listObjects("teams/")));
    const running = watcher.run();
    await new Promise(resolve => setTimeout(resolve, watchSilenceMilliseconds / 2));
    platform.silenceConnections();
    const writer = HttpObjectStore.create({ ...options, url: platform.getUrl("operator") }, Metrics.create());
    assert.equal((await writer.createObject("teams/shops", { name: "shops" })).ok, true);
    const silentSince = performance.now();
    while (changedAt === Infinity && performance.now() - silentSince < 5 * limitMilliseconds) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    watcher.stop();
    await running;
    await platform.stop();
    assert.equal(changedAt - silentSince < limitMilliseconds, true, `seen after ${Math.round(changedAt - silentSince)} ms`);
});
