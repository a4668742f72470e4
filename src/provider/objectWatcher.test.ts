import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentEventLog } from "../common/eventLog.js";
import { Ok } from "../common/results.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { ObjectStore } from "./objectStore.js";
import { ObjectWatcher } from "./objectWatcher.js";
import { WatchEventKind, WatchOptions } from "./types.js";

const handler = { handleListing: () => {}, handleChange: () => {}, handleRemoval: () => {} };

/** Runs a watcher for `until` milliseconds; returns when it began each watch, and after which revision. */
async function listWatches(until: number, prepare: (watcher: ObjectWatcher, clock: VirtualClock) => void): Promise<[number, number][]> {
    const clock = VirtualClock.create();
    const watches: [number, number][] = [];
    const store = {
        listObjects: () => Promise.resolve(Ok({ revision: 7, objects: [] })),
        async *watchObjects(_prefix: string, afterRevision: number, signal: AbortSignal) {
            watches.push([clock.getMonotonicTime(), afterRevision]);
            await clock.sleep(60_000, signal);
        },
    } as unknown as ObjectStore;
    const watcher = ObjectWatcher.create(store, "teams/", handler, clock, SilentEventLog.create());
    prepare(watcher, clock);
    const running = watcher.run();
    await clock.runUntil(until);
    watcher.stop();
    await running;
    return watches;
}

test("a watch begins after the list, and not while the changes arrive by another path", async () => {
    assert.deepEqual(await listWatches(2_000, () => {}), [[0, 7]]);
    assert.deepEqual(await listWatches(2_000, watcher => watcher.setSuspensionSource(() => true)), []);
});

// Guards against knowledge that stays old since a watch of a store without changes is answered only at the end of its wait, and against
// watches that wait as long on a connection that has gone silent meanwhile.
test("a watch that is renewed or was suspended first confirms what is known, and later ones wait for changes", async () => {
    const clock = VirtualClock.create();
    const watches: [number, boolean][] = [];
    const store = {
        listObjects: () => Promise.resolve(Ok({ revision: 7, objects: [] })),
        async *watchObjects(_prefix: string, _afterRevision: number, signal: AbortSignal, options?: WatchOptions) {
            watches.push([clock.getMonotonicTime(), options?.isConfirmedAtOnce ?? false]);
            await clock.sleep(1_000, signal);
            yield { kind: WatchEventKind.Heartbeat, revision: 7 };
        },
    } as unknown as ObjectStore;
    const watcher = ObjectWatcher.create(store, "teams/", handler, clock, SilentEventLog.create());
    let isSuspended = false;
    watcher.setSuspensionSource(() => isSuspended);
    const running = watcher.run();
    await clock.runUntil(500);
    watcher.renewWatch();
    await clock.runUntil(1_600);
    isSuspended = true;
    await clock.runUntil(4_100);
    isSuspended = false;
    await clock.runUntil(5_500);
    watcher.stop();
    await running;
    assert.deepEqual(watches.map(([, isConfirmedAtOnce]) => isConfirmedAtOnce), [false, true, false, true, false]);
});
