import { Args, Flags } from "@oclif/core";
import { readFileSync } from "node:fs";
import { createDiagnostic, Diagnostics } from "../../common/diagnostics.js";
import { describeError } from "../../common/failure.js";
import { LogEvents } from "../../common/logEvents.js";
import { computeSummary, findRequest, formatLogLine, ParsedLogs, readLogLines } from "../../logs/logReader.js";
import { BaseCommand } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

const fileArgument = Args.string({ description: "file with log lines; more may follow", required: true });

abstract class LogsCommand extends BaseCommand {
    protected readFiles(files: readonly string[]): ParsedLogs {
        const texts = files.map(file => {
            try {
                return readFileSync(file, "utf8");
            }
            catch (error) {
                return this.failWith(ExitCode.BadInput, [
                    createDiagnostic(Diagnostics.File_0_cannot_be_read_1, file, describeError(error)),
                ]);
            }
        });
        return readLogLines(texts);
    }
}

/** `corianderward logs explain`. */
export class LogsExplainCommand extends LogsCommand {
    static override description =
        "Follows one request through the logs of several nodes: what happened to it, and what its nodes believed at the time.";
    static override examples = ["<%= config.bin %> logs explain 9c41d07be2a35f68 node-1.log node-2.log"];
    static override strict = false;
    static override args = {
        request: Args.string({ description: "the caller's id of the attempt", required: true }),
        file: fileArgument,
    };

    async run(): Promise<unknown> {
        const { args, argv } = await this.parse(LogsExplainCommand);
        const logs = this.readFiles((argv as string[]).slice(1));
        const explained = findRequest(logs.lines, args.request);
        if (explained === undefined) {
            return this.failWith(ExitCode.Failed, [createDiagnostic(Diagnostics.No_line_names_request_0, args.request, logs.lines.length)]);
        }
        this.log("What happened:");
        explained.events.forEach(event => this.log(`  ${formatLogLine(event)}`));
        this.log("What its nodes believed:");
        explained.beliefs.forEach(belief => this.log(`  ${formatLogLine(belief)}`));
        return explained;
    }
}

/** `corianderward logs summary`. */
export class LogsSummaryCommand extends LogsCommand {
    static override description = "Counts refusals and failures by cause, and lists what changed state, when and on which node.";
    static override examples = ["<%= config.bin %> logs summary node-*.log", "<%= config.bin %> logs summary --changes day.log"];
    static override strict = false;
    static override args = { file: fileArgument };
    static override flags = { changes: Flags.boolean({ description: "list what changed state" }) };

    async run(): Promise<unknown> {
        const { argv, flags } = await this.parse(LogsSummaryCommand);
        const logs = this.readFiles(argv as string[]);
        const summary = computeSummary(logs.lines);
        this.printTable(
            ["requests", "outcome", "cause"],
            summary.causes.map(entry => [String(entry.requests), entry.outcome, entry.cause]),
        );
        this.log(
            `${logs.lines.length} lines read, ${summary.linesLeftOut} left out when they were written, ${logs.unreadable} not readable.`,
        );
        if (flags.changes) {
            summary.changes.forEach(change => this.log(formatLogLine(change)));
        }
        return summary;
    }
}

/** `corianderward logs kinds`. */
export class LogsKindsCommand extends BaseCommand {
    static override description = "Lists every kind of log line with its level, its bound and what it tells.";
    static override examples = ["<%= config.bin %> logs kinds"];

    async run(): Promise<unknown> {
        await this.parse(LogsKindsCommand);
        const kinds = Object.values(LogEvents);
        this.printTable(
            ["kind", "level", "lines a second", "tells"],
            kinds.map(kind => [kind.name, kind.level, String(kind.linesPerSecond), kind.description]),
        );
        return kinds;
    }
}
