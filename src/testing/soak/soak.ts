import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../common/random.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { SoakCallers } from "./soakCallers.js";
import { checkPromises } from "./soakChecks.js";
import { createSoakPlan, PlannedFault } from "./soakPlan.js";
import { evacuationLimitMilliseconds, SoakWorld } from "./soakWorld.js";

/** Time in which the system must serve again after the last fault, in milliseconds: the users' bound of 12 seconds. */
const recoveryMilliseconds = 12_000;
/** Time for which it is then watched, in milliseconds. */
const watchMilliseconds = 3_000;
/** Time for late runs of refused calls to show, in milliseconds. */
const settleMilliseconds = 1_500;
/** Time from the order to evacuate a failure domain until nothing may reach it: the limit and a second. */
const evacuationMilliseconds = evacuationLimitMilliseconds + 1_000;

/** What is soaked. */
export interface SoakOptions {
    readonly seed: number;
    /** How long faults come, in seconds. */
    readonly seconds: number;
    readonly nodes: number;
    readonly callers: number;
    /** Where settings and logs go. */
    readonly directory: string;
    /** Told of each fault as it strikes. */
    readonly reportFault: (fault: PlannedFault) => void;
}

/** How a soak ended. */
export interface SoakReport {
    readonly calls: number;
    readonly served: number;
    readonly faults: number;
    readonly broken: readonly string[];
}

/** Runs real gateways under planned faults and checks what callers, endpoints and the cloud saw. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const plan = createSoakPlan(options.seed, options.seconds * millisecondsPerSecond);
    const world = await SoakWorld.start(options.nodes, options.directory);
    const callers = SoakCallers.create(world.nodes, SeededRandom.create(options.seed + 1), `soak-${options.seed}`);
    const startedAt = performance.now();
    try {
        const calling = callers.run(options.callers);
        await Promise.all(plan.map(async fault => {
            await sleep(fault.at);
            options.reportFault(fault);
            await world.runFault(fault);
        }));
        await sleep(recoveryMilliseconds - evacuationMilliseconds);
        const evacuated = world.orderEvacuation(options.seed);
        await sleep(evacuationMilliseconds);
        const recoveredAt = performance.now() - startedAt;
        const runsBefore = world.countRunsIn(evacuated);
        await sleep(watchMilliseconds);
        const runsInEvacuated = world.countRunsIn(evacuated) - runsBefore;
        callers.stop();
        await calling;
        await sleep(settleMilliseconds);
        const eventCount = world.platform.engines[0]?.eventCount ?? 0;
        const { results } = callers;
        const broken = [
            ...checkPromises({ results, runs: world.listRuns(), duties: world.platform.cloud.calls, eventCount, recoveredAt }),
            ...world.listUnexpectedEnds(),
            ...(runsInEvacuated === 0 ? [] : [`${runsInEvacuated} requests reached ${evacuated} although it was evacuated`]),
        ];
        const served = results.filter(result => result.status === 200 && result.isWhole).length;
        return { calls: results.length, served, faults: plan.length, broken };
    }
    finally {
        world.nodes.forEach(node => writeFileSync(world.getLogFile(node), node.process.readLog()));
        await world.stop();
    }
}
