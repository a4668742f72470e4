import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { NetworkAddress } from "../config/types.js";
import { GatewayPeerService } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerSessions } from "../peers/peerSessions.js";
import { GatewayDigestInit, GatewayExchange, GatewayExchangeInit, SharedStateInit } from "./types.js";

/** Time limit of one exchange in milliseconds: shorter than the silence after which a peer counts as lost. */
const exchangeLimitMilliseconds = 1_000;

/** The calls that a node makes on its peers. */
export interface GossipLink {
    /** Tells the own digest; returns the peer's, with what this node lacks. */
    exchangeDigests(address: NetworkAddress, digest: GatewayDigestInit): Promise<Result<GatewayExchange, Failure>>;
    /** Brings a peer what it lacks. */
    sendState(address: NetworkAddress, state: SharedStateInit): Promise<Result<void, Failure>>;
    stop(): void;
}

/** Calls peers over Connect. */
export class ConnectGossipLink implements GossipLink {
    private constructor(private readonly sessions: PeerSessions<typeof GatewayPeerService>) {}

    static create(sessions: PeerSessions<typeof GatewayPeerService>): ConnectGossipLink {
        return new ConnectGossipLink(sessions);
    }

    exchangeDigests(address: NetworkAddress, digest: GatewayDigestInit): Promise<Result<GatewayExchange, Failure>> {
        const request: GatewayExchangeInit = { digest };
        return this.sessions.send(address, client => client.exchange(request, { timeoutMs: exchangeLimitMilliseconds }));
    }

    async sendState(address: NetworkAddress, state: SharedStateInit): Promise<Result<void, Failure>> {
        const sent = await this.sessions.send(address, client => client.applyState(state, { timeoutMs: exchangeLimitMilliseconds }));
        return sent.map(() => undefined);
    }

    stop(): void {
        this.sessions.closePeers();
    }
}
