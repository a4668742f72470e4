import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ObjectKinds } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../standins/routed/routedWorker.js";
import { pickFreePort } from "../testing/daemons.js";
import { CallerView, RoutedGateway, waitUntil } from "../testing/routedGateway.js";

/** Strings that stand for JSON which no writer of this project would store. */
const rawValues = new Map([
    ["raw null", "null"],
    ["raw nested", "[".repeat(200_000) + "]".repeat(200_000)],
    ["raw nested objects", "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000)],
    ["raw huge", "1e400"],
]);
/** Odd values for any field of any entry. */
const oddValues: readonly unknown[] = [
    undefined,
    ...rawValues.keys(),
    true,
    "",
    " ",
    "text",
    "i-\ufffd",
    "i-\ud800",
    "a\nb",
    "x".repeat(100_000),
    -1,
    0,
    0.5,
    65_536,
    2 ** 53,
    1e300,
    [],
    {},
    ["text"],
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:1e3",
    "127.0.0.1:",
    "[::1]:-1",
];
/** Time without an exchange of digests after which a peer counts as lost, in milliseconds. */
const peerSilenceMilliseconds = 2_000;

/** Time that a caller waits before it gives up, in milliseconds: the time limit of the routes and half a second. */
const patienceMilliseconds = 2_000;

const platform = RoutedPlatform.create();
let gateway: RoutedGateway;

before(async () => {
    await platform.start();
    gateway = await RoutedGateway.start(platform);
});

after(async () => {
    await gateway.stop();
    await platform.stop();
});

function sendLookups(target = gateway): Promise<CallerView[]> {
    return Promise.all(Array.from(
        { length: 6 },
        (_, index) => target.sendCall(`/lookup/${index}`, { signal: AbortSignal.timeout(patienceMilliseconds) }),
    ));
}

function checkServed(responses: readonly CallerView[]): void {
    assert.deepEqual(responses.filter(response => response.status !== 200).map(({ status, body }) => `${status} ${body}`), []);
}

// Guards against an entry whose name cannot be sent in a header: the calls that were placed there were never answered.
for (const id of ["i-\ufffd\ufffd91c2", "i-\ud800", "i 7", "i\n7", "i-\u00e9", "x".repeat(300)]) {
    test(`an entry whose name is ${JSON.stringify(id).slice(0, 20)} gets no calls`, async () => {
        const worker = platform.callWorkers[0] as RoutedWorker;
        platform.store.putObject(ObjectKinds.servers, id, { ...worker.createEntry(), slots: 1_000 });
        platform.store.putObject(ObjectKinds.servers, "marker", { ...worker.createEntry(), service: "unused" });
        const directory = gateway.node.container.get(Keys.Directory);
        await waitUntil(() => directory.findEndpoint("marker") !== undefined);
        const [first, second] = [await sendLookups(), await sendLookups()];
        platform.store.removeObject(ObjectKinds.servers, id);
        platform.store.removeObject(ObjectKinds.servers, "marker");
        await waitUntil(() => directory.findEndpoint("marker") === undefined);
        checkServed([...first, ...second]);
    });
}

// Guards against callers that get no answer, and calls that never end, after an exception that no one expected.
test("a call that fails by an unexpected exception is answered at once, and counts as ended", async () => {
    const manifest = platform.createManifest();
    const [team] = manifest["tenants"] as readonly Readonly<Record<string, unknown>>[];
    const version = platform.publishManifest({ tenants: [{ ...team, name: "no\nheader" }] });
    await waitUntil(() => gateway.node.container.get(Keys.Configuration).getVersion() === version);
    const failed = await gateway.sendCall("/lookup/1", { signal: AbortSignal.timeout(patienceMilliseconds) });
    const next = platform.publishManifest();
    await waitUntil(() => gateway.node.container.get(Keys.Configuration).getVersion() === next);
    assert.equal(failed.status, 500, failed.body);
    await waitUntil(() => gateway.node.container.get(Keys.Server).countOpenCalls() === 0);
    checkServed(await sendLookups());
});

/** Sound entries of every kind that nodes read, by kind and name. */
const soundEntries: readonly { readonly kind: string; readonly name: string; readonly value: Readonly<Record<string, unknown>>; }[] = [
    {
        kind: ObjectKinds.servers,
        name: "odd",
        value: {
            service: "unused",
            addr: "127.0.0.1:9",
            zone: "xela",
            version: "v1",
            slots: 6,
            state: "ready",
            "cold-left-ms": 0,
            seq: 1,
            born: 1,
            spot: false,
        },
    },
    { kind: "nodes", name: "odd", value: { name: "odd", failureDomain: "xela", address: "127.0.0.1:9", incarnation: 7 } },
    { kind: ObjectKinds.rollouts, name: "redactor", value: { service: "redactor", target: "v1", "over-s": 60, more: 1 } },
    { kind: "quarantines", name: "f".repeat(64), value: { endpoints: ["i-1", "i-2", "i-3"], until: Date.now() + 60_000, trialBy: "node" } },
    { kind: "leases", name: "duties", value: { holder: "odd", incarnation: 1, transitions: 1, renewals: 1, era: 0 } },
    { kind: "usage", name: "reports", value: { reports: [{ window: 1, counts: [{ team: "shops", requests: 1 }] }], era: 0 } },
];

/** Writes every odd value into a field of an entry, one after the other under the entry's name, and then the sound entry. */
function writeOddValues(kind: string, name: string, value: Readonly<Record<string, unknown>>, field: string): void {
    for (const odd of oddValues) {
        platform.store.putObject(kind, name, { ...value, [field]: odd });
    }
    platform.store.putObject(kind, name, { ...value, [field]: "raw nested" });
}

/** Adds an entry for each odd value of each field; the nested ones, which are large, for the first field only. */
function addOddEntries(kind: string, value: Readonly<Record<string, unknown>>): void {
    Object.keys(value).forEach((field, position) => {
        const values = oddValues.filter(odd => position === 0 || !String(odd).startsWith("raw nested"));
        values.forEach((odd, index) => platform.store.putObject(kind, `${kind}-${field}-${index}`, { ...value, [field]: odd }));
    });
}

/** Checks that gateways follow the store and one another, and serve. */
async function checkFollowing(followers: readonly RoutedGateway[], title: string): Promise<void> {
    const worker = platform.callWorkers[0] as RoutedWorker;
    const marker = `marker-${title.replace(/[^a-z]/g, "-")}`;
    platform.store.putObject(ObjectKinds.servers, marker, { ...worker.createEntry(), service: "unused" });
    // The store's stand-in runs in this process and takes tenths of a second to write large entries, so calls come after all have them.
    for (const follower of followers) {
        await waitUntil(() => follower.node.container.get(Keys.Directory).findEndpoint(marker) !== undefined);
    }
    for (const follower of followers) {
        checkServed(await sendLookups(follower));
    }
    platform.store.removeObject(ObjectKinds.servers, marker);
}

// Guards against odd entries of other writers that end a process, stop it following the store, or stop its peers hearing from it.
test("odd values in any field of any entry hurt no node, whether it watches the store, hears from a peer or starts", async context => {
    rawValues.forEach((raw, name) => platform.store.rawValues.set(name, raw));
    // Nodes poll the entries of nodes, and only now and then: the reader meets these when it starts.
    const ownEntry = { name: "follower", failureDomain: "xela", address: "127.0.0.1:9", incarnation: Number.MAX_SAFE_INTEGER };
    platform.store.putObject("nodes", ownEntry.name, ownEntry);
    soundEntries.filter(({ kind }) => kind === "nodes").forEach(({ kind, value }) => addOddEntries(kind, value));
    const reader = await RoutedGateway.start(platform, { name: "reader", peersPort: await pickFreePort() });
    context.after(() => reader.stop());
    // It reaches the store at no time, so all that it knows comes from the reader.
    const follower = await RoutedGateway.start(platform, {
        name: "follower",
        peersPort: await pickFreePort(),
        seeds: reader.getPeerAddress(),
        storeAddress: "127.0.0.1:9",
    });
    context.after(() => follower.stop());
    for (const { kind, name, value } of soundEntries) {
        for (const field of Object.keys(value)) {
            writeOddValues(kind, name, value, field);
            await checkFollowing([reader, follower], `${kind} ${name} ${field}`);
        }
    }
    await sleep(peerSilenceMilliseconds);
    for (const peers of [reader, follower].map(each => each.node.container.get(Keys.Peers))) {
        const other = peers.findPeer(peers.identity.name === "reader" ? "follower" : "reader");
        assert.equal(other !== undefined && peers.isReachable(other), true, `${peers.identity.name} does not hear from its peer`);
    }
    soundEntries.forEach(({ kind, value }) => addOddEntries(kind, value));
    await checkFollowing([reader, follower], "many");
    const late = await RoutedGateway.start(platform, { name: "late" });
    context.after(() => late.stop());
    await checkFollowing([reader, follower, late], "late");
});
