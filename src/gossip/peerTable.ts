import { Clock } from "../common/clock.js";
import { millisecondsPerMinute } from "../common/units.js";
import { GatewayDigest, GatewayPeer, PeerState } from "./types.js";

/** Name, location, incarnation and host of a node. */
export interface PeerIdentity {
    readonly name: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly incarnation: number;
    /** Processor time that its host gives it, in cores; undefined or 0 if it does not say. */
    readonly processor?: number | undefined;
}

/** Time without contact, or since discovery, after which a peer no longer counts as a serving node, in milliseconds. */
const servingTimeoutMilliseconds = 30_000;

/** Factor on the silence limit for peers seen only through relays, whose state arrives two exchanges later. */
const relayedSilenceLimitFactor = 2;
/** Time for which a newly discovered node is assumed to be up, in milliseconds: its first exchanges take less. */
const recentDiscoveryMilliseconds = 5_000;

/** Time without contact, or since discovery, for which a node that is cut off is assumed to go on sending, in milliseconds. */
const cutOffTimeoutMilliseconds = 10 * millisecondsPerMinute;

/** Number of serving nodes assumed before any peer was reached, since their share of the quotas is not known then. */
const assumedNodeCount = 10;

/**
 * Table of the other nodes, with the time of the last contact and the last reported state of each. Peers are added from the
 * store, from seed addresses and from the digests of other peers.
 */
export class PeerTable {
    private readonly peers = new Map<string, GatewayPeer>();
    private readonly discoveredAtByPeer = new Map<string, number>();
    private membershipVersion = 0;
    private lastSilenceAt = -Infinity;
    private hasFleetList = false;

    private constructor(readonly identity: PeerIdentity, private readonly clock: Clock, private readonly silenceLimit: number) {}

    /** `silenceLimit` is the time without contact after which a peer is considered unreachable, in milliseconds. */
    static create(identity: PeerIdentity, clock: Clock, silenceLimit: number): PeerTable {
        return new PeerTable(identity, clock, silenceLimit);
    }

    /** Adds a peer, or updates its address and failure domain if the incarnation is newer. */
    addPeer(identity: PeerIdentity): void {
        if (identity.name === this.identity.name || identity.name === "" || identity.address === "") {
            return;
        }
        const known = this.peers.get(identity.name);
        if (known === undefined) {
            this.peers.set(identity.name, {
                ...identity,
                lastSeenAt: -Infinity,
                lastFailedAt: -Infinity,
                failuresInRow: 0,
                exchangeTime: 0,
                isLeaving: false,
                isStoreReachable: false,
                holdsLease: false,
                unreachableServices: [],
                isDirect: true,
                digest: undefined,
                sentPlacementSequence: 0,
                hasAllQuarantines: false,
                sentNodesAt: -Infinity,
                sentMembershipVersion: 0,
            });
            this.discoveredAtByPeer.set(identity.name, this.clock.getMonotonicTime());
            this.membershipVersion += 1;
            return;
        }
        if (identity.incarnation > known.incarnation) {
            this.membershipVersion += 1;
            known.incarnation = identity.incarnation;
            known.address = identity.address;
            known.failureDomain = identity.failureDomain;
            known.processor = undefined;
            known.failuresInRow = 0;
            known.sentPlacementSequence = 0;
            known.hasAllQuarantines = false;
            known.sentNodesAt = -Infinity;
        }
        // A node of an older build, which lists others, does not know their hosts.
        known.processor ||= identity.processor;
    }

    removePeer(name: string): void {
        this.peers.delete(name);
        this.membershipVersion += 1;
    }

    findPeer(name: string): GatewayPeer | undefined {
        return this.peers.get(name);
    }

    /** Merges a peer's digest and the members that it lists; returns whether the peer was considered unreachable until now. */
    recordDigest(digest: GatewayDigest): boolean {
        const member = digest.member;
        if (member === undefined || member.name === this.identity.name) {
            return false;
        }
        this.addPeer({ ...member, incarnation: Number(member.incarnation) });
        const peer = this.peers.get(member.name);
        if (peer === undefined || Number(member.incarnation) < peer.incarnation) {
            return false;
        }
        const wasUnreachable = !this.isReachable(peer);
        peer.hasAllQuarantines &&= !wasUnreachable;
        this.membershipVersion += wasUnreachable || peer.isLeaving !== digest.isLeaving ? 1 : 0;
        peer.lastSeenAt = this.clock.getMonotonicTime();
        peer.failuresInRow = 0;
        peer.isDirect = true;
        peer.isLeaving = digest.isLeaving;
        peer.isStoreReachable = digest.isStoreReachable;
        peer.holdsLease = digest.lease?.isHeldBySender ?? false;
        peer.unreachableServices = digest.unreachableServices;
        peer.digest = digest;
        for (const other of digest.knownMembers) {
            this.addPeer({ ...other, incarnation: Number(other.incarnation) });
        }
        return wasUnreachable;
    }

