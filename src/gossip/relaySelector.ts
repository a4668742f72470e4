import { hashToNumber } from "../common/hashing.js";
import { PeerTable } from "./peerTable.js";
import { GatewayPeer } from "./types.js";

/** Largest fleet in which every two nodes exchange digests directly; a node's exchanges cost little up to this size. */
const fullMeshNodeLimit = 12;
/** Nodes of a failure domain for each relay. A larger value means more exchanges for a relay, a smaller one more pairs of relays. */
const nodesPerRelay = 16;

/** Number of peers that a node calls at once while none is reachable. */
const isolatedNodeCallLimit = 3;

/** A node that can be selected as a relay. */
interface RelayCandidate {
    readonly name: string;
    readonly failureDomain: string;
}

/**
 * Selects the peers with which a node exchanges digests. In a small fleet these are all peers. In a larger one, a few nodes of
 * each failure domain act as relays for the others. Each node computes the relays from the names in its peer table, so that no
 * agreement protocol is needed. While the tables differ, some updates arrive twice or slightly later.
 */
export class RelaySelector {
    private constructor(private readonly table: PeerTable) {}

    static create(table: PeerTable): RelaySelector {
        return new RelaySelector(table);
    }

    /** Returns whether the fleet is too large for direct exchanges between every two nodes. */
    hasRelays(): boolean {
        return this.table.listPeers().length + 1 > fullMeshNodeLimit;
    }

    /** Returns whether this node is a relay. */
    isRelaying(): boolean {
        return this.hasRelays() && this.listRelays(this.table.identity.failureDomain).includes(this.table.identity.name);
    }

    /** Returns whether a peer is a relay. */
    isRelay(peer: GatewayPeer): boolean {
        return this.hasRelays() && this.listRelays(peer.failureDomain).includes(peer.name);
    }

    /** Returns whether this node receives changes of the store from a relay, within two exchanges. */
    isFollowingRelay(): boolean {
        return this.hasRelays() && !this.isRelaying() && this.table.listReachablePeers().some(peer => peer.isDirect && this.isRelay(peer));
    }

    /** Returns the peers that this node calls: its relay, or, as a relay, the other relays and the holder of the duty lease. */
    listCallees(leaseHolder: string): GatewayPeer[] {
        const { identity } = this.table;
        const peers = this.table.listPeers();
        if (!this.hasRelays()) {
            return peers.filter(peer => this.isCallerOf(peer));
        }
        if (this.table.listReachablePeers().length === 0) {
            return this.listUnreachablePeers(isolatedNodeCallLimit);
        }
        const domainRelays = this.listRelays(identity.failureDomain);
        if (domainRelays.includes(identity.name)) {
            const relays = new Set(this.listDomains().flatMap(domain => this.listRelays(domain)));
            const callees = peers.filter(peer => (relays.has(peer.name) ? this.isCallerOf(peer) : peer.name === leaseHolder));
            return [...callees, ...this.listUnreachablePeers(1)];
        }
        const relay = domainRelays[hashToNumber(identity.name) % Math.max(1, domainRelays.length)];
        return peers.filter(peer => peer.name === relay);
    }

    /** Returns whether this node calls the peer: the node whose name sorts first does, and either one while the other is unreachable. */
    private isCallerOf(peer: GatewayPeer): boolean {
        return this.table.identity.name < peer.name || !this.table.isReachable(peer);
    }

    /** Returns the unreachable peers whose last failed call is the oldest, so that a partitioned fleet reconnects. */
    private listUnreachablePeers(count: number): GatewayPeer[] {
        const unreachable = this.table.listPeers().filter(peer => !this.table.isReachable(peer));
        return unreachable.sort((left, right) => compareNumbers(left.lastFailedAt, right.lastFailedAt)).slice(0, count);
    }

    private listDomains(): string[] {
        return [...new Set(this.listCandidates().map(candidate => candidate.failureDomain))];
    }

    /** Returns the names of a failure domain's relays: the first by name of its nodes that are reachable or recently discovered. */
    private listRelays(failureDomain: string): string[] {
        const candidates = this.listCandidates().filter(candidate => candidate.failureDomain === failureDomain);
        const count = Math.ceil(candidates.length / nodesPerRelay);
        return candidates.sort((left, right) => (left.name < right.name ? -1 : 1)).slice(0, count).map(candidate => candidate.name);
    }

    private listCandidates(): RelayCandidate[] {
        const { identity } = this.table;
        const peers = this.table.listPeers().filter(peer =>
            !peer.isLeaving && (this.table.isReachable(peer) || this.table.isRecentlyDiscovered(peer))
        );
        return [identity, ...peers].map(({ name, failureDomain }) => ({ name, failureDomain }));
    }
}

/** Compares numbers for sorting, including infinite ones, whose difference is not a number. */
function compareNumbers(left: number, right: number): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
