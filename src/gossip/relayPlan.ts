import { hashToNumber } from "../common/hashing.js";
import { PeerTable } from "./peerTable.js";
import { GatewayPeer } from "./types.js";

/** Nodes up to which each one speaks to every other: the exchanges of one node then cost little. */
const meshLimit = 12;
/** Nodes of a failure domain that share one relay; a relay's exchanges grow with it, and the relays' pairs with its inverse. */
const nodesPerRelay = 16;

/** Peers that a node tries at once while it hears nobody. */
const lonelyCalls = 3;

/** A node among which relays are picked. */
interface Candidate {
    readonly name: string;
    readonly failureDomain: string;
}

/**
 * Says whom a node exchanges news with. In a small fleet that is everybody. In a larger one a few nodes of each failure
 * domain relay the news of the others; every node computes them from the names that it knows, so nothing has to be agreed on.
 * While views differ some news travels twice or a little later.
 */
export class RelayPlan {
    private constructor(private readonly table: PeerTable) {}

    static create(table: PeerTable): RelayPlan {
        return new RelayPlan(table);
    }

    /** Whether the fleet is too large for exchanges between all pairs. */
    hasRelays(): boolean {
        return this.table.listPeers().length + 1 > meshLimit;
    }

    /** Whether this node relays. */
    isRelaying(): boolean {
        return this.hasRelays() && this.listRelays(this.table.identity.failureDomain).includes(this.table.identity.name);
    }

    /** Whether a peer relays. */
    isRelay(peer: GatewayPeer): boolean {
        return this.hasRelays() && this.listRelays(peer.failureDomain).includes(peer.name);
    }

    /** Whether a relay tells this node of changes in the store, within two exchanges. */
    isFollowingRelay(): boolean {
        return this.hasRelays() && !this.isRelaying() && this.table.listHeard().some(peer => peer.isDirect && this.isRelay(peer));
    }

    /** Returns the peers that this node calls: its relay, or as a relay the other relays and the holder of the duties. */
    listCallees(holder: string): GatewayPeer[] {
        const { identity } = this.table;
        const peers = this.table.listPeers();
        if (!this.hasRelays()) {
            return peers.filter(peer => this.isOwnTurn(peer));
        }
        if (this.table.listHeard().length === 0) {
            return this.listUnheard(lonelyCalls);
        }
        const ownRelays = this.listRelays(identity.failureDomain);
        if (ownRelays.includes(identity.name)) {
            const relays = new Set(this.listDomains().flatMap(domain => this.listRelays(domain)));
            const called = peers.filter(peer => (relays.has(peer.name) ? this.isOwnTurn(peer) : peer.name === holder));
            return [...called, ...this.listUnheard(1)];
        }
        const relay = ownRelays[hashToNumber(identity.name) % Math.max(1, ownRelays.length)];
        return peers.filter(peer => peer.name === relay);
    }

    /** Of two nodes that exchange with one another, the one whose name sorts first calls; the other one too while it hears nothing. */
    private isOwnTurn(peer: GatewayPeer): boolean {
        return this.table.identity.name < peer.name || !this.table.isHeard(peer);
    }

    /** Returns the silent peers that were tried longest ago: parts of the fleet that were apart find one another so. */
    private listUnheard(count: number): GatewayPeer[] {
        const unheard = this.table.listPeers().filter(peer => !this.table.isHeard(peer));
        return unheard.sort((left, right) => compareNumbers(left.failedAt, right.failedAt)).slice(0, count);
    }

    private listDomains(): string[] {
        return [...new Set(this.listCandidates().map(candidate => candidate.failureDomain))];
    }

    /** Returns the relays of a failure domain: the first of its nodes by name that answer. */
    private listRelays(failureDomain: string): string[] {
        const candidates = this.listCandidates().filter(candidate => candidate.failureDomain === failureDomain);
        const count = Math.ceil(candidates.length / nodesPerRelay);
        return candidates.sort((left, right) => (left.name < right.name ? -1 : 1)).slice(0, count).map(candidate => candidate.name);
    }

    private listCandidates(): Candidate[] {
        const { identity } = this.table;
        const peers = this.table.listPeers().filter(peer => !peer.isLeaving && (this.table.isHeard(peer) || this.table.isNew(peer)));
        return [identity, ...peers].map(({ name, failureDomain }) => ({ name, failureDomain }));
    }
}

/** Orders numbers, infinite ones included. */
function compareNumbers(left: number, right: number): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
