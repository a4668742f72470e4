import { ChildProcess, fork } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createDefaultTeams, Deployment } from "../testing/deployment.js";
import { GroupReading, NodeStarted } from "./controlProcess.js";
import { Bench, BenchFields, BenchResult } from "./types.js";

const sizes = [8, 32, 64, 128];
const designedNodes = 350;
const designedEndpoints = 600;
const domains = ["a", "b", "c", "d", "e", "f"];
const settleMilliseconds = 8_000;
const measuredMilliseconds = 10_000;
const bytesPerMebibyte = 1_048_576;
/** Nodes in one process, so that no process is short of a core. */
const nodesPerProcess = 16;

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
    const endpoints = Math.round(nodes * designedEndpoints / designedNodes / used.length);
    const deployment = await Deployment.create({
        domains: used,
        nodesPerDomain: 0,
        enginesPerDomain: 0,
        plainPerDomain: endpoints,
        teams: createDefaultTeams(),
    });
    const groups = await startNodeProcesses(deployment, used, nodes);
    await sleep(settleMilliseconds);
    const before = await readGroups(groups);
    const callsBefore = { ...deployment.platform.callCounts };
    const outsideBefore = countOutsideBytes(deployment);
    const startedAt = performance.now();
    await sleep(measuredMilliseconds);
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readGroups(groups);
    const calls = deployment.platform.callCounts;
    const outside = countOutsideBytes(deployment) - outsideBefore;
    groups.forEach(group => group.kill("SIGKILL"));
    await deployment.stop();
    // Between nodes, one's sent byte is another's received one: both count.
    const bytes = 2 * (after.peerBytes - before.peerBytes) + outside;
    return {
        nodes,
        bytesPerSecond: bytes / seconds / nodes,
        coreShare: (after.cpuSeconds - before.cpuSeconds) / seconds / nodes,
        mebibytes: after.heapBytes / bytesPerMebibyte / nodes,
        writesPerSecond: (calls.writes - callsBefore.writes) / seconds,
        readsPerSecond: (calls.reads - callsBefore.reads) / seconds,
    };
}

/** Starts the nodes, a few in each process, and shows them in the host list. */
async function startNodeProcesses(deployment: Deployment, used: readonly string[], nodes: number): Promise<ChildProcess[]> {
    const groups: ChildProcess[] = [];
    for (let first = 0; first < nodes; first += nodesPerProcess) {
        const members = Array.from({ length: Math.min(nodesPerProcess, nodes - first) }, (_value, index) => {
            const name = `node-${first + index + 1}`;
            return { name, domain: used[(first + index) % used.length] as string, platformUrl: deployment.platform.getUrl(name) };
        });
        const child = fork(fileURLToPath(new URL("./controlProcess.js", import.meta.url)), [JSON.stringify(members)], { stdio: "inherit" });
        const started = await waitForMessage<NodeStarted[]>(child);
        for (const [index, node] of started.entries()) {
            const member = members[index];
            deployment.platform.hosts.push({
                name: node.name,
                role: "entry",
                failure_domain: member?.domain ?? "",
                address: node.address,
                state: "live",
            });
        }
        groups.push(child);
    }
    deployment.platform.publishHosts();
    return groups;
}

async function readGroups(groups: readonly ChildProcess[]): Promise<GroupReading> {
    const readings = await Promise.all(groups.map(group => {
        const reading = waitForMessage<GroupReading>(group);
        group.send("read");
        return reading;
    }));
    return {
        cpuSeconds: readings.reduce((sum, reading) => sum + reading.cpuSeconds, 0),
        heapBytes: readings.reduce((sum, reading) => sum + reading.heapBytes, 0),
        peerBytes: readings.reduce((sum, reading) => sum + reading.peerBytes, 0),
    };
}

function waitForMessage<T>(child: ChildProcess): Promise<T> {
    return new Promise(resolve => child.once("message", message => resolve(message as T)));
}

function countOutsideBytes(deployment: Deployment): number {
    return deployment.plainServices.reduce((sum, service) => sum + service.countBytes(), 0) + deployment.platform.countBytes();
}
