import { setTimeout as sleep } from "node:timers/promises";
import { millisecondsPerSecond } from "../common/units.js";
import { killerText } from "../standins/engineTypes.js";
import { generateAnswer } from "../standins/generation.js";
import { Balancer } from "./balancer.js";
import { CallerClient } from "./callerClient.js";
import { ReplayTarget } from "./embeddedTarget.js";
import { createReport, ReplayReport } from "./report.js";
import { CallerRecord, Trace } from "./types.js";

/** Learns how far a replay has come. */
export interface ReplayProgress {
    handleProgress(done: number, total: number): void;
}

/** Plays a trace against a target in real time and judges the run. */
export async function replayTrace(trace: Trace, target: ReplayTarget, seed: number, progress?: ReplayProgress): Promise<ReplayReport> {
    const balancer = Balancer.create(() => target.listNodes());
    await balancer.checkNodes();
    const client = CallerClient.create(balancer, trace.head.tokens, killerText, generateAnswer);
    const records: CallerRecord[] = [];
    const running: Promise<unknown>[] = [];
    const startedAt = performance.now();
    const total = trace.lines.filter(line => line.kind === "generation" || line.kind === "call").length;

    for (const line of trace.lines) {
        const wait = line.at * millisecondsPerSecond - (performance.now() - startedAt);
        if (wait > 0) {
            await sleep(wait);
        }
        switch (line.kind) {
            case "generation":
                running.push(client.sendGeneration(line).then(addRecord));
                break;
            case "call":
                running.push(client.sendCall(line).then(addRecord));
                break;
            case "fault":
                running.push(target.injectFault(line));
                break;
            case "publish":
                running.push(target.publishTeam(line.team));
                break;
            case "move":
                running.push(target.startMove(line));
                break;
        }
    }
    await Promise.all(running);
    balancer.stop();
    return createReport(trace.head.name, seed, records, target.readTruth());

    function addRecord(record: CallerRecord): void {
        records.push(record);
        progress?.handleProgress(records.length, total);
    }
}
