import { Args } from "@oclif/core";
import { RequestExplanation } from "../../requests/requestRecord.js";
import { BaseCommand, operatorFlags } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

/** `corianderward request explain`. */
export class RequestExplainCommand extends BaseCommand {
    static override description = "Shows what happened to a request: its attempts, hops and verdict.";
    static override examples = ["<%= config.bin %> request explain 01a23ee7-f998-74ed-9210-142c92f577e8"];
    static override args = { id: Args.string({ description: "request id, from the x-request-id header", required: true }) };
    static override flags = { ...operatorFlags };

    async run(): Promise<RequestExplanation> {
        const { args, flags } = await this.parse(RequestExplainCommand);
        const answer = await this.createOperatorClient(flags).explainRequest(args.id);
        if (answer.err) {
            this.failWith(answer.val.wasAnswered ? ExitCode.BadInput : ExitCode.Unreachable, [answer.val.diagnostic]);
        }
        const explanation = answer.val;
        if (!this.jsonEnabled()) {
            this.log(
                `${explanation.id}: ${explanation.outcome}, verdict ${explanation.verdict}, ${explanation.tokens} tokens ${explanation.text}`
                    .trim(),
            );
            this.log(`team ${explanation.team}, service ${explanation.service}, arrived ${new Date(explanation.arrivedAt).toISOString()}`);
            this.log(`hops: ${explanation.hops.join(" -> ") || "none"}`);
            this.printTable(
                ["attempt", "endpoint", "version", "from token", "outcome", "verdict", "took", "text"],
                explanation.attempts.map((attempt, index) => [
                    String(index + 1),
                    attempt.endpoint,
                    attempt.version,
                    String(attempt.startOffset),
                    attempt.outcome,
                    attempt.verdict,
                    attempt.endedAt === undefined ? "running" : `${attempt.endedAt - attempt.startedAt} ms`,
                    attempt.text,
                ]),
            );
        }
        return explanation;
    }
}
