import { Args, Flags } from "@oclif/core";
import { PlacementExplanation } from "../../gateway/placementExplainer.js";
import { BaseCommand } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";
import { OperatorClient } from "../operatorClient.js";

type ExplainedService = PlacementExplanation["services"][number];

/** `corianderward routes explain`. */
export class RouteExplainCommand extends BaseCommand {
    static override description = "Explains where a gateway would send a request now, and why, without sending it.";
    static override examples = [
        "<%= config.bin %> routes explain desk.example /lookup/7 --gateway http://10.0.0.1:7500",
        "<%= config.bin %> routes explain desk.example /question/1 --input-tokens 2400 --parts a1f0:600 --json",
    ];
    static override args = {
        host: Args.string({ description: "host of the request", required: true }),
        path: Args.string({ description: "path of the request", required: true }),
    };
    static override flags = {
        "gateway": Flags.string({
            char: "g",
            description: "URL of a gateway's metrics listener",
            env: "CORIANDERWARD_GATEWAY",
            default: "http://127.0.0.1:7500",
        }),
        "team": Flags.string({ description: "team of the caller" }),
        "deadline": Flags.integer({ description: "milliseconds that the caller waits; the route's time limit without it", min: 1 }),
        "input-tokens": Flags.integer({ description: "tokens of the prompt", min: 0 }),
        "output-tokens": Flags.integer({ description: "most tokens of the response", min: 0 }),
        "parts": Flags.string({ description: "leading parts of the prompt that are shared, as id:tokens,id:tokens" }),
    };

    async run(): Promise<PlacementExplanation> {
        const { args, flags } = await this.parse(RouteExplainCommand);
        const answer = await OperatorClient.create(flags.gateway, undefined).fetchPlacement({
            host: args.host,
            path: args.path,
            team: flags.team,
            deadline: flags.deadline,
            inputTokens: flags["input-tokens"],
            outputTokens: flags["output-tokens"],
            parts: flags.parts,
        });
        if (answer.err) {
            this.failWith(answer.val.wasAnswered ? ExitCode.BadInput : ExitCode.Unreachable, [answer.val.diagnostic]);
        }
        const explanation = answer.val;
        if (!this.jsonEnabled()) {
            const { node, route, kind, rank, attempts, configuration } = explanation;
            this.log(`${node}: route ${route} (${kind}), rank ${rank}, attempts ${attempts}, configuration ${configuration}`);
            explanation.services.forEach(service => this.printService(service));
        }
        return explanation;
    }

    private printService({ service, share, chosen, refusal, longestWait, endpoints }: ExplainedService): void {
        const outcome = chosen === undefined ? `refused: ${refusal ?? ""}` : `to ${chosen}`;
        this.log(`${service} (${Math.round(share * 100)} % of the route): ${outcome}; may wait for ${Math.round(longestWait)} ms`);
        this.printTable(
            ["endpoint", "domain", "version", "why not", "cost", "fixed", "expected ms", "to read", "copy from", "load", "slowness"],
            endpoints.map(endpoint => [
                endpoint.id,
                endpoint.failureDomain,
                endpoint.version,
                endpoint.obstacle ?? (endpoint.isUnhealthy ? "(unhealthy)" : ""),
                formatCost(endpoint.cost),
                formatCost(endpoint.fixedCost),
                formatCost(endpoint.expectedTime),
                formatCost(endpoint.tokensToRead),
                endpoint.cacheSource ?? "",
                `${endpoint.requests}/${endpoint.slots}`,
                endpoint.slowness.toFixed(1),
            ]),
        );
    }
}

function formatCost(cost: number | undefined): string {
    return cost === undefined ? "" : String(Math.round(cost));
}
