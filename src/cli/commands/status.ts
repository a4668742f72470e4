import { NodeStatus } from "../../operators/queries/nodeStatus.js";
import { BaseCommand, operatorFlags } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

/** `corianderward status`. */
export class StatusCommand extends BaseCommand {
    static override description = "Shows services, versions, moves, endpoints and nodes, as one node knows them.";
    static override examples = ["<%= config.bin %> status", "<%= config.bin %> status --node http://10.0.0.1:7102 --json"];
    static override flags = { ...operatorFlags };

    async run(): Promise<NodeStatus> {
        const { flags } = await this.parse(StatusCommand);
        const status = await this.createOperatorClient(flags).fetchStatus();
        if (status.err) {
            this.failWith(ExitCode.Unreachable, [status.val.diagnostic]);
        }
        if (!this.jsonEnabled()) {
            this.printStatus(status.val);
        }
        return status.val;
    }

    private printStatus(status: NodeStatus): void {
        const ready = status.ready ? "ready" : `not ready: ${status.unready_reasons.join(", ")}`;
        const platform = status.platform_reachable ? "platform reachable" : "platform not reachable";
        this.log(`${status.node} in ${status.failure_domain}: ${ready}; ${platform}; ${status.active_requests} requests running`);
        this.printTable(
            ["service", "kind", "version", "move", "endpoint group", "waiting"],
            status.services.map(
                service => [service.name, service.kind, service.version, service.move ?? "-", service.group, String(service.waiting)],
            ),
        );
        this.printTable(
            ["endpoint", "group", "failure domain", "state", "evidence", "running", "limit", "load", "load age"],
            status.endpoints.map(endpoint => [
                endpoint.name,
                endpoint.group,
                endpoint.failure_domain,
                endpoint.state,
                endpoint.evidence,
                String(endpoint.running),
                String(endpoint.limit),
                `${Math.round(endpoint.load_share * 100)} %`,
                formatAge(endpoint.load_age_milliseconds),
            ]),
        );
        this.printTable(
            ["node", "failure domain", "state", "last heard", "platform", "revisions"],
            [createOwnRow(status), ...status.nodes.map(createNodeRow)],
        );
    }
}

function formatAge(milliseconds: number | undefined): string {
    return milliseconds === undefined ? "unknown" : `${(milliseconds / 1_000).toFixed(1)} s`;
}

function formatRevisions(revisions: NodeStatus["revisions"]): string {
    return revisions.map(entry => `${entry.team}:${entry.revision}`).join(" ");
}

function createOwnRow(status: NodeStatus): string[] {
    const platform = status.platform_reachable ? "reachable" : "not reachable";
    return [
        `${status.node} (asked)`,
        status.failure_domain,
        status.ready ? "ready" : "not ready",
        "now",
        platform,
        formatRevisions(status.revisions),
    ];
}

function createNodeRow(node: NodeStatus["nodes"][number]): string[] {
    const state = node.leaving ? "leaving" : node.alive ? "live" : "not heard of";
    const platform = !node.alive ? "unknown" : node.platform_reachable ? "reachable" : "not reachable";
    return [node.name, node.failure_domain, state, formatAge(node.silent_milliseconds), platform, formatRevisions(node.revisions)];
}
