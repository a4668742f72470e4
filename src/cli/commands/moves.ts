import { Args, Flags } from "@oclif/core";
import { createDiagnostic, Diagnostics } from "../../common/diagnostics.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { MoveRecord } from "../../control/moves/moveRecord.js";
import { MoveStatus, moveStatusSchema } from "../../operators/queries/moveStatus.js";
import { BaseCommand, operatorFlags } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";
import { OperatorFailure } from "../operatorClient.js";

const serviceArgument = Args.string({ description: "name of the service", required: true });

/** What the commands about moves share. */
abstract class MoveCommand extends BaseCommand {
    protected failWithAnswer(failure: OperatorFailure): never {
        this.failWith(failure.wasAnswered ? ExitCode.BadInput : ExitCode.Unreachable, [failure.diagnostic]);
    }

    protected printRecord(record: MoveRecord): void {
        this.log(
            `${record.service}: ${record.from} -> ${record.to}, ${record.state}, share ${
                formatShare(record.share)
            }, ${record.reason} ${record.detail}`.trim(),
        );
        this.log(`deadline ${new Date(record.deadline).toISOString()}`);
    }
}

function formatShare(share: number): string {
    return `${Math.round(share * 1_000) / 10} %`;
}

/** `corianderward move start`. */
export class MoveStartCommand extends MoveCommand {
    static override description = "Starts moving a service's traffic to another version, to be completed or taken back by a deadline.";
    static override examples = [
        "<%= config.bin %> move start lookup --to v2 --deadline 2026-12-24T18:00:00Z",
        "<%= config.bin %> move start lookup --to v2 --within-seconds 600",
    ];
    static override args = { service: serviceArgument };
    static override flags = {
        ...operatorFlags,
        to: Flags.string({ description: "version to move to", required: true }),
        deadline: Flags.string({ description: "date and time of the deadline", exactlyOne: ["deadline", "within-seconds"] }),
        "within-seconds": Flags.integer({ description: "deadline as seconds from now", min: 1 }),
        replace: Flags.boolean({ description: "take back a move that runs and start this one in its place" }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(MoveStartCommand);
        const within = flags["within-seconds"];
        const deadline = within === undefined ? Date.parse(flags.deadline ?? "") : Date.now() + within * millisecondsPerSecond;
        if (Number.isNaN(deadline)) {
            const allowed = "a date and time such as 2026-12-24T18:00:00Z";
            this.failWith(ExitCode.BadInput, [
                createDiagnostic(Diagnostics.Value_0_of_key_1_is_not_allowed_2, flags.deadline ?? "", "deadline", allowed),
            ]);
        }
        const body = { to: flags.to, deadline, replace: flags.replace };
        const answer = await this.createOperatorClient(flags).send("POST", `v1/moves/${encodeURIComponent(args.service)}`, body);
        if (answer.err) {
            this.failWithAnswer(answer.val);
        }
        this.printRecord(answer.val as MoveRecord);
        return answer.val;
    }
}

/** `corianderward move abort`. */
export class MoveAbortCommand extends MoveCommand {
    static override description = "Aborts the running move of a service: the old version gets all traffic again.";
    static override examples = ["<%= config.bin %> move abort lookup"];
    static override args = { service: serviceArgument };
    static override flags = { ...operatorFlags };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(MoveAbortCommand);
        const answer = await this.createOperatorClient(flags).send("POST", `v1/moves/${encodeURIComponent(args.service)}/abort`);
        if (answer.err) {
            this.failWithAnswer(answer.val);
        }
        this.printRecord(answer.val as MoveRecord);
        return answer.val;
    }
}

/** `corianderward move show`. */
export class MoveShowCommand extends MoveCommand {
    static override description = "Shows the last move of a service: its state, each step with its reason, and the evidence.";
    static override examples = ["<%= config.bin %> move show lookup"];
    static override args = { service: serviceArgument };
    static override flags = { ...operatorFlags };

    async run(): Promise<MoveStatus> {
        const { args, flags } = await this.parse(MoveShowCommand);
        const answer = await this.createOperatorClient(flags).send("GET", `v1/moves/${encodeURIComponent(args.service)}`);
        if (answer.err) {
            this.failWithAnswer(answer.val);
        }
        const status = moveStatusSchema.parse(answer.val);
        if (!this.jsonEnabled()) {
            this.printStatus(status);
        }
        return status;
    }

    private printStatus(status: MoveStatus): void {
        const { record } = status;
        this.printRecord(record);
        this.printTable(
            ["at", "share", "reason", "attempts at the new version", "failures"],
            record.steps.map(step => [
                new Date(step.at).toISOString(),
                formatShare(step.share),
                step.reason,
                String(step.trials),
                String(step.failures),
            ]),
        );
        this.printTable(
            ["version", "attempts", "failures", "slow first tokens", "slow between tokens", "incomplete"],
            [createCountRow(record.from, status.old_version), createCountRow(record.to, status.new_version)],
        );
        this.log(
            `evidence against ${record.to}: ${formatShare(status.evidence)} of the bound; share at this node: ${
                formatShare(status.share_here)
            }`,
        );
        if (record.unconfirmed_domains.length > 0) {
            this.log(`failure domains that could not confirm the end: ${record.unconfirmed_domains.join(", ")}`);
        }
    }
}

function createCountRow(version: string, counts: MoveStatus["new_version"]): string[] {
    return [version, counts.trials, counts.failures, counts.slow_first_tokens, counts.slow_gaps, counts.incomplete].map(String);
}
