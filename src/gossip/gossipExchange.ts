import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { formatAddress, parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { GossipLink } from "./gossipLink.js";
import { PeerTable } from "./peerTable.js";
import { GatewayDigest, GatewayDigestInit, GatewayExchangeAnswerInit, GatewayPeer, SharedState, SharedStateInit } from "./types.js";

/** Longest pause between two tries to reach a peer that does not answer, in milliseconds. */
const longestRetryPauseMilliseconds = 4_000;

/** What a node tells its peers and takes from them. */
export interface GossipContent {
    /** Creates the digest for one peer. */
    createDigest(peer: GatewayPeer | undefined): GatewayDigestInit;
    /** Takes what a peer told. */
    applyDigest(peer: GatewayPeer, digest: GatewayDigest): void;
    /** Returns what a peer lacks by its digest, or undefined. */
    createStateFor(digest: GatewayDigest): SharedStateInit | undefined;
    applyState(state: SharedState, source: string): void;
}

/** Exchanges digests with every peer; of each pair, the node whose name sorts first calls. */
export class GossipExchange {
    private readonly stopping = new AbortController();
    private seeds: readonly NetworkAddress[] = [];
    private readonly rounds = new Map<string, Promise<void>>();

    private constructor(
        private readonly table: PeerTable,
        private readonly link: GossipLink,
        private readonly content: GossipContent,
        private readonly clock: Clock,
        private readonly interval: number,
        private readonly log: EventLog,
    ) {}

    /** The interval between two exchanges with one peer is in milliseconds. */
    static create(
        table: PeerTable,
        link: GossipLink,
        content: GossipContent,
        clock: Clock,
        interval: number,
        log: EventLog,
    ): GossipExchange {
        return new GossipExchange(table, link, content, clock, interval, log);
    }

    /** Sets addresses at which peers may be found while none is known. */
    setSeeds(seeds: readonly NetworkAddress[]): void {
        this.seeds = seeds.filter(seed => formatAddress(seed) !== this.table.identity.address);
    }

    /** Runs until stop is called: one task for each peer. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.table.listHeard().length === 0) {
                await Promise.all(this.seeds.map(seed => this.exchangeAt(seed)));
            }
            for (const peer of this.table.listPeers()) {
                if (!this.rounds.has(peer.name)) {
                    this.rounds.set(peer.name, this.runPeer(peer).finally(() => this.rounds.delete(peer.name)));
                }
            }
            await this.clock.sleep(this.interval, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
        this.link.stop();
    }

    /** Tells every peer at once, whoever's turn it is. */
    async publishNow(): Promise<void> {
        await Promise.all(this.table.listHeard().map(peer => this.exchangeWith(peer)));
    }

    /** Answers a peer's digest. */
    handleExchange(digest: GatewayDigest): GatewayExchangeAnswerInit {
        this.applyDigest(digest);
        const peer = this.table.findPeer(digest.member?.name ?? "");
        return { digest: this.content.createDigest(peer), state: this.content.createStateFor(digest) };
    }

    /** Takes what a peer found lacking here. */
    applyState(state: SharedState, source: string): void {
        this.content.applyState(state, source);
    }

    private async runPeer(peer: GatewayPeer): Promise<void> {
        while (!this.stopping.signal.aborted && this.table.findPeer(peer.name) === peer) {
            if (this.isOwnTurn(peer)) {
                await this.exchangeWith(peer);
            }
            const pause = Math.min(this.interval * 2 ** Math.min(peer.failuresInRow, 8), longestRetryPauseMilliseconds);
            await this.clock.sleep(pause, this.stopping.signal);
        }
    }

    /** The node whose name sorts first calls; the other one calls too while it hears nothing. */
    private isOwnTurn(peer: GatewayPeer): boolean {
        return this.table.identity.name < peer.name || !this.table.isHeard(peer);
    }

    private async exchangeWith(peer: GatewayPeer): Promise<void> {
        const address = parseAddress(peer.address);
        if (address === undefined) {
            return;
        }
        const wasHeard = this.table.isHeard(peer);
        const exchanged = await this.link.exchangeDigests(address, this.content.createDigest(peer));
        if (exchanged.err || exchanged.val.digest === undefined) {
            this.table.recordFailure(peer);
            if (wasHeard && !this.table.isHeard(peer)) {
                this.log.log(LogEvents.PeerChanged, { peer: peer.name, state: "lost", cause: exchanged.err ? exchanged.val.text : "" });
            }
            return;
        }
        await this.settleExchange(address, exchanged.val.digest, exchanged.val.state);
    }

    /** Asks at an address whose node is not known yet. */
    private async exchangeAt(seed: NetworkAddress): Promise<void> {
        const exchanged = await this.link.exchangeDigests(seed, this.content.createDigest(undefined));
        if (exchanged.ok && exchanged.val.digest !== undefined) {
            await this.settleExchange(seed, exchanged.val.digest, exchanged.val.state);
        }
    }

    private async settleExchange(address: NetworkAddress, digest: GatewayDigest, state: SharedState | undefined): Promise<void> {
        this.applyDigest(digest);
        if (state !== undefined) {
            this.content.applyState(state, digest.member?.name ?? "");
        }
        const lacking = this.content.createStateFor(digest);
        if (lacking !== undefined) {
            await this.link.sendState(address, lacking);
        }
    }

    private applyDigest(digest: GatewayDigest): void {
        const wasSilent = this.table.recordDigest(digest);
        const peer = this.table.findPeer(digest.member?.name ?? "");
        if (peer === undefined) {
            return;
        }
        if (wasSilent) {
            this.log.log(LogEvents.PeerChanged, { peer: peer.name, state: "heard", incarnation: peer.incarnation });
        }
        this.content.applyDigest(peer, digest);
    }
}
