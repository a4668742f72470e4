import { hashToNumber } from "../common/hashing.js";
import { PeerIdentity, PeerTable } from "./peerTable.js";
import { GatewayPeer } from "./types.js";

/** Largest fleet in which every two nodes exchange digests directly; a node's exchanges cost little up to this size. */
const fullMeshNodeLimit = 12;
/** Nodes of a failure domain for each relay. A larger value means more exchanges for a relay, a smaller one more pairs of relays. */
const nodesPerRelay = 16;

/** Failure domains in which a relay reads the store: with two, the fleet notices changes while one of them is cut off or lost. */
const readingDomains = 2;

/** Number of peers that a node calls at once while none is reachable. */
const isolatedNodeCallLimit = 3;

/**
 * Silence of a relay or reader after which a node that follows it reads the store itself, in milliseconds: two and a half of the usual
 * exchanges. One exchange that is lost takes longer, and with its repetition most of the time in which a change must be in force.
 */
const followedSilenceMilliseconds = 1_250;
/** Time for which a node reads the store itself after an exchange with a peer timed out, in milliseconds: relays settle within it. */
const readingTimeAfterSilence = 6_000;

/** Time for which selected relays are reused while the membership is unchanged, in milliseconds: short compared with the silence after which a peer counts as unreachable. */
const selectionMilliseconds = 100;

/** Relays of each failure domain, as selected at one time. */
interface RelaySelection {
    readonly relaysByDomain: ReadonlyMap<string, readonly string[]>;
    readonly relays: ReadonlySet<string>;
    readonly membershipVersion: number;
    readonly selectedAt: number;
}

/** A node that can be selected as a relay. */
type RelayCandidate = Pick<PeerIdentity, "name" | "failureDomain" | "processor">;

/**
 * Selects the peers with which a node exchanges digests. In a small fleet these are all peers. In a larger one, a few nodes of
 * each failure domain act as relays for the others, those on the largest hosts: a relay's work grows with the number of nodes, and all that
 * follow it wait for it. Each node computes the relays from the names and hosts in its peer table, so that no agreement protocol is needed. While the tables differ, some updates arrive twice or slightly later.
 */
