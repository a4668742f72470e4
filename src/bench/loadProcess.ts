import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { DaemonProcess, startDaemon } from "../testing/daemons.js";

const standInsScript = fileURLToPath(new URL("./standInProcess.js", import.meta.url));

/** Stand-ins in a process of their own, so that their work does not count as the node's. */
export interface StandInProcess {
    readonly platformUrl: string;
    readonly plainAddress: string;
    readonly engineAddress: string;
    stop(): void;
}

/** How fast the engine of a stand-in process is. */
export interface StandInSpeed {
    readonly stepTime: number;
    readonly capacity: number;
    readonly engines: number;
}

/** Starts stand-ins with the default teams published. */
export async function startStandIns(speed: StandInSpeed): Promise<StandInProcess> {
    const child = fork(standInsScript, [JSON.stringify(speed)], { stdio: "inherit" });
    const addresses = await new Promise<Omit<StandInProcess, "stop">>(resolve =>
        child.once("message", message => resolve(message as StandInProcess))
    );
    return { ...addresses, stop: () => child.kill("SIGKILL") };
}

/** Starts a daemon for a bench. */
export function startBenchDaemon(standIns: StandInProcess): Promise<DaemonProcess> {
    return startDaemon("bench", standIns.platformUrl, [
        "[limits]",
        "open-requests = 20000",
        "endpoint-concurrency = 4096",
        "[timing]",
        "host-list-interval-milliseconds = 500",
        "[tracing]",
        "sample-ratio = 0.01",
        "[logging]",
        "level = error",
    ]);
}

/** What the process metrics of a daemon showed. */
export interface ProcessReading {
    readonly cpuSeconds: number;
    readonly residentBytes: number;
}

/** Reads a daemon's processor time and memory. */
export async function readProcess(daemon: DaemonProcess): Promise<ProcessReading> {
    const text = await (await fetch(`${daemon.operatorUrl}/metrics`)).text();
    const read = (name: string) => Number(new RegExp(`^${name} (.*)$`, "m").exec(text)?.[1] ?? Number.NaN);
    return { cpuSeconds: read("process_cpu_seconds_total"), residentBytes: read("process_resident_memory_bytes") };
}
