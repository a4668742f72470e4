import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { formatAddress, parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { exchangeTimeoutMilliseconds, GossipClient } from "./gossipClient.js";
import { PeerTable } from "./peerTable.js";
import { RelaySelector } from "./relaySelector.js";
import { GatewayDigest, GatewayDigestInit, GatewayExchangeResponseInit, GatewayPeer, SharedState, SharedStateInit } from "./types.js";

/** Maximum delay between two attempts to reach a peer that does not respond, in milliseconds. */
const maximumRetryDelayMilliseconds = 4_000;
/** Time from which an exchange that succeeded is logged as slow, in milliseconds: the usual time between two of them. */
const slowExchangeMilliseconds = 500;
/** Time after which a failed exchange counts as one without an answer, in milliseconds; a connection that is reset fails earlier. */
const leastSilenceMilliseconds = 0.9 * exchangeTimeoutMilliseconds;

/** Builds the digests and state updates that a node sends, and applies those that it receives. */
export interface DigestHandler {
    /** Creates the digest for one peer; undefined stands for a node whose name is not known yet. */
    createDigest(peer: GatewayPeer | undefined): GatewayDigestInit;
    /** Merges a peer's digest, which was at most `age` milliseconds under way. */
    applyDigest(peer: GatewayPeer, digest: GatewayDigest, age: number): void;
    /** Returns the configuration and endpoints that a peer lacks according to its digest; undefined if it lacks nothing. */
    createStateFor(digest: GatewayDigest): SharedStateInit | undefined;
    /** Applies the newer configuration or endpoints that the node named by `source` sent. */
    applyState(state: SharedState, source: string): void;
    /** Takes over how recent the sender's knowledge of the store was at `sentAt`, in monotonic milliseconds, if this node has applied the same. */
    recordConfirmation(digest: GatewayDigest, sentAt: number): void;
    /** Returns by how much the event loop of this node is late, in milliseconds; 0 if that is negligible. */
    getLoopDelay(): number;
    /** Returns the name of the last known holder of the duty lease; empty if none is known. */
    getLeaseHolder(): string;
}

/**
 * Runs the gossip protocol between gateways: exchanges digests at a fixed interval with the peers that the relay plan selects,
 * one task for each peer, so that a slow peer does not delay the others.
 */
export class GossipExchange {
    private readonly stopping = new AbortController();
    private seeds: readonly NetworkAddress[] = [];
    private readonly tasksByPeer = new Map<string, Promise<void>>();
    private handleSilence: () => void = () => {};

    private constructor(
        private readonly table: PeerTable,
        private readonly client: GossipClient,
        private readonly digestHandler: DigestHandler,
        private readonly plan: RelaySelector,
        private readonly clock: Clock,
        private readonly interval: number,
        private readonly log: EventLog,
    ) {}

    /** `interval` is the time between two exchanges with one peer, in milliseconds. */
    static create(
        table: PeerTable,
        client: GossipClient,
        digestHandler: DigestHandler,
        plan: RelaySelector,
        clock: Clock,
        interval: number,
        log: EventLog,
    ): GossipExchange {
        return new GossipExchange(table, client, digestHandler, plan, clock, interval, log);
    }

    /** Sets the addresses to contact while no peer is reachable. */
    setSeeds(seeds: readonly NetworkAddress[]): void {
        this.seeds = seeds.filter(seed => formatAddress(seed) !== this.table.identity.address);
    }

    /** Sets a function that is called when an exchange times out with a peer that answered the one before. */
    setSilenceHandler(handleSilence: () => void): void {
        this.handleSilence = handleSilence;
    }

    /** Starts an exchange task for each selected peer, and checks the selection once an interval until `stop` is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.table.listReachablePeers().length === 0) {
                await Promise.all(this.seeds.map(seed => this.exchangeAt(seed)));
            }
            for (const peer of this.listCallees()) {
                if (!this.tasksByPeer.has(peer.name)) {
                    this.tasksByPeer.set(peer.name, this.runPeerExchanges(peer).finally(() => this.tasksByPeer.delete(peer.name)));
                }
            }
            await this.clock.sleep(this.interval, this.stopping.signal);
        }
    }

    /** Ends the exchange tasks and closes the connections to peers. */
    stop(): void {
        this.stopping.abort();
        this.client.stop();
    }

    /** Exchanges digests immediately with every reachable peer; in a fleet with relays, only with the peers that this node calls. */
    async publishNow(): Promise<void> {
        const peers = this.plan.hasRelays() ? this.listCallees() : this.table.listReachablePeers();
        await Promise.all(peers.map(peer => this.exchangeWith(peer)));
    }

    /** Merges a peer's digest and returns this node's digest, with the state that the peer lacks. */
    handleExchange(digest: GatewayDigest): GatewayExchangeResponseInit {
        // The digest may have waited here until it was read, as the one before did.
        const sentAt = this.clock.getMonotonicTime() - digest.exchangeMilliseconds;
        this.applyDigest(digest, digest.exchangeMilliseconds);
        this.digestHandler.recordConfirmation(digest, sentAt);
        const peer = this.table.findPeer(digest.member?.name ?? "");
        return { digest: this.digestHandler.createDigest(peer), state: this.digestHandler.createStateFor(digest) };
    }

    /** Applies state that a peer sent because this node's digest showed that it was missing here. */
    applyState(state: SharedState, source: string): void {
        this.digestHandler.applyState(state, source);
    }

    private async runPeerExchanges(peer: GatewayPeer): Promise<void> {
        while (!this.stopping.signal.aborted && this.listCallees().includes(peer)) {
            await this.exchangeWith(peer);
            await this.clock.sleep(this.computeDelay(peer), this.stopping.signal);
        }
    }

    /**
     * Returns the delay until the next exchange with a peer, in milliseconds. The first failure causes none: the session may have
     * gone silent while its peer lives, and the next exchange opens another.
     */
    private computeDelay(peer: GatewayPeer): number {
        const { failuresInRow } = peer;
        if (failuresInRow === 1) {
            return 0;
        }
        return Math.min(this.interval * 2 ** Math.max(0, failuresInRow - 1), maximumRetryDelayMilliseconds);
    }

    private listCallees(): GatewayPeer[] {
        return this.plan.listCallees(this.digestHandler.getLeaseHolder());
    }

    private async exchangeWith(peer: GatewayPeer): Promise<void> {
        const address = parseAddress(peer.address);
        if (address === undefined) {
            return;
        }
        const wasReachable = this.table.isReachable(peer);
        const startedAt = this.clock.getMonotonicTime();
        const exchanged = await this.client.exchangeDigests(address, this.digestHandler.createDigest(peer));
        if (exchanged.err || exchanged.val.digest === undefined) {
            this.table.recordFailure(peer);
            if (this.isSilence(peer, startedAt)) {
                this.table.recordSilence();
                this.handleSilence();
            }
            if (wasReachable && !this.table.isReachable(peer)) {
                this.log.log(LogEvents.PeerChanged, { peer: peer.name, state: "lost", cause: exchanged.err ? exchanged.val.text : "" });
            }
            return;
        }
        peer.exchangeTime = this.clock.getMonotonicTime() - startedAt;
        this.logSlowExchange(peer, exchanged.val.digest, peer.exchangeTime);
        await this.finishExchange(address, startedAt, exchanged.val.digest, exchanged.val.state);
    }

    private logSlowExchange(peer: GatewayPeer, digest: GatewayDigest, milliseconds: number): void {
        if (milliseconds >= slowExchangeMilliseconds) {
            this.log.log(LogEvents.ExchangeSlow, {
                peer: peer.name,
                milliseconds: Math.round(milliseconds),
                loopDelay: Math.round(this.digestHandler.getLoopDelay()),
                peerLoopDelay: digest.loopDelayMilliseconds,
            });
        }
    }

    /** Returns whether the exchange that began at `startedAt` and has failed timed out with a peer that answered the one before. */
    private isSilence(peer: GatewayPeer, startedAt: number): boolean {
        return peer.lastSeenAt > -Infinity && peer.failuresInRow === 1
            && this.clock.getMonotonicTime() - startedAt >= leastSilenceMilliseconds;
    }

    /** Exchanges digests with a seed address whose node name is not known yet. */
    private async exchangeAt(seed: NetworkAddress): Promise<void> {
        const startedAt = this.clock.getMonotonicTime();
        const exchanged = await this.client.exchangeDigests(seed, this.digestHandler.createDigest(undefined));
        if (exchanged.ok && exchanged.val.digest !== undefined) {
            await this.finishExchange(seed, startedAt, exchanged.val.digest, exchanged.val.state);
        }
    }

    private async finishExchange(
        address: NetworkAddress,
        startedAt: number,
        digest: GatewayDigest,
        state: SharedState | undefined,
    ): Promise<void> {
        this.applyDigest(digest, this.clock.getMonotonicTime() - startedAt);
        if (state !== undefined) {
            this.digestHandler.applyState(state, digest.member?.name ?? "");
        }
        this.digestHandler.recordConfirmation(digest, startedAt);
        const missingState = this.digestHandler.createStateFor(digest);
        if (missingState !== undefined) {
            await this.client.sendState(address, missingState);
        }
    }

    private applyDigest(digest: GatewayDigest, age: number): void {
        const wasUnreachable = this.table.recordDigest(digest);
        const peer = this.table.findPeer(digest.member?.name ?? "");
        if (peer === undefined) {
            return;
        }
        if (wasUnreachable) {
            this.log.log(LogEvents.PeerChanged, { peer: peer.name, state: "heard", incarnation: peer.incarnation });
        }
        this.digestHandler.applyDigest(peer, digest, age);
    }
}
