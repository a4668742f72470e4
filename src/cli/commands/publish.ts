import { Args, Flags } from "@oclif/core";
import { setTimeout as sleep } from "node:timers/promises";
import { createDiagnostic, Diagnostic, Diagnostics, formatDiagnostic } from "../../common/diagnostics.js";
import { millisecondsPerSecond } from "../../common/units.js";
import { TeamConfiguration } from "../../config/types.js";
import { NodeStatus } from "../../operators/queries/nodeStatus.js";
import { operatorFlags, platformFlags } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";
import { OperatorClient } from "../operatorClient.js";
import { PublishedTeam, Publisher } from "../publisher.js";
import { ServiceFilesCommand } from "./check.js";

const pollMilliseconds = 100;

interface InForce {
    readonly nodes: number;
    readonly inForce: readonly string[];
    readonly missing: readonly string[];
    readonly unasked: readonly { readonly node: string; readonly silentMilliseconds: number | undefined; }[];
}

/** `corianderward publish`. */
export class PublishCommand extends ServiceFilesCommand {
    static override description = "Checks service files and publishes them, one object a team.";
    static override examples = [
        "<%= config.bin %> publish services --dry-run",
        "<%= config.bin %> publish services --wait",
        "<%= config.bin %> publish vouchers/ --expect-revision 41",
    ];
    static override strict = false;
    static override args = { directory: Args.string({ description: "directories with service files (*.ini)", required: true }) };
    static override flags = {
        ...platformFlags,
        ...operatorFlags,
        wait: Flags.boolean({ char: "w", description: "wait until every node has it in force" }),
        "wait-seconds": Flags.integer({ description: "longest wait", default: 10, min: 1 }),
        "dry-run": Flags.boolean({ description: "show what would change and write nothing" }),
        "expect-revision": Flags.integer({ description: "fail unless the one team given stands at this revision" }),
    };

    async run(): Promise<unknown> {
        const { argv, flags } = await this.parse(PublishCommand);
        const set = this.readFiles(argv as string[]);
        const publisher = Publisher.create(this.createObjectStore(flags));
        const clash = await publisher.checkServiceNames(set.teams);
        if (clash !== undefined) {
            this.failWith(clash.exitCode, [clash.diagnostic]);
        }
        if (flags["dry-run"]) {
            return this.showDifferences(publisher, set.teams);
        }
        const published = await this.publishTeams(publisher, set.teams, flags["expect-revision"]);
        if (!flags.wait) {
            return { published };
        }
        const inForce = await this.waitUntilInForce(
            this.createOperatorClient(flags),
            published,
            flags["wait-seconds"] * millisecondsPerSecond,
        );
        return { published, inForce };
    }

    private async showDifferences(publisher: Publisher, teams: readonly TeamConfiguration[]): Promise<unknown> {
        const differences: { team: string; diff: string; }[] = [];
        for (const team of teams) {
            const diff = await publisher.compareTeam(team);
            if (diff.err) {
                this.failWith(diff.val.exitCode, [diff.val.diagnostic]);
            }
            differences.push({ team: team.team.name, diff: diff.val });
            this.log(diff.val === "" ? `${team.team.name}: no change` : diff.val);
        }
        return { differences };
    }

    private async publishTeams(
        publisher: Publisher,
        teams: readonly TeamConfiguration[],
        expected: number | undefined,
    ): Promise<PublishedTeam[]> {
        const published: PublishedTeam[] = [];
        for (const team of teams) {
            const result = await publisher.publishTeam(team, expected);
            if (result.err) {
                this.failWith(result.val.exitCode, [result.val.diagnostic]);
            }
            published.push(result.val);
            const message = result.val.changed ? Diagnostics.Published_team_0_at_revision_1 : Diagnostics.Team_0_is_unchanged_at_revision_1;
            this.log(formatDiagnostic(createDiagnostic(message, result.val.team, result.val.revision)));
        }
        return published;
    }

    private async waitUntilInForce(client: OperatorClient, published: readonly PublishedTeam[], limit: number): Promise<InForce> {
        const until = Date.now() + limit;
        this.startProgress("Waiting until it is in force");
        for (;;) {
            const status = await client.fetchStatus();
            if (status.err) {
                this.failWith(ExitCode.Unreachable, [status.val.diagnostic]);
            }
            const state = compareInForce(status.val, published);
            const isDone = state.missing.length === 0;
            if (isDone || Date.now() > until) {
                this.endProgress(isDone ? "done" : "not everywhere");
                return this.reportInForce(state);
            }
            await sleep(pollMilliseconds);
        }
    }

    private reportInForce(state: InForce): InForce {
        const notes: Diagnostic[] = state.unasked.map(node => {
            const silence = node.silentMilliseconds === undefined
                ? "it was never heard of"
                : `nothing was heard of it for ${node.silentMilliseconds} ms`;
            return createDiagnostic(Diagnostics.Node_0_could_not_be_asked_1, node.node, silence);
        });
        this.log(formatDiagnostic(createDiagnostic(Diagnostics.In_force_on_0_of_1_nodes, state.inForce.length, state.nodes)));
        this.printDiagnostics(notes);
        if (state.missing.length > 0) {
            const missing = createDiagnostic(Diagnostics.In_force_on_0_of_1_nodes, state.inForce.length, state.nodes);
            this.failWith(ExitCode.Failed, [{ ...missing, text: `${missing.text} Missing: ${state.missing.join(", ")}` }]);
        }
        return state;
    }
}

function compareInForce(status: NodeStatus, published: readonly PublishedTeam[]): InForce {
    const hasAll = (revisions: NodeStatus["revisions"]) =>
        published.every(team => revisions.some(entry => entry.team === team.team && entry.revision >= team.revision));
    const others = status.nodes;
    const inForce = others.filter(node => hasAll(node.revisions)).map(node => node.name);
    const unasked = others.filter(node => !node.alive && !hasAll(node.revisions));
    const missing = others.filter(node => node.alive && !hasAll(node.revisions)).map(node => node.name);
    if (hasAll(status.revisions)) {
        inForce.unshift(status.node);
    }
    else {
        missing.unshift(status.node);
    }
    return {
        nodes: others.length + 1,
        inForce,
        missing,
        unasked: unasked.map(node => ({ node: node.name, silentMilliseconds: node.silent_milliseconds })),
    };
}
