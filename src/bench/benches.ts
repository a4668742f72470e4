import { configSpreadBench } from "./configSpreadBench.js";
import { controlBench } from "./controlBench.js";
import { movesBench } from "./movesBench.js";
import { overheadBench } from "./overheadBench.js";
import { overloadBench } from "./overloadBench.js";
import { reclaimBench } from "./reclaimBench.js";
import { relayBench } from "./relayBench.js";
import { Bench } from "./types.js";

/** Every bench, by its name. */
export const benches: readonly Bench[] = [
    overheadBench,
    relayBench,
    reclaimBench,
    configSpreadBench,
    controlBench,
    movesBench,
    overloadBench,
];
