import { Clock } from "../common/clock.js";
import { GatewayDigest, GatewayPeer, PeerState } from "./types.js";

/** Where a node is reached. */
export interface PeerIdentity {
    readonly name: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly incarnation: number;
}

/** Time after which a peer that was never heard, or no more, is not counted as a node that serves, in milliseconds. */
const forgottenMilliseconds = 30_000;

/** News that comes over relays is older by two exchanges: its sender counts as silent after this many times the limit. */
const relayedSilenceFactor = 2;
/** Time for which a node that was just found counts as alive, in milliseconds: its first exchanges take less. */
const newMilliseconds = 5_000;

/** Nodes that are taken to serve while none has been heard: what they use of shared limits is then not known. */
const assumedNodes = 10;

/** The other nodes, from the store, from the settings' seeds and from what peers tell of one another. */
export class PeerTable {
    private readonly peers = new Map<string, GatewayPeer>();
    private readonly addedAt = new Map<string, number>();

    private constructor(readonly identity: PeerIdentity, private readonly clock: Clock, private readonly silenceLimit: number) {}

    /** The silence after which a peer counts as lost is in milliseconds. */
    static create(identity: PeerIdentity, clock: Clock, silenceLimit: number): PeerTable {
        return new PeerTable(identity, clock, silenceLimit);
    }

    /** Adds a peer, or takes over a newer life or another address of it. */
    addPeer(identity: PeerIdentity): void {
        if (identity.name === this.identity.name || identity.name === "" || identity.address === "") {
            return;
        }
        const known = this.peers.get(identity.name);
        if (known === undefined) {
            this.peers.set(identity.name, {
                ...identity,
                heardAt: -Infinity,
                failedAt: -Infinity,
                failuresInRow: 0,
                isLeaving: false,
                isStoreReachable: false,
                holdsLease: false,
                isDirect: true,
                digest: undefined,
                toldPlacements: 0,
            });
            this.addedAt.set(identity.name, this.clock.getMonotonicTime());
            return;
        }
        if (identity.incarnation > known.incarnation) {
            known.incarnation = identity.incarnation;
            known.address = identity.address;
            known.failureDomain = identity.failureDomain;
            known.failuresInRow = 0;
            known.toldPlacements = 0;
        }
    }

    removePeer(name: string): void {
        this.peers.delete(name);
    }

    findPeer(name: string): GatewayPeer | undefined {
        return this.peers.get(name);
    }

    /** Records what a peer told; returns whether it had been silent before. */
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
        const wasSilent = !this.isHeard(peer);
        peer.heardAt = this.clock.getMonotonicTime();
        peer.failuresInRow = 0;
        peer.isDirect = true;
        peer.isLeaving = digest.isLeaving;
        peer.isStoreReachable = digest.isStoreReachable;
        peer.holdsLease = digest.lease?.isHeldBySender ?? false;
        peer.digest = digest;
        for (const other of digest.knownMembers) {
            this.addPeer({ ...other, incarnation: Number(other.incarnation) });
        }
        return wasSilent;
    }

    recordFailure(peer: GatewayPeer): void {
        peer.failedAt = this.clock.getMonotonicTime();
        peer.failuresInRow += 1;
    }

    /** Records what a relay said of another node that it heard, so many milliseconds ago. */
    recordSign(identity: PeerIdentity, age: number, state: PeerState): void {
        this.addPeer(identity);
        const peer = this.peers.get(identity.name);
        const heardAt = this.clock.getMonotonicTime() - age;
        if (peer === undefined || identity.incarnation < peer.incarnation || heardAt <= peer.heardAt) {
            return;
        }
        peer.heardAt = heardAt;
        peer.isDirect = false;
        Object.assign(peer, state);
    }

    /** Whether a peer was heard lately. */
    isHeard(peer: GatewayPeer): boolean {
        const limit = this.silenceLimit * (peer.isDirect ? 1 : relayedSilenceFactor);
        return this.clock.getMonotonicTime() - peer.heardAt <= limit;
    }

    /** Whether a peer was found a moment ago and has not failed to answer since. */
    isNew(peer: GatewayPeer): boolean {
        const age = this.clock.getMonotonicTime() - (this.addedAt.get(peer.name) ?? -Infinity);
        return age <= newMilliseconds && peer.failuresInRow === 0;
    }

    listPeers(): GatewayPeer[] {
        return [...this.peers.values()];
    }

    listHeard(): GatewayPeer[] {
        return this.listPeers().filter(peer => this.isHeard(peer));
    }

    /** Returns how many nodes may be serving, this one included: those that cannot be heard may serve all the same. */
    countServing(): number {
        const now = this.clock.getMonotonicTime();
        const serving = this.listPeers().filter(peer => {
            const lastSign = Math.max(peer.heardAt, this.addedAt.get(peer.name) ?? -Infinity);
            return now - lastSign <= forgottenMilliseconds;
        });
        const count = serving.length + 1;
        const isSettled = serving.some(peer => peer.heardAt > -Infinity);
        return isSettled ? count : Math.max(count, assumedNodes);
    }
}

/** Names one life of a node, as usage counts are kept by. */
export function describeLife(node: Pick<PeerIdentity, "name" | "incarnation">): string {
    return `${node.name}/${node.incarnation}`;
}
