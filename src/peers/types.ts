import { MessageInitShape } from "@bufbuild/protobuf";
import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { NetworkAddress } from "../config/types.js";
import {
    AdoptRequestRequest,
    ExplainRequestResponse,
    FetchSharedObjectsResponse,
    FollowRequestEvent,
    ForwardCallRequest,
    ForwardCallResponse,
    NodeDigest,
    ObjectRevision,
    SharedObject,
} from "../generated/corianderward/v1/peer_pb.js";
import {
    AdoptRequestRequestSchema,
    FetchSharedObjectsResponseSchema,
    FollowRequestEventSchema,
    ForwardCallRequestSchema,
    ForwardCallResponseSchema,
    NodeDigestSchema,
    ObjectRevisionSchema,
    ShareGrantSchema,
} from "../generated/corianderward/v1/peer_pb.js";

export type { AdoptRequestRequest, ExplainRequestResponse, FollowRequestEvent, ForwardCallRequest, ForwardCallResponse, NodeDigest };
export type { FetchSharedObjectsResponse, ObjectRevision, SharedObject };
export type NodeDigestInit = MessageInitShape<typeof NodeDigestSchema>;
export type ShareGrantInit = MessageInitShape<typeof ShareGrantSchema>;
export type AdoptRequestInit = MessageInitShape<typeof AdoptRequestRequestSchema>;
export type ForwardCallInit = MessageInitShape<typeof ForwardCallRequestSchema>;
export type ForwardCallResponseInit = MessageInitShape<typeof ForwardCallResponseSchema>;
export type FetchSharedObjectsResponseInit = MessageInitShape<typeof FetchSharedObjectsResponseSchema>;
export type FollowRequestEventInit = MessageInitShape<typeof FollowRequestEventSchema>;
export type ObjectRevisionInit = MessageInitShape<typeof ObjectRevisionSchema>;

/** Another node: its address and the state that was last received from it or about it. */
export interface Member {
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: NetworkAddress;
    /** Start time of the node's process in Unix milliseconds, or 0 until its first heartbeat. */
    incarnation: number;
    /** Monotonic milliseconds of the node's last heartbeat, received directly or relayed by another node. */
    lastSeenAt: number;
    isLeaving: boolean;
    isPlatformReachable: boolean;
    /** Applied revisions of shared objects, as reported in the node's own digests. */
    readonly revisions: Map<string, number>;
    /** Monotonic milliseconds at which the last digest of the node itself was received. */
    lastDigestAt: number;
}

/** Result of a call to a peer; a failure states whether the peer may have executed the call. */
export type PeerResult<T> = Result<T, Failure>;

/** Calls from this node to its peers. */
export interface PeerLink {
    exchangeDigests(address: NetworkAddress, digest: NodeDigestInit): Promise<PeerResult<NodeDigest>>;
    fetchSharedObjects(address: NetworkAddress, known: readonly ObjectRevisionInit[]): Promise<PeerResult<FetchSharedObjectsResponse>>;
    adoptRequest(address: NetworkAddress, request: AdoptRequestInit): Promise<PeerResult<boolean>>;
    followRequest(address: NetworkAddress, requestId: string, offset: number, signal: AbortSignal): AsyncIterable<FollowRequestEvent>;
    /** The time limit is in milliseconds. */
    forwardCall(address: NetworkAddress, call: ForwardCallInit, timeLimit: number): Promise<PeerResult<ForwardCallResponse>>;
    describeRequest(address: NetworkAddress, requestId: string): Promise<PeerResult<ExplainRequestResponse>>;
    stop(): void;
}

/** Handles the calls that peers make to this node. */
export interface PeerHandler {
    handleExchange(digest: NodeDigest): Promise<NodeDigestInit>;
    createSharedObjectsResponse(known: readonly ObjectRevision[]): FetchSharedObjectsResponseInit;
    adoptRequest(request: AdoptRequestRequest): Promise<boolean>;
    followRequest(requestId: string, offset: number, signal: AbortSignal): AsyncIterable<FollowRequestEventInit>;
    forwardCall(call: ForwardCallRequest): Promise<ForwardCallResponseInit>;
    describeRequest(requestId: string): string | undefined;
}

/** Creates this node's digests and applies those of peers. */
export interface DigestExchange {
    createDigest(): NodeDigestInit;
    /** Applies a peer's digest; returns whether it contained an urgent change that the node has to send to its other peers at once. */
    applyDigest(digest: NodeDigest): boolean;
}

/** Sends changes that must not wait for the next digest exchange, such as quarantines and rollbacks. */
export interface UrgentNotifier {
    /** Sends the node's digest to its peers; resolves when they have responded or after a short time limit. */
    sendUrgentDigest(): Promise<void>;
}
