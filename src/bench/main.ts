import { Args, Command, Flags } from "@oclif/core";
import { benches } from "./benches.js";
import { BenchResult, isWithinBounds } from "./types.js";

const decimals = 1_000;

/** Runs one bench and prints its result as the last line, in JSON. */
class BenchCommand extends Command {
    static override description = `Runs a measurement: ${benches.map(bench => bench.name).join(", ")}.`;
    static override args = {
        name: Args.string({ description: "name of the bench", required: true, options: benches.map(bench => bench.name) }),
    };
    static override flags = { quiet: Flags.boolean({ description: "print only the JSON line" }) };

    async run(): Promise<void> {
        const { args, flags } = await this.parse(BenchCommand);
        const bench = benches.find(candidate => candidate.name === args.name);
        if (bench === undefined) {
            return;
        }
        if (!flags.quiet) {
            this.logToStderr(bench.description);
        }
        const result = await bench.run();
        const holds = isWithinBounds(result);
        this.log(JSON.stringify(createLine(bench.name, result, holds)));
        process.exit(holds ? 0 : 1);
    }
}

function createLine(name: string, result: BenchResult, holds: boolean): Record<string, unknown> {
    const line: Record<string, unknown> = { bench: name };
    for (const [key, value] of Object.entries(result.fields)) {
        line[key] = typeof value === "number" ? Math.round(value * decimals) / decimals : value;
    }
    Object.entries(result.atMost).forEach(([key, bound]) => (line[`${key}_at_most`] = bound));
    Object.entries(result.atLeast).forEach(([key, bound]) => (line[`${key}_at_least`] = bound));
    return { ...line, holds };
}

await BenchCommand.run(process.argv.slice(2), import.meta.url);
