import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Metrics } from "../common/metrics.js";
import { Err, Ok } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { PeerService } from "../generated/corianderward/v1/peer_pb.js";
import { PeerSessions } from "./peerSessions.js";
import { TlsMaterial } from "./tlsMaterial.js";
import {
    AdoptRequestInit,
    ExplainRequestResponse,
    FetchSharedObjectsResponse,
    FollowRequestEvent,
    ForwardCallInit,
    ForwardCallResponse,
    NodeDigest,
    NodeDigestInit,
    ObjectRevisionInit,
    PeerLink,
    PeerResult,
} from "./types.js";

/** Time limit of calls that exchange digests, fetch shared objects or describe a request. */
const shortCallTimeoutMilliseconds = 1_500;
/** Time limit of opening a session, in milliseconds: the time of some handshakes between regions. */
const connectTimeoutMilliseconds = 1_000;
/** Time limit of the call by which a peer adopts a request. */
const adoptCallTimeoutMilliseconds = 3_000;

/** Client of the peer service: calls peers over Connect on HTTP/2, with mutual TLS when certificates are configured. */
export class ConnectPeerLink implements PeerLink {
    private constructor(private readonly sessions: PeerSessions<typeof PeerService>, private readonly metrics: Metrics) {}

    static create(tls: TlsMaterial | undefined, metrics: Metrics): ConnectPeerLink {
        const sessions = PeerSessions.create(PeerService, tls, {
            recordUnresponsivePeer: () => metrics.silentConnections.inc({ hop: "peer" }),
            recordSessionError: () => metrics.peerExchanges.inc({ outcome: "session-error" }),
        }, connectTimeoutMilliseconds);
        return new ConnectPeerLink(sessions, metrics);
    }

    async exchangeDigests(address: NetworkAddress, digest: NodeDigestInit): Promise<PeerResult<NodeDigest>> {
        const response = await this.sessions.send(
            address,
            client => client.exchange({ digest }, { timeoutMs: shortCallTimeoutMilliseconds }),
        );
        this.metrics.peerExchanges.inc({ outcome: response.ok ? "ok" : "failed" });
        if (response.err) {
            return response;
        }
        if (response.val.digest === undefined) {
            return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), "no digest"));
        }
        return Ok(response.val.digest);
    }

    async fetchSharedObjects(
        address: NetworkAddress,
        known: readonly ObjectRevisionInit[],
    ): Promise<PeerResult<FetchSharedObjectsResponse>> {
        return this.sessions.send(
            address,
            client => client.fetchSharedObjects({ known: [...known] }, { timeoutMs: shortCallTimeoutMilliseconds }),
        );
    }

    async adoptRequest(address: NetworkAddress, request: AdoptRequestInit): Promise<PeerResult<boolean>> {
        const result = await this.sessions.sendOnCheckedSession(
            address,
            client => client.adoptRequest(request, { timeoutMs: adoptCallTimeoutMilliseconds }),
        );
        return result.map(response => response.accepted);
    }

    async *followRequest(
        address: NetworkAddress,
        requestId: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<FollowRequestEvent> {
        const client = await this.sessions.openClient(address, signal);
        yield* client.followRequest({ requestId, offset }, { signal });
    }

    async forwardCall(address: NetworkAddress, call: ForwardCallInit, timeLimit: number): Promise<PeerResult<ForwardCallResponse>> {
        return this.sessions.sendOnCheckedSession(address, client => client.forwardCall(call, { timeoutMs: timeLimit }));
    }

    async describeRequest(address: NetworkAddress, requestId: string): Promise<PeerResult<ExplainRequestResponse>> {
        return this.sessions.send(address, client => client.explainRequest({ requestId }, { timeoutMs: shortCallTimeoutMilliseconds }));
    }

    stop(): void {
        this.sessions.closePeers();
    }
}
