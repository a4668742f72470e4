import { ChildProcess, spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { usualBounds } from "../standins/routed/platformBounds.js";
import { pickLastingPort } from "./daemons.js";

const root = fileURLToPath(new URL("../../..", import.meta.url));
/** Longest time for a gateway to get ready, in milliseconds; a machine under load takes seconds. */
const readyLimitMilliseconds = 20_000;
const pollMilliseconds = 20;
const statusOk = 200;

/** Where a gateway is to find the platform, and where it keeps its settings. */
export interface GatewayPlace {
    readonly name: string;
    readonly failureDomain: string;
    readonly directory: string;
    readonly storeAddress: string;
    readonly cloudAddress: string;
    readonly seeds: string;
    /** Further fields of the platform, which take the place of the usual ones. */
    readonly fields?: Readonly<Record<string, string>>;
    /** Lines of settings that the template does not hold. */
    readonly lines?: readonly string[];
}

/** Renders the deploy file's template as the platform does; a field that is not given is left as it stands. */
export function formatGatewaySettings(fields: Readonly<Record<string, string>>): string {
    const template = readFileSync(join(root, "deploy/gateway.ini.template"), "utf8");
    const all: Readonly<Record<string, string>> = { ...usualBounds, ...fields };
    return replaceSections(template, all).replace(/\{\{([^}]+)\}\}/g, (placeholder, name: string) => all[name] ?? placeholder);
}

/** Renders each section of a template once for each field below its name, such as `zones.a` for section `zones`. */
function replaceSections(template: string, fields: Readonly<Record<string, string>>): string {
    return template.replace(/\{\{#([^}]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_section, name: string, body: string) => {
        const entries = Object.entries(fields).filter(([field]) => field.startsWith(`${name}.`));
        return entries.map(([field, value]) => body.replace("{{@}}", field.slice(name.length + 1)).replace("{{.}}", value)).join("");
    });
}

/** A gateway in a process of its own, started by the deploy file's command. */
export class GatewayProcess {
    private child: ChildProcess | undefined;
    private log = "";

    private constructor(
        readonly name: string,
        readonly callers: number,
        readonly readiness: number,
        readonly peers: number,
        readonly settingsFile: string,
    ) {}

    /** Writes the settings of a gateway that is not started yet. */
    static async create(place: GatewayPlace): Promise<GatewayProcess> {
        const ports = [await pickLastingPort(), await pickLastingPort(), await pickLastingPort(), await pickLastingPort()] as const;
        const [callers, readiness, peers, metrics] = ports;
        const settingsFile = join(place.directory, `${place.name}.ini`);
        const settings = formatGatewaySettings({
            "node-name": place.name,
            "zone": place.failureDomain,
            "listen.front": `127.0.0.1:${callers}`,
            "listen.ready": `127.0.0.1:${readiness}`,
            "listen.control": `127.0.0.1:${peers}`,
            "ip": "127.0.0.1",
            "port-range.0": String(metrics),
            "platform.addr": place.storeAddress,
            "cloud-api.addr": place.cloudAddress,
            "seeds": place.seeds,
            ...place.fields,
        });
        writeFileSync(settingsFile, [settings, ...place.lines ?? []].join("\n"));
        return new GatewayProcess(place.name, callers, readiness, peers, settingsFile);
    }

    /** Starts the process; it must not be running. */
    startProcess(): void {
        const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
        const command = (/^run = "(.*)"$/m.exec(deploy)?.[1] ?? "").split(" ").slice(1);
        const words = command.map(word => (word.endsWith(".yaml") ? this.settingsFile : word));
        const child = spawn(process.execPath, words, { cwd: root });
        child.stdout.on("data", (chunk: Buffer) => (this.log += chunk.toString()));
        child.stderr.on("data", (chunk: Buffer) => (this.log += chunk.toString()));
        child.once("exit", () => {
            if (this.child === child) {
                this.child = undefined;
            }
        });
        this.child = child;
    }

    isRunning(): boolean {
        return this.child !== undefined;
    }

    /** Returns the id of the running process; undefined if none runs. */
    getProcessId(): number | undefined {
        return this.child?.pid;
    }

    readLog(): string {
        return this.log;
    }

    sendSignal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /** Resolves with the exit code when the process has ended; undefined if a signal ended it. */
    async waitForEnd(): Promise<number | undefined> {
        const { child } = this;
        if (child === undefined) {
            return undefined;
        }
        return new Promise(resolve => child.once("exit", code => resolve(code ?? undefined)));
    }

    /** Waits until the gateway says that it is ready. */
    async waitUntilReady(): Promise<void> {
        const until = performance.now() + readyLimitMilliseconds;
        while (!await this.isReady()) {
            if (performance.now() > until) {
                throw new Error(`gateway ${this.name} did not get ready: ${this.log}`);
            }
            await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        }
    }

    async isReady(): Promise<boolean> {
        try {
            const answer = await fetch(`http://127.0.0.1:${this.readiness}/-/readyz`, { signal: AbortSignal.timeout(1_000) });
            return answer.status === statusOk;
        }
        catch {
            // Not listening, frozen or gone: each means not ready.
            return false;
        }
    }
}
