import { Agent, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createCallerHeaders } from "../testing/callers.js";
import { DaemonProcess } from "../testing/daemons.js";
import { readProcess, startBenchDaemon, startStandIns } from "./loadProcess.js";
import { Bench, BenchResult } from "./types.js";

const streams = 1_500;
const stepMilliseconds = 20;
const measuredSeconds = 8;
const warmUpSeconds = 3;
const idleStreams = 3_000;
const warmStreams = 1_000;
const stalledStreams = 100;
const tokensPerStream = 2_048;
const bytesPerKibibyte = 1_024;

/** Tokens a second of processor time, memory for each open stream, and what callers cost that stop reading. */
export const relayBench: Bench = {
    name: "relay",
    description:
        `Relays ${streams} streams of one token every ${stepMilliseconds} ms; then opens ${idleStreams} slow streams beside ${warmStreams}; then ${stalledStreams} that are not read.`,
    run: runRelay,
};

async function runRelay(): Promise<BenchResult> {
    const relayed = await measureTokens();
    const memory = await measureMemory();
    const stalled = await measureStalled();
    return {
        fields: {
            streams,
            ...relayed,
            ...memory,
            ...stalled,
            share_of_core_at_designed_size: 1_543 / relayed.tokens_per_core_second,
        },
        atMost: { kibibytes_per_open_stream: 40, kibibytes_per_stalled_stream: 512 },
        atLeast: { tokens_per_core_second: 60_000 },
    };
}

async function measureTokens(): Promise<{ tokens_per_core_second: number; tokens_per_second: number; }> {
    const standIns = await startStandIns({ stepTime: stepMilliseconds, capacity: 1_000, engines: 2 });
    const daemon = await startBenchDaemon(standIns);
    await sleep(1_500);
    const counter = { tokens: 0 };
    const closers = Array.from({ length: streams }, (_value, index) => openStream(daemon, `relay ${index}`, counter, true));
    await sleep(warmUpSeconds * 1_000);
    const before = await readProcess(daemon);
    const tokensBefore = counter.tokens;
    await sleep(measuredSeconds * 1_000);
    const after = await readProcess(daemon);
    const tokens = counter.tokens - tokensBefore;
    closers.forEach(close => close());
    daemon.process.kill("SIGKILL");
    standIns.stop();
    return { tokens_per_core_second: tokens / (after.cpuSeconds - before.cpuSeconds), tokens_per_second: tokens / measuredSeconds };
}

async function measureMemory(): Promise<{ kibibytes_per_open_stream: number; }> {
    const standIns = await startStandIns({ stepTime: 2_000, capacity: 4_000, engines: 1 });
    const daemon = await startBenchDaemon(standIns);
    await sleep(1_500);
    const warm = Array.from({ length: warmStreams }, (_value, index) => openStream(daemon, `warm ${index}`, { tokens: 0 }, true));
    await sleep(6_000);
    const before = await readProcess(daemon);
    const closers = Array.from({ length: idleStreams }, (_value, index) => openStream(daemon, `idle ${index}`, { tokens: 0 }, true));
    await sleep(12_000);
    const after = await readProcess(daemon);
    [...warm, ...closers].forEach(close => close());
    daemon.process.kill("SIGKILL");
    standIns.stop();
    return { kibibytes_per_open_stream: (after.residentBytes - before.residentBytes) / bytesPerKibibyte / idleStreams };
}

async function measureStalled(): Promise<{ kibibytes_per_stalled_stream: number; }> {
    const standIns = await startStandIns({ stepTime: 1, capacity: 1_000, engines: 1 });
    const daemon = await startBenchDaemon(standIns);
    await sleep(1_500);
    const warm = Array.from({ length: 20 }, (_value, index) => openStream(daemon, `warm ${index}`, { tokens: 0 }, true));
    await sleep(4_000);
    const before = await readProcess(daemon);
    const closers = Array.from({ length: stalledStreams }, (_value, index) => openStream(daemon, `stalled ${index}`, { tokens: 0 }, false));
    await sleep(8_000);
    const after = await readProcess(daemon);
    [...warm, ...closers].forEach(close => close());
    daemon.process.kill("SIGKILL");
    standIns.stop();
    return { kibibytes_per_stalled_stream: (after.residentBytes - before.residentBytes) / bytesPerKibibyte / stalledStreams };
}

/** Opens a stream and counts its tokens; one that is not read stays open and full. Returns what closes it. */
function openStream(daemon: DaemonProcess, prompt: string, counter: { tokens: number; }, isRead: boolean): () => void {
    const body = JSON.stringify({ model: "draft", prompt, max_tokens: tokensPerStream, stream: true });
    const opened = request(`${daemon.callerUrl}/v1/completions`, {
        method: "POST",
        headers: { ...createCallerHeaders(), "content-length": Buffer.byteLength(body) },
        agent: new Agent({ keepAlive: false }),
    });
    opened.on("error", () => {});
    opened.on("response", response => {
        response.on("error", () => {});
        if (!isRead) {
            return;
        }
        response.on("data", (chunk: Buffer) => {
            counter.tokens += chunk.toString("latin1").split("\nid: ").length - 1
                + (chunk.subarray(0, 4).toString("latin1") === "id: " ? 1 : 0);
        });
    });
    opened.end(body);
    return () => opened.destroy();
}
