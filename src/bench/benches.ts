import { movesBench } from "./movesBench.js";
import { overheadBench } from "./overheadBench.js";
import { relayBench } from "./relayBench.js";
import { Bench } from "./types.js";

/** Every bench, by its name. */
export const benches: readonly Bench[] = [overheadBench, relayBench, movesBench];