    /** Records that an exchange with a peer failed. */
    recordFailure(peer: GatewayPeer): void {
        this.membershipVersion += 1;
        peer.lastFailedAt = this.clock.getMonotonicTime();
        peer.failuresInRow += 1;
        peer.hasAllQuarantines = false;
    }

    /** Records that an exchange timed out with a peer that answered the one before: open connections may have gone silent. */
    recordSilence(): void {
        this.lastSilenceAt = this.clock.getMonotonicTime();
    }

    /** Returns the time since `recordSilence` was last called, in milliseconds; Infinity if it never was. */
    getTimeSinceSilence(): number {
        return this.clock.getMonotonicTime() - this.lastSilenceAt;
    }

    /** Records that a peer could not be reached with a call. Its exchanges go on as before: their own failures delay them. */
    recordMissedCall(peer: GatewayPeer): void {
        peer.lastFailedAt = this.clock.getMonotonicTime();
    }

    /** Records the state of a node that a relay last saw `age` milliseconds ago; ignored if this node has a newer record. */
    recordRelayedState(identity: PeerIdentity, age: number, state: PeerState): void {
        this.addPeer(identity);
        const peer = this.peers.get(identity.name);
        const lastSeenAt = this.clock.getMonotonicTime() - age;
        if (peer === undefined || identity.incarnation < peer.incarnation || lastSeenAt <= peer.lastSeenAt) {
            return;
        }
        this.membershipVersion += !this.isReachable(peer) || peer.isLeaving !== state.isLeaving ? 1 : 0;
        peer.lastSeenAt = lastSeenAt;
        peer.isDirect = false;
        Object.assign(peer, state);
    }

    /** Returns whether the last contact with a peer, direct or through a relay, is within the silence limit. */
    isReachable(peer: GatewayPeer): boolean {
        const limit = this.silenceLimit * (peer.isDirect ? 1 : relayedSilenceLimitFactor);
        return this.clock.getMonotonicTime() - peer.lastSeenAt <= limit;
    }

    /** Returns whether a peer was recently discovered and no exchange with it has failed since its last contact. */
    isRecentlyDiscovered(peer: GatewayPeer): boolean {
        const age = this.clock.getMonotonicTime() - (this.discoveredAtByPeer.get(peer.name) ?? -Infinity);
        return age <= recentDiscoveryMilliseconds && peer.failuresInRow === 0;
    }

    /** Returns a number that changes when a peer appears, goes, becomes reachable again or starts to leave. */
    getMembershipVersion(): number {
        return this.membershipVersion;
    }

    /** Returns the time by which silence is measured, in monotonic milliseconds. */
    getTime(): number {
        return this.clock.getMonotonicTime();
    }

    listPeers(): GatewayPeer[] {
        return [...this.peers.values()];
    }

    listReachablePeers(): GatewayPeer[] {
        return this.listPeers().filter(peer => this.isReachable(peer));
    }

    /** Records that the store has listed every node. */
    recordFleetList(): void {
        this.hasFleetList = true;
    }

    /**
     * Returns the names of all other nodes that may be sending to endpoints, those cut off for minutes included; undefined until the
     * store has listed the nodes once, since a node that has just started knows few of them.
     */
    listSenderNames(): string[] | undefined {
        const oldest = this.clock.getMonotonicTime() - cutOffTimeoutMilliseconds;
        return this.hasFleetList
            ? this.listPeers().filter(peer => this.getLastEvidenceAt(peer) >= oldest).map(peer => peer.name)
            : undefined;
    }

    /** Returns how many nodes may be serving, this one included: an unreachable node may still serve requests. */
    countServingNodes(): number {
        const now = this.clock.getMonotonicTime();
        const serving = this.listPeers().filter(peer => now - this.getLastEvidenceAt(peer) <= servingTimeoutMilliseconds);
        const count = serving.length + 1;
        const isAnyPeerSeen = serving.some(peer => peer.lastSeenAt > -Infinity);
        return isAnyPeerSeen ? count : Math.max(count, assumedNodeCount);
    }

    /** Returns how many of the nodes that may serve callers are out of reach. */
    countSilentNodes(): number {
        const now = this.clock.getMonotonicTime();
        return this.listPeers().filter(peer => now - this.getLastEvidenceAt(peer) <= servingTimeoutMilliseconds && !this.isReachable(peer))
            .length;
    }

    private getLastEvidenceAt(peer: GatewayPeer): number {
        return Math.max(peer.lastSeenAt, this.discoveredAtByPeer.get(peer.name) ?? -Infinity);
    }
}

/** Formats the key of one incarnation of a node, under which its usage counts are kept. */
export function formatIncarnationKey(node: Pick<PeerIdentity, "name" | "incarnation">): string {
    return `${node.name}/${node.incarnation}`;
}
