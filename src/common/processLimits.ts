import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";

/** Descriptors for everything but connections of callers: listeners, files, the store. */
const reservedDescriptors = 200;
/** Share of the other descriptors that connections of callers may take; the rest is for endpoints and peers. */
const callerShareOfDescriptors = 0.75;
const leastConnections = 16;

/** Returns the memory that the process may use, in bytes: the least of its host's, its control group's and the runtime's heap limit. */
export function readMemoryLimit(): number {
    // The runtime reports 0, or a number beyond any host's memory, where there is no limit.
    const constrained = process.constrainedMemory() || Infinity;
    return Math.min(constrained, totalmem(), getHeapStatistics().heap_size_limit);
}

/** Returns the number of descriptors that the process may have open; Infinity where the system does not tell. */
export function readDescriptorLimit(): number {
    try {
        const match = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "utf8"));
        return Number(match?.[1] ?? Infinity);
    }
    catch {
        // Not a Linux system, or its process information is hidden.
        return Infinity;
    }
}

/** Returns the number of callers' connections that a process with a number of descriptors keeps open. */
export function computeConnectionLimit(descriptors: number): number {
    return Math.max(leastConnections, Math.floor((descriptors - reservedDescriptors) * callerShareOfDescriptors));
}
