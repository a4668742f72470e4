import got from "got";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { pickQuantile } from "../replay/report.js";
import { createCallerHeaders } from "../testing/callers.js";
import { readProcess, startBenchDaemon, startStandIns } from "./loadProcess.js";
import { Bench, BenchResult } from "./types.js";

const pairs = 2_000;
const requestsPerSecond = 200;
const warmUpRequests = 600;
const throughputSeconds = 6;
const throughputConcurrency = 64;

/** Added latency against a direct call, and requests a second of processor time. */
export const overheadBench: Bench = {
    name: "overhead",
    description: "Calls a plain service directly and through a node in turn, at 200 requests a second; then as fast as it goes.",
    run: runOverhead,
};

async function runOverhead(): Promise<BenchResult> {
    const standIns = await startStandIns({ stepTime: 20, capacity: 64, engines: 1 });
    const daemon = await startBenchDaemon(standIns);
    const agent = { http: new Agent({ keepAlive: true }) };
    const headers = createCallerHeaders();
    const send = async (url: string) => {
        const startedAt = performance.now();
        const answer = await got.post(url, { headers, body: "{\"hull\":1}", agent, retry: { limit: 0 }, throwHttpErrors: false });
        if (answer.statusCode !== 200) {
            throw new Error(`status ${answer.statusCode}: ${answer.body}`);
        }
        return performance.now() - startedAt;
    };
    const throughNode = `${daemon.callerUrl}/services/records/hulls`;
    const direct = `http://${standIns.plainAddress}/hulls`;
    for (let count = 0; count < warmUpRequests; count += 1) {
        await send(throughNode);
        await send(direct);
    }
    const node: number[] = [];
    const plain: number[] = [];
    const running: Promise<void>[] = [];
    for (let count = 0; count < pairs; count += 1) {
        running.push(send(throughNode).then(time => void node.push(time)));
        await sleep(500 / requestsPerSecond);
        running.push(send(direct).then(time => void plain.push(time)));
        await sleep(500 / requestsPerSecond);
    }
    await Promise.all(running);

    const before = await readProcess(daemon);
    const until = performance.now() + throughputSeconds * 1_000;
    let sent = 0;
    await Promise.all(Array.from({ length: throughputConcurrency }, async () => {
        while (performance.now() < until) {
            await send(throughNode);
            sent += 1;
        }
    }));
    const after = await readProcess(daemon);
    daemon.process.kill("SIGKILL");
    standIns.stop();

    const difference = (share: number) => (pickQuantile(node, share) ?? 0) - (pickQuantile(plain, share) ?? 0);
    return {
        fields: {
            requests_per_second: requestsPerSecond,
            direct_p50_milliseconds: pickQuantile(plain, 0.5) ?? 0,
            direct_p99_milliseconds: pickQuantile(plain, 0.99) ?? 0,
            added_p50_milliseconds: difference(0.5),
            added_p99_milliseconds: difference(0.99),
            requests_per_core_second: sent / (after.cpuSeconds - before.cpuSeconds),
            reached_requests_per_second: sent / throughputSeconds,
        },
        atMost: { added_p50_milliseconds: 1, added_p99_milliseconds: 5 },
        atLeast: { requests_per_core_second: 1_500 },
    };
}
