// A small deployment on loopback for the review's scripts: the platform's store and cloud API as stand-ins in this process,
// workers as processes (worker.mjs), and the project's gateways as the deploy file starts them.
import { fork, spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const here = dirname(fileURLToPath(import.meta.url));
const root = join(here, "../..");

export const isTroubled = process.env.TROUBLE !== "0";
export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Bounds of the site file that the template of the settings uses. */
const bounds = {
    "bounds.retry-ratio": "0.2",
    "bounds.retry-window-s": "10",
    "bounds.retry-slack": "54",
    "bounds.quota-slack": "140000",
    "bounds.quota-window-s": "8",
    "bounds.window-s": "5",
    "bounds.drain-ms": "2000",
    "bounds.usage-late-s": "10",
    "bounds.canary-share": "0.1",
    "bounds.canary-slack": "50",
    "bounds.grace-s": "8",
};

async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    return text === "" ? undefined : JSON.parse(text);
}

function sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

async function listen(server, host = "127.0.0.1") {
    await new Promise(resolve => server.listen(0, host, resolve));
    return `${host}:${server.address().port}`;
}

const lowestPort = 12_000;
const portCount = 18_000;

/** Returns a port that is free now, outside the range from which the system picks ports for channels. */
async function pickPort() {
    for (;;) {
        const port = lowestPort + Math.floor(Math.random() * portCount);
        const server = createTcpServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        await new Promise(resolve => server.close(resolve));
        if (isFree) {
            return port;
        }
    }
}

/** The platform's object store, in memory (PROTOCOL.md, "The platform's metadata store"). */
export class Store {
    objects = new Map();
    events = [];
    revision = 10;
    waiting = new Set();
    server = createServer((request, response) => void this.serve(request, response));

    put(kind, name, spec, status) {
        const key = `${kind}/${name}`;
        const known = this.objects.get(key);
        this.revision += 1;
        const object = {
            meta: { name, rev: this.revision, created: known?.meta.created ?? this.revision, finalizers: [], deleting: false },
            spec,
            status: status ?? known?.status ?? {},
        };
        this.objects.set(key, object);
        this.addEvent({ kind, revision: this.revision, object, tombstone: false });
        return object;
    }

    remove(kind, name) {
        const known = this.objects.get(`${kind}/${name}`);
        if (known === undefined) {
            return;
        }
        this.revision += 1;
        this.objects.delete(`${kind}/${name}`);
        this.addEvent({
            kind,
            revision: this.revision,
            object: { ...known, meta: { ...known.meta, rev: this.revision } },
            tombstone: true,
        });
    }

    addEvent(event) {
        this.events.push(event);
        this.waiting.forEach(wake => wake());
    }

    async serve(request, response) {
        const url = new URL(request.url, "http://store");
        const body = await readJson(request);
        const [kind, name, part] = url.pathname.replace(/^\/-\/objects\//, "").split("/").map(decodeURIComponent);
        if (request.method === "GET") {
            await this.serveRead(kind, name, url.searchParams, response);
            return;
        }
        const target = name ?? body?.meta?.name;
        const known = this.objects.get(`${kind}/${target}`);
        const condition = body?.meta?.rev ?? (url.searchParams.has("rev") ? Number(url.searchParams.get("rev")) : undefined);
        if (request.method === "POST") {
            sendJson(response, known === undefined ? 201 : 409, known ?? this.put(kind, target, body.spec));
            return;
        }
        if (known === undefined) {
            sendJson(response, 404, {});
            return;
        }
        if (condition !== undefined && condition !== known.meta.rev) {
            sendJson(response, 409, known);
            return;
        }
        if (request.method === "DELETE") {
            this.remove(kind, target);
            sendJson(response, 200, known);
            return;
        }
        sendJson(response, 200, part === "status" ? this.put(kind, target, known.spec, body.status) : this.put(kind, target, body.spec));
    }

    async serveRead(kind, name, query, response) {
        if (name !== undefined) {
            const object = this.objects.get(`${kind}/${name}`);
            sendJson(response, object === undefined ? 404 : 200, object ?? {});
            return;
        }
        if (!query.has("watch")) {
            const items = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
            sendJson(response, 200, { items, "has-more": false, "as-of": this.revision });
            return;
        }
        const after = Number(query.get("watch"));
        const until = performance.now() + Math.min(30_000, Number(query.get("wait-ms") ?? 0));
        const list = () => this.events.filter(event => event.kind === kind && event.revision > after);
        while (list().length === 0 && performance.now() < until && !response.destroyed) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.max(1, until - performance.now()));
                this.waiting.add(wake);
            });
        }
        const events = list().map(({ object, tombstone }) => ({ object, tombstone }));
        sendJson(response, 200, { events, "as-of": this.revision });
    }
}

/** Everything that one script starts; `stop` ends it all. */
export class Deployment {
    store = new Store();
    cloudCalls = [];
    cloud = createServer((request, response) =>
        void readJson(request).then(body => {
            this.cloudCalls.push({ path: request.url, holder: request.headers["duty-holder"], body });
            sendJson(response, 200, {});
        })
    );
    directory = mkdtempSync(join(tmpdir(), "review-"));
    children = new Set();
    workers = [];
    gateways = [];
    startedAt = performance.now();

    constructor(caseDirectory) {
        this.recordFile = join(caseDirectory, "record.txt");
        writeFileSync(this.recordFile, "");
        this.note(`trouble: ${isTroubled ? "on" : "off"}`);
    }

