import { Command, Flags } from "@oclif/core";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { millisecondsPerMinute, millisecondsPerSecond } from "../../common/units.js";
import { regressionSeeds } from "./regressionSeeds.js";
import { runSoak } from "./soak.js";

/** `npm run soak`: real gateways under seeded faults. */
class SoakCommand extends Command {
    static override description = "Runs gateways as processes under seeded faults and checks their promises while callers use them.";
    static override examples = ["npm run soak -- --seed 7 --minutes 2"];
    static override flags = {
        seed: Flags.integer({ description: "what decides every fault; without it one is drawn" }),
        seeds: Flags.integer({ description: "how many seeds to run, one after the other", default: 1, min: 1 }),
        minutes: Flags.string({ description: "how long faults come, for each seed", default: "0.5" }),
        nodes: Flags.integer({ description: "gateways", default: 4, min: 1, max: 40 }),
        callers: Flags.integer({ description: "callers", default: 8, min: 1, max: 200 }),
        regressions: Flags.boolean({ description: "run the seeds that once broke a promise instead" }),
        quiet: Flags.boolean({ description: "do not name each fault" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(SoakCommand);
        const seconds = Number(flags.minutes) * millisecondsPerMinute / millisecondsPerSecond;
        if (!Number.isFinite(seconds) || seconds <= 0) {
            this.error(`--minutes ${flags.minutes} is not a time.`, { exit: 2 });
        }
        if (flags.regressions) {
            return this.runRegressions(flags);
        }
        const first = flags.seed ?? Date.now() % 1_000_000;
        let brokenSeeds = 0;
        for (let seed = first; seed < first + flags.seeds; seed += 1) {
            brokenSeeds += await this.runSeed(seed, seconds, flags) ? 0 : 1;
        }
        process.exit(brokenSeeds === 0 ? 0 : 1);
    }

    private async runRegressions(flags: { nodes: number; callers: number; quiet: boolean; }): Promise<void> {
        let brokenSeeds = 0;
        for (const { seed, minutes, cause } of regressionSeeds) {
            this.log(`seed ${seed}, once: ${cause}`);
            const seconds = minutes * millisecondsPerMinute / millisecondsPerSecond;
            brokenSeeds += await this.runSeed(seed, seconds, flags) ? 0 : 1;
        }
        process.exit(brokenSeeds === 0 ? 0 : 1);
    }

    private async runSeed(seed: number, seconds: number, flags: { nodes: number; callers: number; quiet: boolean; }): Promise<boolean> {
        const directory = join(tmpdir(), `corianderward-soak-${seed}-${process.pid}`);
        const report = await runSoak({
            seed,
            seconds,
            nodes: flags.nodes,
            callers: flags.callers,
            directory,
            reportFault: fault =>
                flags.quiet || this.log(`${(fault.at / millisecondsPerSecond).toFixed(1)} s ${fault.kind} for ${fault.duration} ms`),
        });
        this.log(
            `seed ${seed}: ${report.faults} faults, ${report.calls} calls, ${report.served} served, ${report.broken.length} promises broken`,
        );
        report.broken.forEach(text => this.log(`  ${text}`));
        if (report.broken.length > 0) {
            this.log(`  logs: ${directory}`);
        }
        return report.broken.length === 0;
    }
}

await SoakCommand.run(process.argv.slice(2), import.meta.url);
