import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { NetworkAddress } from "../config/types.js";
import { GatewayPeerService } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerSessions } from "../peers/peerSessions.js";
import { GatewayDigestInit, GatewayExchange, GatewayExchangeRequestInit, SharedStateInit } from "./types.js";

/** Timeout of one exchange, in milliseconds: shorter than the silence limit after which a peer is considered unreachable. */
export const exchangeTimeoutMilliseconds = 1_000;

/** Client for the requests that a node sends to its peers. */
export interface GossipClient {
    /** Sends this node's digest; returns the peer's digest, with the state that this node lacks. */
    exchangeDigests(address: NetworkAddress, digest: GatewayDigestInit): Promise<Result<GatewayExchange, Failure>>;
    /** Sends a peer the configuration or endpoints that it lacks. */
    sendState(address: NetworkAddress, state: SharedStateInit): Promise<Result<void, Failure>>;
    /** Closes the connections to all peers. */
    stop(): void;
}

/** Sends gossip requests to peers over Connect RPC. */
export class ConnectGossipClient implements GossipClient {
    private constructor(private readonly sessions: PeerSessions<typeof GatewayPeerService>) {}

    static create(sessions: PeerSessions<typeof GatewayPeerService>): ConnectGossipClient {
        return new ConnectGossipClient(sessions);
    }

    exchangeDigests(address: NetworkAddress, digest: GatewayDigestInit): Promise<Result<GatewayExchange, Failure>> {
        const request: GatewayExchangeRequestInit = { digest };
        return this.sessions.send(address, client => client.exchange(request, { timeoutMs: exchangeTimeoutMilliseconds }));
    }

    async sendState(address: NetworkAddress, state: SharedStateInit): Promise<Result<void, Failure>> {
        const sent = await this.sessions.send(address, client => client.applyState(state, { timeoutMs: exchangeTimeoutMilliseconds }));
        return sent.map(() => undefined);
    }

    stop(): void {
        this.sessions.closePeers();
    }
}
