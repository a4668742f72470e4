import { Args, Flags } from "@oclif/core";
import { existsSync } from "node:fs";
import { createDiagnostic, createFileDiagnostic, Diagnostic, Diagnostics, formatDiagnostic } from "../../common/diagnostics.js";
import { checkFaults, EmbeddedTarget } from "../../replay/embeddedTarget.js";
import { compareOutcomes, JudgedOutcome, readOutcomes, StatedOutcome } from "../../replay/outcomes.js";
import { replayTrace } from "../../replay/playTrace.js";
import { Quantiles, ReplayReport } from "../../replay/report.js";
import { readTrace } from "../../replay/traceReader.js";
import { Trace } from "../../replay/types.js";
import { BaseCommand } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

/** Runs a trace against the embedded deployment and prints the judged report. */
export abstract class ReplayingCommand extends BaseCommand {
    /** Reads a trace, or ends the command with every line that cannot be read. */
    protected readTraceFile(file: string): Trace {
        const trace = readTrace(file);
        if (trace.err) {
            this.failWith(ExitCode.BadInput, trace.val);
        }
        const checked = checkFaults(trace.val);
        if (checked.err) {
            this.failWith(ExitCode.BadInput, [createFileDiagnostic(file, undefined, Diagnostics.Trace_line_cannot_be_read_0, checked.val)]);
        }
        return trace.val;
    }

    /** Reads stated outcomes, or ends the command with every fault. */
    protected readOutcomesFile(file: string): StatedOutcome[] {
        const outcomes = readOutcomes(file);
        if (outcomes.err) {
            this.failWith(ExitCode.BadInput, outcomes.val);
        }
        return outcomes.val;
    }

    /** Plays a trace and judges it; ends the command when an outcome fails. */
    protected async playAndJudge(trace: Trace, outcomes: readonly StatedOutcome[], outcomesFile: string, seed: number): Promise<unknown> {
        this.startProgress(`Replaying ${trace.head.name}`);
        const target = await EmbeddedTarget.create(trace, seed);
        if (target.err) {
            this.failWith(ExitCode.BadInput, target.val);
        }
        const report = await replayTrace(trace, target.val, seed);
        await target.val.stop();
        this.endProgress("done");
        const judged = compareOutcomes(outcomes, report);
        if (!this.jsonEnabled()) {
            this.printReport(report, judged);
        }
        return this.settle(report, judged, outcomesFile);
    }

    private settle(report: ReplayReport, judged: readonly JudgedOutcome[], outcomesFile: string): unknown {
        const failed = judged.filter(entry => !entry.holds);
        const holds = failed.length === 0;
        const result = {
            holds,
            outcomes: judged.map(entry => ({ name: entry.outcome.name, bound: entry.outcome.bound, seen: entry.seen, holds: entry.holds })),
            report,
        };
        if (holds) {
            this.logToStderr(formatDiagnostic(createDiagnostic(Diagnostics.Every_outcome_holds)));
            return result;
        }
        this.printDiagnostics(failed.map(entry => createOutcomeDiagnostic(entry, outcomesFile)));
        return this.endWith(ExitCode.Failed, result);
    }

    private printReport(report: ReplayReport, judged: readonly JudgedOutcome[]): void {
        this.log(`${report.trace}, seed ${report.seed}`);
        this.printTable(["measure", "seen"], [
            ["requests", String(report.requests)],
            ["accepted", String(report.accepted)],
            ["finished", String(report.finished)],
            ["refused, not run", String(report.refusedNotRun)],
            ["told that it may have run", String(report.toldMayHaveRun)],
            ["failed after acceptance", String(report.failed)],
            ["lost", String(report.lost)],
            ["refusals followed", String(report.refusalsFollowed)],
            ["duplicated effects", String(report.duplicatedEffects)],
            ["incomplete or crossed answers", String(report.incompleteOrCrossed)],
            ["untrue refusals", String(report.untrueRefusals)],
            ["endpoints ended by requests", String(report.endpointsKilledByRequests)],
            ["last work sent to a leaving endpoint", `${report.longestWorkAfterLeavingSeconds.toFixed(2)} s`],
            ["tokens generated", String(report.tokensGenerated)],
            ["tokens recomputed", String(report.tokensRecomputed)],
            ["host cost", report.hostCost.toFixed(4)],
            ["moves completed / taken back", `${report.movesCompleted} / ${report.movesTakenBack}`],
        ]);
        this.printTable(
            ["service", "requests", "finished", "refused", "first token p50/p95/p99 ms", "between tokens p50/p95/p99 ms"],
            report.services.map(service => [
                service.service,
                String(service.requests),
                String(service.finished),
                String(service.refused),
                formatQuantiles(service.firstToken),
                formatQuantiles(service.betweenTokens),
            ]),
        );
        if (judged.length > 0) {
            this.printTable(
                ["outcome", "bound", "seen", "holds"],
                judged.map(entry => [entry.outcome.name, String(entry.outcome.bound), formatSeen(entry.seen), entry.holds ? "yes" : "NO"]),
            );
        }
        report.problems.forEach(problem => this.log(problem));
    }
}

function createOutcomeDiagnostic(entry: JudgedOutcome, file: string): Diagnostic {
    const expected = `${entry.outcome.isUpperBound ? "at most" : "at least"} ${entry.outcome.bound}`;
    return createFileDiagnostic(
        file,
        entry.outcome.line,
        Diagnostics.Outcome_0_failed_expected_1_saw_2,
        entry.outcome.name,
        expected,
        formatSeen(entry.seen),
    );
}

function formatSeen(seen: number | undefined): string {
    return seen === undefined ? "nothing measured" : String(Math.round(seen * 1_000) / 1_000);
}

function formatQuantiles(quantiles: Quantiles): string {
    if (quantiles.count === 0) {
        return "-";
    }
    return [quantiles.p50, quantiles.p95, quantiles.p99].map(value => (value ?? 0).toFixed(1)).join(" / ");
}

/** `corianderward replay`. */
export class ReplayCommand extends ReplayingCommand {
    static override description = "Replays a recorded trace and judges the run by a file of stated outcomes.";
    static override examples = [
        "<%= config.bin %> replay traces/recall-desk.jsonl",
        "<%= config.bin %> replay traces/register.jsonl --outcomes my.outcomes.ini --seed 7 --json",
    ];
    static override args = { trace: Args.string({ description: "trace file (JSON lines)", required: true }) };
    static override flags = {
        outcomes: Flags.string({ description: "file of stated outcomes; the one beside the trace by default" }),
        seed: Flags.integer({ description: "seed of the stand-ins", default: 1 }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(ReplayCommand);
        const trace = this.readTraceFile(args.trace);
        const beside = args.trace.replace(/\.jsonl$/, ".outcomes.ini");
        const file = flags.outcomes ?? beside;
        const isGiven = flags.outcomes !== undefined || existsSync(beside);
        const outcomes = isGiven ? this.readOutcomesFile(file) : [];
        return this.playAndJudge(trace, outcomes, file, flags.seed);
    }
}