export class RelaySelector {
    private selection: RelaySelection | undefined;

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
        return this.hasRelays() && this.getSelection().relays.has(this.table.identity.name);
    }

    /** Returns whether a peer is a relay. */
    isRelay(peer: GatewayPeer): boolean {
        return this.hasRelays() && this.getSelection().relays.has(peer.name);
    }

    /** Returns whether this node is not a relay and exchanges digests with one, so that it knows within two exchanges what relays know. */
    isFollowingRelay(): boolean {
        return this.hasRelays() && !this.isRelaying() && this.listReachableRelays().some(relay => this.isFollowable(relay));
    }

    /**
     * Returns whether this node receives changes of the store from peers and need not read it itself: it follows a relay, or it is a
     * relay that exchanges digests with a reader whose last call to the store succeeded. After a silence it reads by itself for a
     * while, since views of who relays differ until the peers have heard one another again.
     */
    isFollowingReader(): boolean {
        if (this.table.getTimeSinceSilence() < readingTimeAfterSilence) {
            return false;
        }
        if (!this.isRelaying()) {
            return this.isFollowingRelay();
        }
        const names = this.listReaders();
        const readers = names.map(name => this.table.findPeer(name));
        return !names.includes(this.table.identity.name)
            && readers.some(reader => reader !== undefined && reader.isStoreReachable && this.isFollowable(reader));
    }

    /** Returns whether this node exchanged digests with a peer so lately that it would have received recent changes from it. */
    private isFollowable(peer: GatewayPeer): boolean {
        return peer.isDirect && this.table.getTime() - peer.lastSeenAt <= followedSilenceMilliseconds;
    }

    /**
     * Returns the names of the nodes that read the store for all others. In a small fleet all nodes do; in a larger one a relay in
     * each of the first failure domains, preferably one whose last call to the store succeeded.
     */
    listReaders(): string[] {
        const { identity } = this.table;
        if (!this.hasRelays()) {
            return [identity.name, ...this.table.listReachablePeers().map(peer => peer.name)];
        }
        const self = this.isRelaying() ? [{ ...identity, isStoreReachable: true }] : [];
        const relays = [...self, ...this.listReachableRelays()];
        const connected = relays.filter(relay => relay.isStoreReachable);
        return selectReaders(connected.length > 0 ? connected : relays);
    }

    /**
     * Returns the peers that this node calls: its relay, or, as a relay, the other relays and the holder of the duty lease. While an
     * exchange with its relay is overdue, it calls the other relays of its failure domain and the readers too.
     */
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
            const { relays } = this.getSelection();
            const callees = peers.filter(peer => (relays.has(peer.name) ? this.isCallerOf(peer) : peer.name === leaseHolder));
            return [...callees, ...this.listUnreachablePeers(1, this.listNominalRelays()), ...this.listUnreachablePeers(1)];
        }
        const relay = domainRelays[hashToNumber(identity.name) % Math.max(1, domainRelays.length)];
        const isOverdue = peers.some(peer => peer.name === relay && peer.lastSeenAt > -Infinity && !this.isFollowable(peer));
        const substitutes = isOverdue ? [...domainRelays, ...this.listReaders()] : [];
        return peers.filter(peer => peer.name === relay || substitutes.includes(peer.name));
    }

    /** Returns whether this node calls the peer: the node whose name sorts first does, and either one while the other is unreachable. */
    private isCallerOf(peer: GatewayPeer): boolean {
        return this.table.identity.name < peer.name || !this.table.isReachable(peer);
    }

    /** Returns the unreachable peers whose last failed call is the oldest, so that a partitioned fleet reconnects. */
    private listUnreachablePeers(count: number, candidates = this.table.listPeers()): GatewayPeer[] {
        const unreachable = candidates.filter(peer => !this.table.isReachable(peer));
        return unreachable.sort((left, right) => compareNumbers(left.lastFailedAt, right.lastFailedAt)).slice(0, count);
    }

    /** Returns the peers that would be relays if all were reachable: after a partition the others hear everything from them. */
    private listNominalRelays(): GatewayPeer[] {
        const { identity } = this.table;
        return [...selectRelays([identity, ...this.table.listPeers()]).values()].flat().flatMap(name => this.table.findPeer(name) ?? []);
    }

    private listReachableRelays(): GatewayPeer[] {
        const peers = [...this.getSelection().relays].map(name => this.table.findPeer(name));
        return peers.filter(peer => peer !== undefined).filter(peer => this.table.isReachable(peer));
    }

    /** Returns the names of a failure domain's relays: those on the largest hosts of its nodes that are reachable or recently discovered. */
    private listRelays(failureDomain: string): readonly string[] {
        return this.getSelection().relaysByDomain.get(failureDomain) ?? [];
    }

    /** Returns the current selection; it is asked for several times with each exchange, so it is computed only when it may have changed. */
    private getSelection(): RelaySelection {
        const { selection, table } = this;
        const now = table.getTime();
        const isCurrent = selection !== undefined && selection.membershipVersion === table.getMembershipVersion()
            && now - selection.selectedAt < selectionMilliseconds;
        this.selection = isCurrent ? selection : this.createSelection(now);
        return this.selection;
    }

    private createSelection(selectedAt: number): RelaySelection {
        const relaysByDomain = selectRelays(this.listCandidates());
        const relays = new Set([...relaysByDomain.values()].flat());
        return { relaysByDomain, relays, membershipVersion: this.table.getMembershipVersion(), selectedAt };
    }

    private listCandidates(): RelayCandidate[] {
        const { identity } = this.table;
        const peers = this.table.listPeers().filter(peer =>
            !peer.isLeaving && (this.table.isReachable(peer) || this.table.isRecentlyDiscovered(peer))
        );
        return [identity, ...peers].map(({ name, failureDomain, processor }) => ({ name, failureDomain, processor }));
    }
}

/** Returns the names of the relays of each failure domain: the first of its nodes by the size of the host. */
function selectRelays(candidates: readonly RelayCandidate[]): Map<string, readonly string[]> {
    const nodesByDomain = new Map<string, RelayCandidate[]>();
    for (const candidate of candidates) {
        const nodes = nodesByDomain.get(candidate.failureDomain) ?? [];
        nodes.push(candidate);
        nodesByDomain.set(candidate.failureDomain, nodes);
    }
    const relaysByDomain = new Map<string, readonly string[]>();
    for (const [failureDomain, nodes] of nodesByDomain) {
        const count = Math.ceil(nodes.length / nodesPerRelay);
        relaysByDomain.set(failureDomain, nodes.sort(compareHosts).slice(0, count).map(node => node.name));
    }
    return relaysByDomain;
}

/** Returns the first relay by the size of the host of each of the first failure domains. */
function selectReaders(relays: readonly RelayCandidate[]): string[] {
    const firstByDomain = new Map<string, string>();
    for (const { name, failureDomain } of [...relays].sort(compareHosts)) {
        if (!firstByDomain.has(failureDomain)) {
            firstByDomain.set(failureDomain, name);
        }
    }
    return [...firstByDomain].sort(([left], [right]) => (left < right ? -1 : 1)).slice(0, readingDomains).map(([, name]) => name);
}

/** Compares nodes for sorting: those whose hosts give them more processor time come first, and equal ones in the order of their names. */
function compareHosts(left: RelayCandidate, right: RelayCandidate): number {
    return (right.processor ?? 0) - (left.processor ?? 0) || (left.name < right.name ? -1 : 1);
}

/** Compares numbers for sorting, including infinite ones, whose difference is not a number. */
function compareNumbers(left: number, right: number): number {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
}
