import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createSilentLogger } from "../common/logging.js";
import { formatAddress } from "../config/sectionReader.js";
import { createNodeContainer } from "../node/composition.js";
import { CorianderNode } from "../node/corianderNode.js";
import { Keys, replaceBinding } from "../node/keys.js";
import { createTestSettings } from "../testing/deployment.js";

/** A node that a process has started. */
export interface NodeStarted {
    readonly name: string;
    readonly address: string;
}

/** What the nodes of a process have used so far. */
export interface GroupReading {
    readonly cpuSeconds: number;
    /** Heap in use by the nodes' state, beyond what the process had before it created them. */
    readonly heapBytes: number;
    readonly peerBytes: number;
}

interface NodeRequest {
    readonly name: string;
    readonly domain: string;
    readonly platformUrl: string;
}

const microsecondsPerSecond = 1_000_000;
const nodes: CorianderNode[] = [];

/** Starts nodes with the daemon's default times, and answers readings until it is ended. */
async function main(requests: readonly NodeRequest[]): Promise<void> {
    const heapBefore = measureHeap();
    const started: NodeStarted[] = [];
    for (const request of requests) {
        const settings = createTestSettings(request.name, request.domain, "home", request.platformUrl);
        const timing = {
            ...settings.timing,
            exchangeInterval: 1_000,
            hostListInterval: 1_000,
            loadInterval: 1_000,
            leaseTerm: 5_000,
            peerSilence: 4_000,
            platformTimeout: 2_000,
            watchSilence: 3_000,
        };
        const container = createNodeContainer({ ...settings, timing });
        replaceBinding(container, Keys.Logger, createSilentLogger());
        const node = CorianderNode.create({ ...settings, timing }, container);
        const addresses = await node.start();
        nodes.push(node);
        started.push({ name: request.name, address: formatAddress(addresses.peers) });
    }
    process.on("message", () => process.send?.(readGroup(heapBefore)));
    process.send?.(started);
}

function readGroup(heapBefore: number): GroupReading {
    const cpu = process.cpuUsage();
    return {
        cpuSeconds: (cpu.user + cpu.system) / microsecondsPerSecond,
        heapBytes: measureHeap() - heapBefore,
        peerBytes: nodes.reduce((sum, node) => sum + node.container.get(Keys.PeerServer).countBytes(), 0),
    };
}

function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    collect();
    return process.memoryUsage().heapUsed;
}

if (process.send !== undefined) {
    await main(JSON.parse(process.argv[2] ?? "[]") as NodeRequest[]);
}
