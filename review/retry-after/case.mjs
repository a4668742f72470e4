// A worker asks for a pause with Retry-After, and is partitioned from the store while the pause lasts.
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "../lib-2/clients.mjs";
import { Entry } from "../lib-2/gateways.mjs";
import { Cloud, Store } from "../lib-2/platform.mjs";
import { Worker } from "../lib-2/workers.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const zones = ["gt-central-a", "gt-central-b", "gt-central-c"];
const nodes = zones.map(zone => ({ name: `front-${zone}-1`, zone }));
const workerCount = 5;
const host = "ficu95.example";
const team = { name: "huka270", keys: ["key-of-huka270"], unit: "token_count", "plain-tokens": 200, "rate-per-s": 0, burst: 0 };
const requestsPerSecond = 20;
const calmTime = 5_000;
/** Retry-After of the worker, in seconds. */
const pause = 12;
/** Time for which the worker turns requests away. */
const fullTime = 400;
/** Time for which the worker is partitioned from the store. */
const cutTime = 5_000;

const directory = mkdtempSync(join(tmpdir(), "corianderward-case-"));
const here = dirname(fileURLToPath(import.meta.url));
const store = new Store();
const cloud = new Cloud();
const entry = new Entry();
const records = [];
const workers = [];
const notes = [];

function note(text) {
    notes.push(`${Date.now()} ${text}`);
}

async function run() {
    await store.start();
    await cloud.start();
    store.put("config", "main", { spec: createManifest() });
    for (let index = 0; index < workerCount; index += 1) {
        const worker = new Worker(`i-${index + 1}`, "mostrador", zones[index % zones.length], false);
        workers.push(worker);
        await worker.start(store);
    }
    await entry.startAll(nodes, { directory, store: store.address, cloud: cloud.address });
    const clients = zones.map((zone, index) => new Client(`client-${index}`, index, zone, entry, records));
    const timers = clients.map(client => setInterval(() => {
        void client.send({ host, path: "/pule252/2f", method: "GET", body: "", key: team.keys[0], deadline: 1_500, isIdempotent: true });
    }, 1_000 / requestsPerSecond));
    await sleep(calmTime);
    const [worker] = workers;
    note(`${worker.id} turns requests away with Retry-After: ${pause}`);
    worker.refusalPause = pause;
    await sleep(fullTime);
    worker.refusalPause = undefined;
    note(`${worker.id} has room again`);
    if (hasTrouble) {
        worker.isCutFromStore = true;
        note(`${worker.id} is partitioned from the store`);
        await sleep(cutTime);
        worker.isCutFromStore = false;
        note(`${worker.id} reaches the store again`);
    }
    await sleep(pause * 1_000 - (hasTrouble ? cutTime : 0));
    timers.forEach(timer => clearInterval(timer));
    await sleep(1_600);
    clients.forEach(client => client.close());
    return judge(worker);
}

function createManifest() {
    return {
        version: 3,
        routes: [{ name: "lista", host, "path-prefix": "/pule252/", kind: "safe", "timeout-ms": 1_500, "goal-ms": 300, priority: 2, attempts: 2,
            service: "mostrador" }],
        services: [{ name: "mostrador", "health-path": "/healthz", "max-conns": 100 }],
        limits: { "max-header-bytes": 16_384, "max-body-bytes": 4_194_304, "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
        tenants: [team],
    };
}

/** BUDGET: more than two requests reach the worker from a machine between half a second after its 503 and the end of the pause. */
function judge(worker) {
    const gatewayOf = new Map(records.map(({ id, gateway }) => [id, gateway]));
    const counts = entry.gateways.map(({ name }) => {
        const own = worker.arrivals.filter(({ id }) => gatewayOf.get(id) === name);
        const most = Math.max(0, ...own.filter(({ pause: asked }) => asked !== undefined).map(({ at, pause: asked }) =>
            own.filter(later => later.at > at + 500 && later.at < at + asked * 1_000).length));
        return { name, refusals: own.filter(({ pause: asked }) => asked !== undefined).length, most };
    });
    const isBroken = counts.some(({ most }) => most > 2);
    writeFileSync(join(here, "record.txt"), [
        `trouble: ${hasTrouble}`,
        ...notes,
        ...counts.map(({ name, refusals, most }) => `${name}: refused ${refusals} times; ${most} requests reached the worker in a pause; allowed: 2`),
        isBroken ? "BUDGET is broken" : "BUDGET holds",
        "",
        `arrivals at ${worker.id}: time, id, node, whether it ran, pause asked for`,
        ...worker.arrivals.map(({ at, id, hasRun, pause: asked }) => `${at} ${id} ${gatewayOf.get(id)} ${hasRun} ${asked ?? ""}`),
        "",
        "sent: time, id, node, status, time of the end",
        ...records.map(({ sentAt, id, gateway, status, endedAt }) => `${sentAt} ${id} ${gateway} ${status} ${endedAt}`),
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
