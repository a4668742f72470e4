import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Keys } from "../node/keys.js";
import { createDefaultTeams, Deployment } from "../testing/deployment.js";
import { Bench, BenchFields, BenchResult } from "./types.js";

const sizes = [8, 32, 64, 128];
const designedNodes = 350;
const designedEndpoints = 600;
const domains = ["a", "b", "c", "d", "e", "f"];
const settleMilliseconds = 6_000;
const measuredMilliseconds = 12_000;
const bytesPerMebibyte = 1_048_576;

interface SizeResult {
    readonly nodes: number;
    readonly bytesPerSecond: number;
    readonly coreShare: number;
    readonly mebibytes: number;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

/** What control costs each node at several sizes, carried to the designed one. */
export const controlBench: Bench = {
    name: "control",
    description: `Idle deployments of ${
        sizes.join(", ")
    } nodes, with endpoints in the proportion of ${designedEndpoints} to ${designedNodes}; bytes sent and received by each node.`,
    run: runControl,
};

async function runControl(): Promise<BenchResult> {
    const results: SizeResult[] = [];
    for (const size of sizes) {
        results.push(await measureSize(size));
    }
    const fields: BenchFields = {};
    for (const result of results) {
        fields[`bytes_per_second_${result.nodes}_nodes`] = result.bytesPerSecond;
        fields[`core_percent_${result.nodes}_nodes`] = result.coreShare * 100;
        fields[`mebibytes_${result.nodes}_nodes`] = result.mebibytes;
        fields[`platform_writes_per_second_${result.nodes}_nodes`] = result.writesPerSecond;
        fields[`platform_reads_per_second_${result.nodes}_nodes`] = result.readsPerSecond;
    }
    fields["bytes_per_second_carried"] = computeAtDesignedSize(results, result => result.bytesPerSecond, fields, "bytes");
    fields["core_percent_carried"] = computeAtDesignedSize(results, result => result.coreShare * 100, fields, "core");
    fields["mebibytes_carried"] = computeAtDesignedSize(results, result => result.mebibytes, fields, "memory");
    fields["platform_writes_per_second_carried"] = computeAtDesignedSize(results, result => result.writesPerSecond, fields, "writes");
    fields["platform_reads_per_second_carried"] = computeAtDesignedSize(results, result => result.readsPerSecond, fields, "reads");
    return {
        fields,
        atMost: {
            bytes_per_second_carried: 5_000,
            core_percent_carried: 3,
            mebibytes_carried: 32,
            platform_writes_per_second_carried: 300,
            platform_reads_per_second_carried: 2_000,
        },
        atLeast: {},
    };
}

/** Fits a line over the sizes and returns its value at the designed one; the largest residual is kept as a field. */
function computeAtDesignedSize(
    results: readonly SizeResult[],
    read: (result: SizeResult) => number,
    fields: BenchFields,
    name: string,
): number {
    const count = results.length;
    const meanX = results.reduce((sum, result) => sum + result.nodes, 0) / count;
    const meanY = results.reduce((sum, result) => sum + read(result), 0) / count;
    const covariance = results.reduce((sum, result) => sum + (result.nodes - meanX) * (read(result) - meanY), 0);
    const variance = results.reduce((sum, result) => sum + (result.nodes - meanX) ** 2, 0);
    const slope = covariance / variance;
    const line = (nodes: number) => meanY + slope * (nodes - meanX);
    fields[`${name}_slope_per_node`] = slope;
    fields[`${name}_largest_residual`] = Math.max(...results.map(result => Math.abs(read(result) - line(result.nodes))));
    return line(designedNodes);
}

async function measureSize(nodes: number): Promise<SizeResult> {
    const used = domains.slice(0, Math.min(domains.length, Math.max(2, Math.floor(nodes / 4))));
    const perDomain = Math.ceil(nodes / used.length);
    const endpoints = Math.round(nodes * designedEndpoints / designedNodes / used.length);
    const heapBefore = measureHeap();
    const deployment = await Deployment.create({
        domains: used,
        nodesPerDomain: perDomain,
        enginesPerDomain: 0,
        plainPerDomain: endpoints,
        teams: createDefaultTeams(),
        timing: { exchangeInterval: 500, hostListInterval: 1_000, loadInterval: 1_000, leaseTerm: 5_000, peerSilence: 4_000 },
    });
    await sleep(settleMilliseconds);
    const count = deployment.nodes.length;
    const bytesBefore = countBytes(deployment);
    const callsBefore = { ...deployment.platform.callCounts };
    const cpuBefore = process.cpuUsage();
    const startedAt = performance.now();
    await sleep(measuredMilliseconds);
    const seconds = (performance.now() - startedAt) / 1_000;
    const cpu = process.cpuUsage(cpuBefore);
    const bytes = countBytes(deployment) - bytesBefore;
    const calls = deployment.platform.callCounts;
    const heap = measureHeap() - heapBefore;
    await deployment.stop();
    return {
        nodes: count,
        bytesPerSecond: bytes / seconds / count,
        // The stand-ins' own work is in the figure, so it lies on the safe side.
        coreShare: (cpu.user + cpu.system) / 1_000_000 / seconds / count,
        mebibytes: heap / bytesPerMebibyte / count,
        writesPerSecond: (calls.writes - callsBefore.writes) / seconds,
        readsPerSecond: (calls.reads - callsBefore.reads) / seconds,
    };
}

/** Counts what nodes sent and received: between nodes both ends count, towards endpoints and the platform one. */
function countBytes(deployment: Deployment): number {
    const peers = deployment.nodes.reduce((sum, node) => sum + node.container.get(Keys.PeerServer).countBytes(), 0);
    const endpoints = deployment.plainServices.reduce((sum, service) => sum + service.countBytes(), 0);
    return 2 * peers + endpoints + deployment.platform.countBytes();
}

function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    collect();
    return process.memoryUsage().heapUsed;
}
