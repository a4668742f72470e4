import { fileURLToPath } from "node:url";
import { ReplayingCommand } from "./replay.js";

const demoTrace = "../../../../traces/demo.jsonl";
const demoOutcomes = "../../../../traces/demo.outcomes.ini";

/** `corianderward demo`. */
export class DemoCommand extends ReplayingCommand {
    static override description =
        "Starts stand-ins and three failure domains in this process, and replays a short trace of the recall desk with faults in it.";
    static override examples = ["<%= config.bin %> demo"];

    async run(): Promise<unknown> {
        await this.parse(DemoCommand);
        const trace = this.readTraceFile(fileURLToPath(new URL(demoTrace, import.meta.url)));
        const outcomesFile = fileURLToPath(new URL(demoOutcomes, import.meta.url));
        return this.playAndJudge(trace, this.readOutcomesFile(outcomesFile), outcomesFile, 1);
    }
}
