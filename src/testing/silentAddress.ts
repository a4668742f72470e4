import { fork } from "node:child_process";
import { createConnection, createServer } from "node:net";
import { fileURLToPath } from "node:url";
import { NetworkAddress } from "../config/types.js";
import { pickLastingPort } from "./daemons.js";

const file = fileURLToPath(import.meta.url);
const pollMilliseconds = 50;
/** Connections that fill the queue of a listener whose backlog is one. */
const queuedConnections = 4;

/**
 * An address of loopback that behaves as that of a host without power: connections to it are neither established nor refused. A
 * process listens there, fills its own queue of connections and is stopped.
 */
export class SilentAddress {
    private constructor(readonly address: NetworkAddress, private readonly end: () => void) {}

    static async create(): Promise<SilentAddress> {
        const port = await pickLastingPort();
        const child = fork(file, [String(port)]);
        while (!await isSilent(port)) {
            await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        }
        return new SilentAddress({ host: "127.0.0.1", port }, () => child.kill("SIGKILL"));
    }

    stop(): void {
        this.end();
    }
}

/** Returns whether a connection is neither established nor refused. */
function isSilent(port: number): Promise<boolean> {
    const socket = createConnection({ port, host: "127.0.0.1" });
    return new Promise(resolve => {
        const finish = (silent: boolean) => {
            socket.destroy();
            resolve(silent);
        };
        socket.once("connect", () => finish(false));
        socket.once("error", () => finish(false));
        setTimeout(() => finish(true), pollMilliseconds);
    });
}

function runListener(port: number): void {
    const server = createServer();
    server.listen({ port, host: "127.0.0.1", backlog: 1 }, () => {
        for (let count = 0; count < queuedConnections; count += 1) {
            createConnection({ port, host: "127.0.0.1" }).on("error", () => {});
        }
        // The connections are opened in the next tick; this one comes after them and before any is accepted.
        process.nextTick(() => process.nextTick(() => process.kill(process.pid, "SIGSTOP")));
    });
}

if (process.argv[1] === file) {
    runListener(Number(process.argv[2]));
}
