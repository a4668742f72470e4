// A bad version, several times slower than the old one, is rolled out; all gateways are killed and start again meanwhile.
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "../lib-2/clients.mjs";
import { bounds, Entry } from "../lib-2/gateways.mjs";
import { Cloud, Store } from "../lib-2/platform.mjs";
import { Worker } from "../lib-2/workers.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const zones = ["gt-central-a", "gt-central-b", "gt-central-c"];
const nodesPerZone = [3, 2, 2];
const workersPerZone = 4;
const host = "ficu95.example";
const team = { name: "huka270", keys: ["key-of-huka270"], unit: "token_count", "plain-tokens": 200, "rate-per-s": 0, burst: 0 };
/** The two kinds of requests of the sheet for `redactor`, with their rates. */
const kinds = [
    { path: "/lohu930/", perSecond: 11.3, tokens: [6_610, 384], eventCount: 64, deadline: 15_000, isIdempotent: false },
    { path: "/pufi791/", perSecond: 23.9, tokens: [1_800, 24], eventCount: 4, deadline: 3_000, isIdempotent: true },
];
/** Time to the first event and between events, in milliseconds, of each version. */
const speeds = { v1: { workTime: 70, eventPause: 60 }, v2: { workTime: 350, eventPause: 300 } };
const calmTime = 12_000;
/** Time that the operator gives the roll-out, and time until its workers serve, in milliseconds. */
const rolloutTime = 12_000;
const bootTime = 4_000;
/** Time from the order to the kill. */
const killAfter = 5_000;
const restartTime = 1_000;
/** Time for which the test goes on after the deadline. */
const laterTime = 13_000;
const contactTime = 3_000;
const rollbackTime = 5_000;
const badAnswersAllowed = 50;

const directory = mkdtempSync(join(tmpdir(), "corianderward-case-"));
const here = dirname(fileURLToPath(import.meta.url));
const store = new Store();
const cloud = new Cloud();
const entry = new Entry();
const records = [];
const workers = [];
const notes = [];
let orderedAt = Infinity;
/** Time at which the processes ran again after the kill. */
let backAt = -Infinity;
let killedAt = Infinity;

function note(text) {
    notes.push(`${Date.now()} ${text}`);
}

async function run() {
    await store.start();
    await cloud.start();
    store.put("config", "main", { spec: createManifest() });
    await Promise.all(zones.map(zone => startWorkers(zone, "v1")));
    const specs = zones.flatMap((zone, index) => Array.from({ length: nodesPerZone[index] }, (_, node) => ({ name: `front-${zone}-${node + 1}`, zone })));
    await entry.startAll(specs, { directory, store: store.address, cloud: cloud.address });
    const clients = zones.flatMap(zone => Array.from({ length: 10 }, (_, index) => new Client(`client-${zone}-${index}`, index, zone, entry, records)));
    const stops = kinds.map(kind => startCalls(clients, kind));
    await sleep(calmTime);
    orderedAt = Date.now();
    store.put("rollouts", "redactor", { spec: { service: "redactor", target: "v2", "over-s": rolloutTime / 1_000 } });
    note("the operator orders version v2");
    const follower = setInterval(followRollout, 50);
    await sleep(bootTime);
    await Promise.all(zones.map(zone => startWorkers(zone, "v2")));
    note("the workers of v2 serve");
    await sleep(killAfter - bootTime);
    if (hasTrouble) {
        killedAt = Date.now();
        entry.gateways.forEach(gateway => gateway.signal("SIGKILL"));
        note("all gateways are killed");
        await Promise.all(entry.gateways.map(gateway => gateway.waitForExit()));
        await sleep(restartTime);
        backAt = Date.now();
        entry.gateways.forEach(gateway => gateway.start());
        note("all gateways start again");
    }
    await sleep(orderedAt + rolloutTime + laterTime - Date.now());
    stops.forEach(stop => stop());
    clearInterval(follower);
    await sleep(16_000);
    clients.forEach(client => client.close());
    return judge();
}

async function startWorkers(zone, version) {
    for (let index = 1; index <= workersPerZone; index += 1) {
        const worker = new Worker(`i-${version}-${zone}-${index}`, "redactor", zone, true);
        Object.assign(worker, { version, ...speeds[version] });
        worker.countEvents = ({ url }) => kinds.find(({ path }) => url.startsWith(path)).eventCount;
        workers.push(worker);
        await worker.start(store);
    }
}

/** At `done` the old workers stop at once; at `rolled_back` the new ones drain and leave. */
function followRollout() {
    const state = store.get("rollouts", "redactor")?.status?.state;
    if (state === followRollout.state) {
        return;
    }
    followRollout.state = state;
    note(`state of the roll-out: ${state} (${store.get("rollouts", "redactor")?.status?.reason ?? ""})`);
    if (state === "done") {
        workers.filter(({ version }) => version === "v1").forEach(worker => {
            worker.stop();
            store.remove("servers", worker.id);
        });
    }
    if (state === "rolled_back") {
        workers.filter(({ version }) => version === "v2").forEach(worker => {
            worker.state = "draining";
            worker.writeEntry();
        });
    }
}