    /** Adds a line to record.txt, with the seconds since the start. */
    note(text) {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
        appendFileSync(this.recordFile, `${seconds.padStart(8)} ${text}\n`);
    }

    async start() {
        this.storeAddress = await listen(this.store.server);
        this.cloudAddress = await listen(this.cloud);
    }

    /** Writes a manifest with the given routes and services, and one tenant. */
    writeManifest(version, routes, services) {
        const common = { host: "desk.example", priority: 1, public: false };
        this.store.put("config", "main", {
            version,
            routes: routes.map(route => ({ ...common, ...route })),
            services: services.map(service => ({ "health-path": "/healthz", "max-conns": 100, ...service })),
            limits: { "max-header-bytes": 16_384, "max-body-bytes": 65_536, "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
            tenants: [{ name: "shops", keys: ["key-of-shops"], unit: "token_count", "plain-tokens": 200, "rate-per-s": 0, burst: 0 }],
        });
    }

    /** Starts a worker process and registers it; `handle` gets its messages. */
    async startWorker(service, zone, options, handle = () => {}) {
        const child = fork(join(here, "worker.mjs"), [JSON.stringify(options)]);
        this.addChild(child);
        const worker = { id: options.id, child, service, zone };
        await new Promise((resolve, reject) => {
            child.on("message", message => {
                if (message.ready !== undefined) {
                    worker.address = message.ready;
                    worker.born = message.born;
                    resolve();
                }
                handle(message, worker);
            });
            child.once("exit", () => reject(new Error(`worker ${options.id} ended early`)));
        });
        worker.entry = {
            service,
            addr: worker.address,
            zone,
            version: "v1",
            slots: options.slots ?? 6,
            state: "ready",
            "cold-left-ms": 0,
            seq: 1,
            born: worker.born,
        };
        this.store.put("servers", worker.id, worker.entry);
        this.workers.push(worker);
        return worker;
    }

    /** Starts a gateway with the deploy file's command and waits until it is ready. */
    async startGateway(name, zone, seeds = "") {
        const gateway = { name, zone, front: await pickPort(), ready: await pickPort(), control: await pickPort(), log: "" };
        const fields = {
            ...bounds,
            "node-name": name,
            "zone": zone,
            "listen.front": `127.0.0.1:${gateway.front}`,
            "listen.ready": `127.0.0.1:${gateway.ready}`,
            "listen.control": `127.0.0.1:${gateway.control}`,
            "ip": "127.0.0.1",
            "port-range.0": String(await pickPort()),
            "platform.addr": this.storeAddress,
            "cloud-api.addr": this.cloudAddress,
            "seeds": seeds,
        };
        gateway.settings = join(this.directory, `${name}.ini`);
        const template = readFileSync(join(root, "deploy/gateway.ini.template"), "utf8");
        writeFileSync(gateway.settings, template.replace(/\{\{([^}]+)\}\}/g, (all, key) => fields[key] ?? all));
        this.gateways.push(gateway);
        await this.runGateway(gateway);
        return gateway;
    }

    async runGateway(gateway) {
        const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ").slice(1);
        const words = run.map(word => (word.startsWith("/etc/") ? gateway.settings : word));
        const child = spawn(process.execPath, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME } });
        this.addChild(child);
        gateway.child = child;
        gateway.isEnded = false;
        child.stdout.on("data", chunk => (gateway.log += chunk));
        child.stderr.on("data", chunk => {
            gateway.log += chunk;
            this.note(`${gateway.name} stderr: ${String(chunk).trim().split("\n").slice(0, 12).join(" | ")}`);
        });
        child.once("exit", (code, signal) => {
            gateway.isEnded = true;
            this.note(`${gateway.name} (process ${child.pid}) ended: code ${code}, signal ${signal}`);
        });
        const until = performance.now() + 20_000;
        while (!await this.isReady(gateway)) {
            if (performance.now() > until) {
                throw new Error(`gateway ${gateway.name} did not get ready`);
            }
            await sleep(50);
        }
        this.note(`${gateway.name} (process ${child.pid}) is ready`);
    }

    async isReady(gateway) {
        try {
            return (await fetch(`http://127.0.0.1:${gateway.ready}/-/readyz`, { signal: AbortSignal.timeout(1_000) })).status === 200;
        }
        catch {
            return false;
        }
    }

    addChild(child) {
        this.children.add(child);
        child.once("exit", () => this.children.delete(child));
    }

    async stop() {
        for (const child of this.children) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        }
        this.store.server.close();
        this.store.server.closeAllConnections();
        this.cloud.close();
        this.cloud.closeAllConnections();
        rmSync(this.directory, { recursive: true, force: true });
    }
}

/** Runs a case: exit code 1 if `play` returns true (the rule was broken), 0 if it held, 2 if the case could not run. */
export async function runCase(caseDirectory, play) {
    const deployment = new Deployment(caseDirectory);
    let code = 2;
    const guard = setTimeout(() => {
        deployment.note("the case did not end in time");
        void deployment.stop().finally(() => process.exit(2));
    }, 110_000);
    try {
        await deployment.start();
        const isBroken = await play(deployment);
        code = isBroken ? 1 : 0;
        deployment.note(isBroken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        deployment.note(`could not run: ${error.stack ?? error}`);
    }
    clearTimeout(guard);
    await deployment.stop();
    console.log(readFileSync(deployment.recordFile, "utf8").trim().split("\n").slice(-4).join("\n"));
    process.exit(code);
}
