import assert from "node:assert/strict";
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as sendHttpRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { HeaderNames } from "../../../platform/wire.js";
import { routedNames, RoutedPlatform } from "../../standins/routed/routedPlatform.js";
import { pickFreePort } from "../daemons.js";
import { waitUntil } from "../routedGateway.js";

const root = fileURLToPath(new URL("../../../..", import.meta.url));
const directory = mkdtempSync(join(tmpdir(), "corianderward-gateway-"));
const platform = RoutedPlatform.create();

before(() => platform.start());

after(async () => {
    await platform.stop();
    rmSync(directory, { recursive: true, force: true });
});

/** A gateway in a process of its own, started by the deploy file's command. */
interface GatewayProcess {
    readonly child: ChildProcess;
    readonly callers: number;
    readonly readiness: number;
    readonly settingsFile: string;
    readonly readLog: () => string;
}

/** Renders the deploy file's template as the platform does, for the fields that the template uses. */
function createSettings(fields: Readonly<Record<string, string>>): string {
    const template = readFileSync(join(root, "deploy/gateway.ini.template"), "utf8");
    return template.replace(/\{\{([^}]+)\}\}/g, (placeholder, name: string) => fields[name] ?? placeholder);
}

async function startGateway(name: string): Promise<GatewayProcess> {
    const [callers, readiness, peers, metrics] = [await pickFreePort(), await pickFreePort(), await pickFreePort(), await pickFreePort()];
    const settings = createSettings({
        "node-name": name,
        "zone": "xela",
        "listen.front": `127.0.0.1:${callers}`,
        "listen.ready": `127.0.0.1:${readiness}`,
        "listen.control": `127.0.0.1:${peers}`,
        "ip": "127.0.0.1",
        "port-range.0": String(metrics),
        "platform.addr": platform.storeAddress,
        "cloud-api.addr": platform.cloudAddress,
        "seeds": "",
        "bounds.retry-ratio": "0.2",
        "bounds.retry-window-s": "10",
        "bounds.retry-slack": "54",
        "bounds.quota-slack": "140000",
        "bounds.quota-window-s": "8",
        "bounds.window-s": "1",
        "bounds.usage-late-s": "10",
        "bounds.grace-s": "8",
    });
    const settingsFile = join(directory, `${name}.ini`);
    writeFileSync(settingsFile, settings);
    const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const command = (/^run = "(.*)"$/m.exec(deploy)?.[1] ?? "").split(" ").slice(1);
    const child = spawn(process.execPath, command.map(word => (word.endsWith(".yaml") ? settingsFile : word)), { cwd: root });
    let log = "";
    child.stdout.on("data", (chunk: Buffer) => (log += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (log += chunk.toString()));
    const gateway = { child, callers, readiness, settingsFile, readLog: () => log };
    await waitUntil(() => log.includes("process started"));
    let status = 0;
    for (let tries = 0; tries < 200 && status !== 200; tries += 1) {
        status = (await fetch(`http://127.0.0.1:${readiness}/-/readyz`)).status;
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    assert.equal(status, 200, log);
    return gateway;
}

function sendStream(gateway: GatewayProcess, id: string): Promise<{ status: number; body: string; isWhole: boolean; }> {
    return new Promise((resolve, reject) => {
        const request = sendHttpRequest({
            host: "127.0.0.1",
            port: gateway.callers,
            path: "/notice/7",
            method: "POST",
            headers: {
                host: routedNames.host,
                authorization: `Bearer ${routedNames.key}`,
                [HeaderNames.attemptId]: id,
                [HeaderNames.deadline]: "5000",
            },
        });
        request.once("error", reject);
        request.once("response", answer => {
            let body = "";
            answer.on("data", (chunk: Buffer) => (body += chunk.toString()));
            answer.once("close", () => resolve({ status: answer.statusCode ?? 0, body, isWhole: answer.complete }));
            answer.on("error", () => {});
        });
        request.end("{}");
    });
}

test("the deployed program serves, finishes what it has read when it is told to stop, and ends with code 0", async () => {
    platform.engines.forEach(worker => {
        worker.eventCount = 40;
        worker.eventMilliseconds = 25;
    });
    const gateway = await startGateway("node-a");
    const running = sendStream(gateway, "stream-1");
    await waitUntil(() => platform.engines.some(worker => worker.runs.length > 0));
    gateway.child.kill("SIGTERM");
    const answer = await running;
    assert.equal(answer.status, 200);
    assert.equal(answer.isWhole, true);
    assert.equal(answer.body.split("\n\n").length - 1, 40);
    const [code] = await once(gateway.child, "exit") as [number];
    assert.equal(code, 0);
    for (const line of gateway.readLog().trim().split("\n")) {
        assert.equal(typeof (JSON.parse(line) as { message: unknown; }).message, "string");
    }
    assert.equal(gateway.readLog().includes("process stopped"), true);
});

test("it reports each usage window once, under its lease", async () => {
    const gateway = await startGateway("node-b");
    const usage = () => platform.cloud.calls.filter(call => call.path === "/usage" && call.isAccepted);
    await waitUntil(() => usage().length >= 3);
    gateway.child.kill("SIGTERM");
    await once(gateway.child, "exit");
    const byWindow = new Map<unknown, string>();
    for (const call of usage()) {
        const window = call.body["window-id"];
        const counts = JSON.stringify(call.body["counts"]);
        assert.equal(byWindow.get(window) ?? counts, counts);
        byWindow.set(window, counts);
    }
    const fences = new Map(usage().map(call => [call.fence, call.holder]));
    assert.equal(fences.size >= 1, true);
});

test("changed settings are read again without a signal; faulty ones are named and change nothing", async () => {
    const gateway = await startGateway("node-c");
    const settings = readFileSync(gateway.settingsFile, "utf8");
    writeFileSync(gateway.settingsFile, settings.replace("seeds = ", "seeds = 127.0.0.1:9"));
    await waitUntil(() => gateway.readLog().includes("settings reloaded"));
    writeFileSync(gateway.settingsFile, settings.replace("[node]", "[nodes]"));
    gateway.child.kill("SIGHUP");
    await waitUntil(() => gateway.readLog().includes("settings refused"));
    assert.equal((await sendStream(gateway, "stream-2")).status, 200);
    gateway.child.kill("SIGTERM");
    await once(gateway.child, "exit");
});

test("faulty settings end the program with code 2 and every fault, each with its line", async () => {
    const file = join(directory, "faulty.ini");
    writeFileSync(file, "[node]\nname = a\n[listen]\ncallers = nowhere\nreadiness = 127.0.0.1:0\npeers = 127.0.0.1:0\n[storage]\nx = 1\n");
    const child = spawn(process.execPath, [join(root, "target/gateway/gateway.mjs"), "--settings", file]);
    let text = "";
    child.stderr.on("data", (chunk: Buffer) => (text += chunk.toString()));
    const [code] = await once(child, "exit") as [number];
    assert.equal(code, 2);
    for (const part of ["Unknown section 'storage'", "Section 'store' is missing", "faulty.ini:4", "'failure-domain'"]) {
        assert.equal(text.includes(part), true, `${part} in ${text}`);
    }
});