function createManifest() {
    const common = { host, kind: "stream", sticky: true, "gap-target-ms": 1_000, service: "redactor" };
    return {
        version: 3,
        routes: [
            { ...common, name: "lote", "path-prefix": kinds[0].path, "timeout-ms": 15_000, "goal-ms": 1_500, priority: 1, attempts: 1, resumable: false },
            { ...common, name: "consulta", "path-prefix": kinds[1].path, "timeout-ms": 3_000, "goal-ms": 1_000, priority: 0, attempts: 2, resumable: true },
        ],
        services: [{ name: "redactor", "health-path": "/healthz", "max-conns": 360, engine: { slots: 64, "kv-capacity": 550_512 } }],
        limits: { "max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
        tenants: [team],
    };
}

/** Sends one kind of requests at its rate, from the clients in turn, until the returned function is called. */
function startCalls(clients, { path, perSecond, tokens, deadline, isIdempotent }) {
    let sent = 0;
    const startedAt = Date.now();
    const timer = setInterval(() => {
        while (sent < (Date.now() - startedAt) / 1_000 * perSecond) {
            const client = clients[sent * 7 % clients.length];
            sent += 1;
            const own = `${path.length}${sent.toString(16).padStart(7, "0")}`;
            const headers = { model: "m", "token-counts": tokens.join(","), "prompt-prefix": `5c1e07a2:512,${own}:${tokens[0] - 512}` };
            void client.send({ host, path: `${path}${sent}`, key: team.keys[0], headers, deadline, isIdempotent });
        }
    }, 10);
    return () => clearInterval(timer);
}

/**
 * EXPOSURE: the bad version gets more than its share of the requests that reach its service between the order and its deadline, or a request
 * that was sent later than rollback-ms after its 50th bad answer, from a machine in touch. All answers of the version are bad.
 */
function judge() {
    const sentAt = new Map(records.map(({ id, sentAt: at }) => [id, at]));
    const isInTouch = at => at < killedAt || at > backAt + contactTime;
    const arrivals = workers.flatMap(worker => worker.arrivals.map(arrival => ({ ...arrival, version: worker.version })))
        .filter(({ hasRun }) => hasRun).sort((left, right) => left.at - right.at);
    const during = arrivals.filter(({ at }) => at >= orderedAt && at < orderedAt + rolloutTime);
    const exposed = during.filter(({ version, at }) => version === "v2" && isInTouch(at));
    const allowed = bounds["canary-share"] * during.length + bounds["canary-slack"];
    const bad = arrivals.filter(({ version }) => version === "v2");
    const fiftieth = (bad[badAnswersAllowed - 1]?.at ?? Infinity) + speeds.v2.workTime;
    const late = bad.filter(({ id, at }) => isInTouch(at) && sentAt.get(id) > fiftieth + rollbackTime);
    const describeServed = (path, from) => {
        const sent = records.filter(record => record.path.startsWith(path) && record.sentAt >= from && record.sentAt < from + laterTime / 2);
        return `${sent.filter(({ status, isWhole }) => status === 200 && isWhole).length} of ${sent.length}`;
    };
    const isBroken = exposed.length > allowed || late.length > 0;
    writeFileSync(join(here, "record.txt"), [
        `trouble: ${hasTrouble}`,
        ...notes,
        `between the order and its deadline ${during.length} requests reached the service, ${exposed.length} of them the bad version; allowed: ${allowed}`,
        `bad answers: ${bad.length}; requests sent later than ${rollbackTime} ms after the 50th that reached the bad version: ${late.length}; allowed: 0`,
        ...kinds.map(({ path }) => `${path}: answered whole of the requests sent before the order ${describeServed(path, orderedAt - laterTime / 2)}, after its deadline ${describeServed(path, orderedAt + rolloutTime + 500)}`),
        isBroken ? "EXPOSURE is broken" : "EXPOSURE holds",
        "",
        "sent: time, id, node, status, whole, time of the end",
        ...records.map(({ sentAt: at, id, gateway, status, isWhole, endedAt }) => `${at} ${id} ${gateway} ${status} ${isWhole} ${endedAt}`),
        "",
        "run: time, id, worker",
        ...arrivals.map(({ at, id, worker }) => `${at} ${id} ${worker}`),
        "",
    ].join("\n"));
    return isBroken ? 1 : 0;
}

let code = 2;
try {
    code = await run();
}
catch (error) {
    writeFileSync(join(here, "record.txt"), `the case could not run: ${error.stack}\n`);
}
finally {
    await entry.stopAll().catch(() => {});
    workers.forEach(worker => worker.stop());
    store.stop();
    cloud.stop();
    rmSync(directory, { recursive: true, force: true });
}
process.exit(code);
