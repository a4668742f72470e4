import { Clock } from "../common/clock.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { PeerLoadTracker } from "./peerLoadTracker.js";
import { PeerTable } from "./peerTable.js";
import { RelaySelector } from "./relaySelector.js";
import { FleetSummaryInit, GatewayDigest, GatewayPeer } from "./types.js";

/** Source name for the totals of the whole fleet that a node receives from its relay. */
const wholeFleetSource = "*";
/** Prefix of the source names for the totals of another relay's group; no node name begins with it. */
const groupSourcePrefix = "*group ";

/** Shortest time between two lists of all nodes to one follower while the membership is unchanged, in milliseconds: below half of the silence after which it would drop them. */
const nodeListIntervalMilliseconds = 900;

/** Dependencies of the fleet summaries. */
export interface FleetSummaryDependencies {
    readonly clock: Clock;
    readonly table: PeerTable;
    readonly plan: RelaySelector;
    readonly caps: SharedRateLimiter;
    readonly work: ServiceWorkTracker;
    readonly loads: PeerLoadTracker;
}

/**
 * Aggregates the quota demand, engine work and endpoint load that nodes report, so that a large fleet needs no exchange
 * between every two nodes. A relay sends the other relays the totals of its own group, itself included, and sends each node of
 * its group the totals of all other nodes, so that no node is counted twice.
 */
export class FleetSummaryAggregator {
    private constructor(private readonly dependencies: FleetSummaryDependencies) {}

    static create(dependencies: FleetSummaryDependencies): FleetSummaryAggregator {
        return new FleetSummaryAggregator(dependencies);
    }

    /** Returns the summary that this node, as a relay, sends to a peer; undefined when this node is not a relay. */
    createSummary(peer: GatewayPeer): FleetSummaryInit | undefined {
        const { plan, table } = this.dependencies;
        if (!plan.isRelaying()) {
            return undefined;
        }
        this.removeSourcesExcept(source => source !== wholeFleetSource);
        const reachable = table.listReachablePeers().filter(other => other !== peer);
        if (plan.isRelay(peer)) {
            const group = reachable.filter(other => other.isDirect && !plan.isRelay(other));
            return this.buildSummary(false, group, source => !source.startsWith(groupSourcePrefix));
        }
        const listed = this.isNodeListDue(peer) ? reachable : [];
        return this.buildSummary(true, listed, source => source !== peer.name, reachable.length + 1);
    }

    /** Returns whether a follower needs the list of all nodes now: its length makes it the largest part of most digests. */
    private isNodeListDue(peer: GatewayPeer): boolean {
        const { clock, table } = this.dependencies;
        const now = clock.getMonotonicTime();
        const version = table.getMembershipVersion();
        if (now - peer.sentNodesAt < nodeListIntervalMilliseconds && version === peer.sentMembershipVersion) {
            return false;
        }
        peer.sentNodesAt = now;
        peer.sentMembershipVersion = version;
        return true;
    }

    /** Merges a peer's own figures, or its summary if the peer is a relay. */
    applyDigest(peer: GatewayPeer, digest: GatewayDigest): void {
        const { summary } = digest;
        if (summary === undefined) {
            this.removeSourcesExcept(source => source !== groupSourcePrefix + peer.name);
            this.recordSourceSums(peer.name, digest, 1);
            return;
        }
        this.recordRelayedPeerStates(digest);
        if (!summary.isWholeFleet) {
            // The summary contains these nodes, so figures received from them directly must not be counted again.
            const covered = new Set([peer.name, ...summary.nodes.map(node => node.member?.name)]);
            this.removeSourcesExcept(source => !covered.has(source));
            this.recordSourceSums(groupSourcePrefix + peer.name, summary, countCoveredNodes(summary));
            return;
        }
        // While views differ, each of two relays may treat the other as an ordinary node; count only the peer's own figures then.
        if (this.dependencies.plan.isRelaying()) {
            this.recordSourceSums(peer.name, digest, 1);
            return;
        }
        this.removeSourcesExcept(source => source === wholeFleetSource);
        this.recordSourceSums(wholeFleetSource, summary, countCoveredNodes(summary));
    }

    private buildSummary(
        isWholeFleet: boolean,
        nodes: readonly GatewayPeer[],
        isCounted: (source: string) => boolean,
        nodeCount = nodes.length + 1,
    ): FleetSummaryInit {
        const { clock, caps, work, loads } = this.dependencies;
        const now = clock.getMonotonicTime();
        return {
            isWholeFleet,
            nodeCount,
            nodes: nodes.map(node => ({
                member: {
                    name: node.name,
                    failureDomain: node.failureDomain,
                    address: node.address,
                    incarnation: BigInt(node.incarnation),
                },
                ageMilliseconds: Math.max(0, Math.round(now - node.lastSeenAt)),
                isLeaving: node.isLeaving,
                isStoreReachable: node.isStoreReachable,
                holdsLease: node.holdsLease,
                unreachableServices: [...node.unreachableServices],
            })),
            loads: loads.listSums(isCounted),
            demands: caps.listSums(isCounted).map(({ name, demand, passed }) => ({ team: name, demand, passed })),
            works: work.listSums(isCounted),
        };
    }

    private recordSourceSums(source: string, sums: Pick<GatewayDigest, "loads" | "demands" | "works">, nodes: number): void {
        const { caps, work, loads } = this.dependencies;
        sums.demands.forEach(({ team, demand, passed }) => caps.recordPeerDemand({ name: team, demand, passed, nodes }, source));
        sums.works.forEach(({ service, work: amount }) => work.recordPeerWork(service, source, amount));
        loads.recordLoads(source, sums.loads);
    }

    private recordRelayedPeerStates(digest: GatewayDigest): void {
        for (const { member, ageMilliseconds, ...state } of digest.summary?.nodes ?? []) {
            if (member !== undefined) {
                const identity = { ...member, incarnation: Number(member.incarnation) };
                this.dependencies.table.recordRelayedState(identity, ageMilliseconds, {
                    isLeaving: state.isLeaving,
                    isStoreReachable: state.isStoreReachable,
                    holdsLease: state.holdsLease,
                    unreachableServices: state.unreachableServices,
                });
            }
        }
    }

    private removeSourcesExcept(isKept: (source: string) => boolean): void {
        this.dependencies.caps.removeSources(isKept);
        this.dependencies.work.removeSources(isKept);
        this.dependencies.loads.removeSourcesExcept(isKept);
    }
}

/** Returns the number of nodes whose figures a summary adds up, the sender included. */
function countCoveredNodes(summary: NonNullable<GatewayDigest["summary"]>): number {
    return summary.nodeCount === 0 ? summary.nodes.length + 1 : summary.nodeCount;
}
