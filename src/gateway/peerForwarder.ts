import { RandomSource } from "../common/random.js";
import { parseAddress } from "../config/sectionReader.js";
import { PeerTable } from "../gossip/peerTable.js";
import { GatewayPeer } from "../gossip/types.js";
import { HomeRegions } from "../placement/homeRegions.js";
import { PeerCallClient } from "./peerCallClient.js";

/** Finds peers that can forward calls for a node which has lost its own network paths to the endpoints. */
export class PeerForwarder {
    private constructor(
        readonly client: PeerCallClient,
        private readonly table: PeerTable,
        private readonly random: RandomSource,
        private readonly homes: HomeRegions,
    ) {}

    static create(client: PeerCallClient, table: PeerTable, random: RandomSource, homes: HomeRegions): PeerForwarder {
        return new PeerForwarder(client, table, random, homes);
    }

    /** Returns the name of this node. */
    getNodeName(): string {
        return this.table.identity.name;
    }

    /** Records that a peer could not be reached with a call, so that other calls avoid it until it is heard of again. */
    recordFailure(peer: GatewayPeer): void {
        this.table.recordMissedCall(peer);
    }

    /**
     * Picks a peer that reaches the endpoints of a service as far as this node knows, and that is not excluded; undefined if there
     * is none, or none in a region that the request's body may be sent to. All such peers get equal parts, since many nodes may need them at once; one that could not be reached since it was
     * heard of last gets none while there are others.
     */
    pickPeer(
        service: string,
        excluded: ReadonlySet<string>,
        allowedRegions: readonly string[] | undefined,
    ): GatewayPeer | undefined {
        const candidates = this.table.listReachablePeers().filter(peer =>
            !peer.isLeaving && !excluded.has(peer.name) && !peer.unreachableServices.includes(service)
            && parseAddress(peer.address) !== undefined && this.homes.isNodeAllowed(peer.failureDomain, allowedRegions)
        );
        const reached = candidates.filter(peer => peer.lastSeenAt >= peer.lastFailedAt);
        const preferred = reached.length > 0 ? reached : candidates;
        return preferred.length === 0 ? undefined : preferred[this.random.pickIndex(preferred.length)];
    }
}
