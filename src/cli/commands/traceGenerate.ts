import { Args, Flags } from "@oclif/core";
import { createRecallDeskRecipe, createRegisterRecipe, generateTrace } from "../../replay/traceGenerator.js";
import { BaseCommand } from "../baseCommand.js";

/** `corianderward trace generate`. */
export class TraceGenerateCommand extends BaseCommand {
    static override description = "Generates a trace of one of the two deployments; the same seed gives the same trace.";
    static override examples = [
        "<%= config.bin %> trace generate recall-desk --seconds 40 --services ../examples/recall-desk/services --out traces/recall-desk.jsonl",
    ];
    static override args = { deployment: Args.string({ description: "deployment", options: ["recall-desk", "register"], required: true }) };
    static override flags = {
        seconds: Flags.integer({ description: "length of the trace", default: 40, min: 1, max: 86_400 }),
        seed: Flags.integer({ description: "seed", default: 1 }),
        services: Flags.string({ description: "directory of the service files, relative to the trace", required: true }),
        out: Flags.string({ description: "file to write", required: true }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(TraceGenerateCommand);
        const createRecipe = args.deployment === "recall-desk" ? createRecallDeskRecipe : createRegisterRecipe;
        const text = generateTrace(createRecipe(flags.seconds, flags.services), flags.seed);
        this.writeOutput(flags.out, text);
        const lines = text.split("\n").length - 1;
        this.log(`${flags.out}: ${lines} lines`);
        return { file: flags.out, lines };
    }
}
