import { Clock } from "../common/clock.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { RateDemand, SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
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

/** Age up to which a node relies on its relay's totals of the whole fleet, in milliseconds: two exchanges and a lost one. */
const wholeFleetAgeLimitMilliseconds = 1_500;

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
    private wholeFleetReceivedAt = -Infinity;
    /** Names of the nodes that each group's totals contain and no other source reports since. */
    private readonly nodesByGroup = new Map<string, Set<string>>();

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

    /** Merges a peer's own figures, or its summary if the peer is a relay. The digest was at most `age` milliseconds under way. */
    applyDigest(peer: GatewayPeer, digest: GatewayDigest, age: number): void {
        const { summary } = digest;
        if (summary !== undefined) {
            this.recordRelayedPeerStates(digest);
        }
        if (summary?.isWholeFleet !== true && this.isCoveredByWholeFleet()) {
            return;
        }
        if (summary === undefined) {
            this.removeSourcesExcept(source => source !== groupSourcePrefix + peer.name);
            this.removeFromGroups([peer.name]);
            this.recordSourceSums(peer.name, digest, 1, age);
            return;
        }
        if (!summary.isWholeFleet) {
            // The summary contains these nodes, so figures received from them directly must not be counted again.
            const covered = new Set([peer.name, ...summary.nodes.flatMap(node => node.member?.name ?? [])]);
            this.removeSourcesExcept(source => !covered.has(source));
            this.removeFromGroups(covered);
            this.nodesByGroup.set(groupSourcePrefix + peer.name, covered);
            this.recordSourceSums(groupSourcePrefix + peer.name, summary, countCoveredNodes(summary), age);
            return;
        }
        // While views differ, each of two relays may treat the other as an ordinary node; count only the peer's own figures then.
        if (this.dependencies.plan.isRelaying()) {
            this.recordSourceSums(peer.name, digest, 1, age);
            return;
        }
        this.wholeFleetReceivedAt = this.dependencies.clock.getMonotonicTime();
        this.removeSourcesExcept(source => source === wholeFleetSource);
        this.recordSourceSums(wholeFleetSource, summary, countCoveredNodes(summary), age);
    }

    /** Returns whether this node's relay sends it the totals of all others: relays whose views differ may take this node for a relay too. */
    private isCoveredByWholeFleet(): boolean {
        const { clock, plan } = this.dependencies;
        return !plan.isRelaying() && clock.getMonotonicTime() - this.wholeFleetReceivedAt <= wholeFleetAgeLimitMilliseconds;
    }

    /** Reduces the totals of groups whose relay has not yet told that these nodes left it: another source reports them now. */
    private removeFromGroups(names: Iterable<string>): void {
        const moved = [...names];
        for (const [source, nodes] of this.nodesByGroup) {
            const count = nodes.size;
            moved.forEach(name => nodes.delete(name));
            if (nodes.size < count) {
                this.dependencies.caps.reduceSource(source, nodes.size / count);
            }
        }
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
                    processor: node.processor,
                },
                ageMilliseconds: Math.max(0, Math.round(now - node.lastSeenAt)),
                isLeaving: node.isLeaving,
                isStoreReachable: node.isStoreReachable,
                holdsLease: node.holdsLease,
                unreachableServices: [...node.unreachableServices],
            })),
            loads: loads.listSums(isCounted),
            demands: caps.listSums(isCounted).map(encodeRateDemand),
            works: work.listSums(isCounted),
        };
    }

    private recordSourceSums(
        source: string,
        sums: Pick<GatewayDigest, "loads" | "demands" | "works">,
        nodes: number,
        digestAge: number,
    ): void {
        const { caps, work, loads } = this.dependencies;
        for (const { team, demand, passed, recent, leaving, ageMilliseconds, ...counted } of sums.demands) {
            const age = ageMilliseconds + digestAge;
            const figures = { demand, passed, recent, leaving, age, nodes: counted.nodes === 0 ? nodes : counted.nodes };
            caps.recordPeerDemand({ name: team, ...figures }, source);
        }
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

/** Encodes the demand for a limit for a digest or a summary. */
export function encodeRateDemand({ name, age, ...figures }: RateDemand) {
    return { team: name, ...figures, recent: [...figures.recent], ageMilliseconds: Math.round(age) };
}

/** Returns the number of nodes whose figures a summary adds up, the sender included. */
function countCoveredNodes(summary: NonNullable<GatewayDigest["summary"]>): number {
    return summary.nodeCount === 0 ? summary.nodes.length + 1 : summary.nodeCount;
}
