import { ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const binary = fileURLToPath(new URL("../../../bin/corianderwardd.js", import.meta.url));
const readyLimitMilliseconds = 20_000;
/** Longest time in which a daemon that was told to end does so, in milliseconds. */
const exitLimitMilliseconds = 30_000;

/** A daemon in a process of its own. */
export interface DaemonProcess {
    readonly process: ChildProcess;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly readLog: () => string;
    /** Resolves with the exit code once the process has ended; undefined if a signal ended it. Rejects with its log if it runs on. */
    readonly waitForExit: () => Promise<number | undefined>;
}

/** What a daemon is given of its machine; what is not named is not limited. */
export interface DaemonMachine {
    readonly runtimeFlags?: readonly string[];
    /** Number of descriptors that the process may have open. */
    readonly descriptors?: number;
}

/** Returns a port that was free a moment ago. */
export async function pickFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    await new Promise(resolve => server.close(resolve));
    return typeof address === "object" ? address?.port ?? 0 : 0;
}

/** Ports below those that systems give to outgoing connections: one of these stays free while its process is restarted. */
const firstLastingPort = 10_000;
const lastingPorts = 20_000;
const takenPorts = new Set<number>();

/** Returns a free port that no outgoing connection takes, and that this process has not returned before. */
export async function pickLastingPort(): Promise<number> {
    for (;;) {
        const port = firstLastingPort + Math.floor(Math.random() * lastingPorts);
        if (!takenPorts.has(port) && await isPortFree(port)) {
            takenPorts.add(port);
            return port;
        }
    }
}

function isPortFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** Starts a daemon whose settings end with the lines given, and waits until it is ready. */
export async function startDaemon(
    name: string,
    platformUrl: string,
    lines: readonly string[],
    machine: DaemonMachine = {},
): Promise<DaemonProcess> {
    const directory = mkdtempSync(join(tmpdir(), "corianderward-"));
    const [callers, peers, operators] = [await pickLastingPort(), await pickLastingPort(), await pickLastingPort()];
    const settings = [
        "[node]",
        `name = ${name}`,
        "failure-domain = xela",
        "[listen]",
        `callers = 127.0.0.1:${callers}`,
        `peers = 127.0.0.1:${peers}`,
        `operators = 127.0.0.1:${operators}`,
        "[platform]",
        `objects-url = ${platformUrl}`,
        `host-list-url = ${platformUrl}`,
        ...lines,
    ];
    const file = join(directory, "node.ini");
    writeFileSync(file, settings.join("\n"));
    const command = [process.execPath, ...machine.runtimeFlags ?? [], binary, "--settings", file];
    const limit = machine.descriptors === undefined ? "" : `ulimit -n ${machine.descriptors} && `;
    const child = spawn("sh", ["-c", `${limit}exec "$@"`, "sh", ...command], { stdio: ["ignore", "ignore", "pipe"] });
    let log = "";
    child.stderr.on("data", (chunk: Buffer) => {
        log += chunk.toString();
    });
    const exited = new Promise<number | undefined>(resolve =>
        child.once("exit", code => {
            rmSync(directory, { recursive: true, force: true });
            resolve(code ?? undefined);
        })
    );
    const daemon: DaemonProcess = {
        process: child,
        callerUrl: `http://127.0.0.1:${callers}`,
        operatorUrl: `http://127.0.0.1:${operators}`,
        readLog: () => log,
        waitForExit: () => Promise.race([exited, waitForExitLimit(() => log)]),
    };
    try {
        await waitUntilReady(daemon);
    }
    catch (error) {
        // Left running, it would keep the process of the tests from exiting.
        child.kill("SIGKILL");
        throw error;
    }
    return daemon;
}

async function waitForExitLimit(readLog: () => string): Promise<never> {
    await sleep(exitLimitMilliseconds, undefined, { ref: false });
    throw new Error(`the daemon did not end within ${exitLimitMilliseconds} ms: ${readLog()}`);
}

async function waitUntilReady(daemon: DaemonProcess): Promise<void> {
    const until = Date.now() + readyLimitMilliseconds;
    while (Date.now() < until) {
        try {
            const response = await fetch(`${daemon.operatorUrl}/readyz`, { signal: AbortSignal.timeout(until - Date.now()) });
            if (response.status === 200) {
                return;
            }
        }
        catch {
            // Not listening yet.
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    throw new Error(`the daemon did not become ready: ${daemon.readLog()}`);
}
