import { Args } from "@oclif/core";
import { createDiagnostic, Diagnostics, formatDiagnostic } from "../../common/diagnostics.js";
import { BaseCommand, operatorFlags } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

/** `corianderward endpoint drain`. */
export class EndpointDrainCommand extends BaseCommand {
    static override description = "Sends an endpoint no new work and moves its streams to others.";
    static override examples = ["<%= config.bin %> endpoint drain engine-3"];
    static override args = { name: Args.string({ description: "name of the endpoint", required: true }) };
    static override flags = { ...operatorFlags };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(EndpointDrainCommand);
        const answer = await this.createOperatorClient(flags).drainEndpoint(args.name);
        if (answer.err) {
            this.failWith(answer.val.wasAnswered ? ExitCode.BadInput : ExitCode.Unreachable, [answer.val.diagnostic]);
        }
        this.log(formatDiagnostic(createDiagnostic(Diagnostics.Endpoint_0_is_draining, args.name)));
        return { endpoint: args.name, state: "leaving" };
    }
}
