import { z } from "zod";
import { configurationPrefix } from "../../config/objectNames.js";
import { OperatorDependencies } from "../types.js";

const revisionSchema = z.object({ team: z.string(), revision: z.number() });

/** Response format of a node's status. Times are in Unix milliseconds; fields named `..._milliseconds` are durations. */
export const nodeStatusSchema = z.object({
    node: z.string(),
    failure_domain: z.string(),
    region: z.string(),
    incarnation: z.number(),
    ready: z.boolean(),
    unready_reasons: z.array(z.string()),
    platform_reachable: z.boolean(),
    revisions: z.array(revisionSchema),
    services: z.array(z.object({
        name: z.string(),
        kind: z.string(),
        version: z.string(),
        move: z.string().optional(),
        group: z.string(),
        waiting: z.number(),
    })),
    endpoints: z.array(z.object({
        name: z.string(),
        group: z.string(),
        failure_domain: z.string(),
        state: z.string(),
        evidence: z.string(),
        since: z.number(),
        leaves_at: z.number().optional(),
        running: z.number(),
        limit: z.number(),
        load_share: z.number(),
        load_age_milliseconds: z.number().optional(),
        price_per_hour: z.number(),
    })),
    nodes: z.array(z.object({
        name: z.string(),
        failure_domain: z.string(),
        alive: z.boolean(),
        leaving: z.boolean(),
        silent_milliseconds: z.number().optional(),
        platform_reachable: z.boolean(),
        revisions: z.array(revisionSchema),
        told_milliseconds: z.number().optional(),
    })),
    active_requests: z.number(),
    /** Median difference between this node's clock and its peers' clocks, in milliseconds. */
    clock_difference_milliseconds: z.number(),
    clock_within_bounds: z.boolean(),
});
export type NodeStatus = z.infer<typeof nodeStatusSchema>;

/** Returns the current status of this node: configuration, endpoints, and peers as it sees them. */
export function createNodeStatus(dependencies: OperatorDependencies): NodeStatus {
    const { directory, configuration, registry } = dependencies;
    const now = dependencies.clock.getMonotonicTime();
    const reasons = dependencies.readiness.listUnreadyReasons();
    const waiting = dependencies.admission.countWaiting();
    return {
        node: directory.identity.name,
        failure_domain: directory.identity.failureDomain,
        region: directory.identity.region,
        incarnation: directory.identity.incarnation,
        ready: reasons.length === 0,
        unready_reasons: reasons,
        platform_reachable: dependencies.store.isReachable(),
        revisions: configuration.listObjects().map(object => ({ team: object.team, revision: object.revision })),
        services: configuration.listServices().map(service => ({
            name: service.name,
            kind: service.kind,
            version: dependencies.moves.getServingVersion(service),
            move: formatMove(dependencies, service.name),
            group: service.group,
            waiting: waiting.get(service.name) ?? 0,
        })),
        endpoints: registry.listEntries().map(entry => ({
            name: entry.name,
            group: entry.description.group,
            failure_domain: entry.description.failureDomain,
            state: entry.state,
            evidence: entry.evidence,
            since: entry.since,
            leaves_at: entry.leavesAt,
            running: entry.running,
            limit: entry.limit.getLimit(),
            load_share: registry.getLoadShare(entry),
            load_age_milliseconds: Number.isFinite(entry.loadReportedAt) ? Math.round(now - entry.loadReportedAt) : undefined,
            price_per_hour: entry.description.pricePerHour,
        })),
        nodes: directory.listMembers().map(member => ({
            name: member.name,
            failure_domain: member.failureDomain,
            alive: directory.isReachable(member),
            leaving: member.isLeaving,
            silent_milliseconds: Number.isFinite(member.lastSeenAt) ? Math.round(now - member.lastSeenAt) : undefined,
            platform_reachable: member.isPlatformReachable,
            revisions: listTeamRevisions(member.revisions),
            told_milliseconds: Number.isFinite(member.lastDigestAt) ? Math.round(now - member.lastDigestAt) : undefined,
        })),
        active_requests: dependencies.table.countActive(),
        clock_difference_milliseconds: dependencies.clocks.getDifference(),
        clock_within_bounds: dependencies.clocks.isWithinBounds(),
    };
}

/** Formats a service's version move as target version, state and current share; undefined when the service has no move. */
function formatMove(dependencies: OperatorDependencies, service: string): string | undefined {
    const record = dependencies.moves.findRecord(service);
    if (record === undefined) {
        return undefined;
    }
    return `${record.to} ${record.state} ${Math.round(dependencies.moves.getCurrentShare(service) * 100)} %`;
}

/** Returns the revision of each team's configuration object. */
function listTeamRevisions(revisions: ReadonlyMap<string, number>): { team: string; revision: number; }[] {
    const teamObjects = [...revisions].filter(([name]) => name.startsWith(configurationPrefix));
    return teamObjects.map(([name, revision]) => ({ team: name.slice(configurationPrefix.length), revision }));
}
