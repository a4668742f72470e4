import { MessageInitShape } from "@bufbuild/protobuf";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ForwardCallEvent, ForwardCallRequestSchema, GatewayPeerService } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerSessions } from "../peers/peerSessions.js";

/** A call as it is handed to a peer. */
export type ForwardCallRequestInit = MessageInitShape<typeof ForwardCallRequestSchema>;

/** A call that was handed to a peer. */
export interface PeerCall {
    /** The peer's events. Reading rejects when the peer is lost. */
    readonly events: AsyncIterable<ForwardCallEvent>;
    /** Aborts when the call's session is silent while the peer answers on a newer one; the call goes on, but little speaks for an answer. */
    readonly replacedSignal: AbortSignal;
}

/** Client for the calls that a node hands to its peers. */
export interface PeerCallClient {
    /** Hands a call to a peer; fails with NotRun when the peer cannot be reached. */
    forwardCall(address: NetworkAddress, call: ForwardCallRequestInit, signal: AbortSignal): Promise<Result<PeerCall, Failure>>;
    /** Closes the connections to all peers. */
    stop(): void;
}

/** Hands calls to peers over Connect RPC, on sessions of its own: a failed exchange of digests must not break off calls. */
export class ConnectPeerCallClient implements PeerCallClient {
    private constructor(private readonly sessions: PeerSessions<typeof GatewayPeerService>) {}

    static create(sessions: PeerSessions<typeof GatewayPeerService>): ConnectPeerCallClient {
        return new ConnectPeerCallClient(sessions);
    }

    async forwardCall(address: NetworkAddress, call: ForwardCallRequestInit, signal: AbortSignal): Promise<Result<PeerCall, Failure>> {
        try {
            const session = await this.sessions.openSession(address, signal);
            return Ok({ events: session.client.forwardCall(call, { signal }), replacedSignal: session.getReplacedSignal() });
        }
        catch (error) {
            const message = Diagnostics.Node_at_0_did_not_answer_1;
            return Err(Failure.create(Verdict.NotRun, message, formatAddress(address), describeError(error)));
        }
    }

    stop(): void {
        this.sessions.closePeers();
    }
}
