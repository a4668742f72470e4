// Starts the project's gateways by the command of the deploy file, and stands in for the platform's entry.
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { request as sendHttpRequest } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));

/** The bounds of the sheet of agscc-retiros. */
export const bounds = {
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 54,
    "quota-window-s": 8,
    "quota-overage": 0.1,
    "quota-slack": 140000,
    "window-s": 5,
    "usage-late-s": 10,
    "canary-share": 0.1,
    "canary-slack": 50,
    "grace-s": 8,
    "drain-ms": 2000,
};

const pickedPorts = new Set();

/** Picks a free port below those that the system gives to outgoing connections: one of these may be taken before the gateway listens. */
async function pickPort() {
    for (;;) {
        const port = 11_000 + Math.floor(Math.random() * 20_000);
        if (!pickedPorts.has(port) && await isFree(port)) {
            pickedPorts.add(port);
            return port;
        }
    }
}

async function isFree(port) {
    const server = createServer();
    const isListening = await new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (isListening) {
        await new Promise(resolve => server.close(resolve));
    }
    return isListening;
}

/** Renders a template by DEPLOY.md, as far as the deploy file's template uses it. */
export function renderTemplate(template, fields) {
    const find = path => path.split(".").reduce((value, key) => value?.[key], fields);
    const sections = template.replace(/\{\{#([^}]+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g, (_match, path, body) =>
        Object.entries(find(path) ?? {}).map(([key, value]) => body.replaceAll("{{@}}", key).replaceAll("{{.}}", value)).join(""));
    return sections.replace(/\{\{([^}]+)\}\}/g, (_match, path) => {
        const value = find(path);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

/** One machine of class `front` with its process. */
export class Gateway {
    isReady = false;
    misses = 0;
    starts = 0;

    constructor(name, zone, directory) {
        Object.assign(this, { name, zone, directory });
    }

    async choosePorts() {
        this.front = await pickPort();
        this.readiness = await pickPort();
        this.control = await pickPort();
        this.metrics = await pickPort();
    }

    writeSettings({ store, cloud, seeds, zones, overrides = {} }) {
        const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
        const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");
        const fields = {
            "node-name": this.name,
            zone: this.zone,
            ip: "127.0.0.1",
            zones: Object.fromEntries(zones.map(zone => [zone, "gt-central"])),
            listen: { front: `127.0.0.1:${this.front}`, ready: `127.0.0.1:${this.readiness}`, control: `127.0.0.1:${this.control}` },
            "port-range": [this.metrics, this.metrics],
            seeds,
            limits: { "memory-mb": 350, "max-fds": 4100 },
            bounds: { ...bounds, ...overrides },
            platform: { addr: store },
            "cloud-api": { addr: cloud },
        };
        this.settingsFile = join(this.directory, `${this.name}.ini`);
        writeFileSync(this.settingsFile, renderTemplate(template, fields));
        const command = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        this.command = command.map(word => (word.endsWith("/boot.yaml") ? this.settingsFile : word));
    }

    start() {
        const { PATH, HOME, LANG } = process.env;
        const [program, ...words] = this.command;
        this.starts += 1;
        this.child = spawn(program, words, {
            cwd: root,
            env: { PATH, HOME, LANG, CORIANDERWARD_NODE_FILE: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.directory, `${this.name}.${this.starts}.log`));
        this.child.stdout.pipe(log, { end: false });
        this.child.stderr.pipe(log, { end: false });
        this.child.once("exit", (code, signal) => {
            this.exit = { code, signal };
        });
        this.exit = undefined;
    }

    /** Sends a signal to the process that this object started. */
    signal(name) {
        if (this.exit === undefined) {
            this.child?.kill(name);
        }
    }

    async waitForExit() {
        while (this.child !== undefined && this.exit === undefined) {
            await sleep(20);
        }
        return this.exit;
    }

    /** Asks the readiness address as the platform does; resolves with whether it answered 200 in time. */
    askReadiness() {
        return new Promise(resolve => {
            const request = sendHttpRequest({ host: "127.0.0.1", port: this.readiness, path: "/-/readyz", timeout: 900 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
            request.end();
        });
    }
}

/** Starts machines and takes them into rotation as the platform's entry does: once a second, out after two misses. */
export class Entry {
    gateways = [];

    async startAll(specs, place) {
        for (const { name, zone } of specs) {
            const gateway = new Gateway(name, zone, place.directory);
            await gateway.choosePorts();
            this.gateways.push(gateway);
        }
        const zones = [...new Set(specs.map(({ zone }) => zone))];
        const seeds = zones.map(zone => this.gateways.find(gateway => gateway.zone === zone)).map(({ control }) => `127.0.0.1:${control}`);
        for (const gateway of this.gateways) {
            gateway.writeSettings({ ...place, seeds, zones });
            gateway.start();
        }
        this.timer = setInterval(() => void this.checkAll(), 1_000);
        const endsAt = Date.now() + 20_000;
        while (!this.gateways.every(({ isReady }) => isReady)) {
            if (Date.now() > endsAt) {
                const late = this.gateways.filter(({ isReady }) => !isReady).map(({ name, exit }) => `${name} ${JSON.stringify(exit ?? "runs")}`);
                throw new Error(`the gateways did not get ready: ${late.join(", ")}`);
            }
            await sleep(100);
        }
    }

    async checkAll() {
        await Promise.all(this.gateways.map(async gateway => {
            const isReady = await gateway.askReadiness();
            gateway.misses = isReady ? 0 : gateway.misses + 1;
            gateway.isReady = isReady || (gateway.isReady && gateway.misses < 2);
        }));
    }

    /** Returns the gateway for a new channel: by a hash of the client among those of its zone; retries reach other nodes. */
    pick(zone, clientHash, retry = 0) {
        const own = this.gateways.filter(gateway => gateway.zone === zone);
        const ready = own.filter(({ isReady }) => isReady);
        const rotation = ready.length * 2 < own.length ? own : ready;
        return rotation[(clientHash + retry) % rotation.length];
    }

    async stopAll() {
        clearInterval(this.timer);
        this.gateways.forEach(gateway => gateway.signal("SIGKILL"));
        await Promise.all(this.gateways.map(gateway => gateway.waitForExit()));
    }
}
