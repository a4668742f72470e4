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

/** Where another node is and what it was last known to be. */
export interface Member {
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: NetworkAddress;
    /** Start time of its process in Unix milliseconds, or 0 while unknown. */
    incarnation: number;
    /** Monotonic milliseconds at which it was last heard of, directly or through another node. */
    lastHeardAt: number;
    isLeaving: boolean;
    platformReachable: boolean;
    /** Revisions that it had in force when it was last heard of directly. */
    readonly revisions: Map<string, number>;
    /** Monotonic milliseconds at which it was last heard of directly. */
    toldAt: number;
}

/** A call on a peer that failed, and whether the peer may have carried it out. */
export type PeerResult<T> = Result<T, Failure>;

/** The calls that a node makes on its peers. */
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

/** What a node does when a peer calls it. */
export interface PeerHandler {
    handleExchange(digest: NodeDigest): Promise<NodeDigestInit>;
    createSharedObjectsAnswer(known: readonly ObjectRevision[]): FetchSharedObjectsResponseInit;
    adoptRequest(request: AdoptRequestRequest): Promise<boolean>;
    followRequest(requestId: string, offset: number, signal: AbortSignal): AsyncIterable<FollowRequestEventInit>;
    forwardCall(call: ForwardCallRequest): Promise<ForwardCallResponseInit>;
    describeRequest(requestId: string): string | undefined;
}

/** Builds and takes over digests. */
export interface DigestExchange {
    createDigest(): NodeDigestInit;
    /** Takes over a peer's digest; returns whether it held news that the node's other peers need at once. */
    applyDigest(digest: NodeDigest): boolean;
}

/** Tells the other nodes at once of a change that must not wait for the next exchange. */
export interface UrgentNotifier {
    /** Sends the node's digest to its peers; resolves when they have it or after a short time limit. */
    sendUrgentDigest(): Promise<void>;
}
