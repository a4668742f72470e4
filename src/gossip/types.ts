import { MessageInitShape } from "@bufbuild/protobuf";
import {
    FleetSummarySchema,
    GatewayDigest,
    GatewayDigestSchema,
    GatewayExchangeRequestSchema,
    GatewayExchangeResponse,
    GatewayExchangeResponseSchema,
    SharedState,
    SharedStateSchema,
} from "../generated/corianderward/gateway/v1/gateway_pb.js";

export type { GatewayDigest, SharedState };
export type GatewayExchange = GatewayExchangeResponse;
export type GatewayDigestInit = MessageInitShape<typeof GatewayDigestSchema>;
export type GatewayExchangeRequestInit = MessageInitShape<typeof GatewayExchangeRequestSchema>;
export type GatewayExchangeResponseInit = MessageInitShape<typeof GatewayExchangeResponseSchema>;
export type FleetSummaryInit = MessageInitShape<typeof FleetSummarySchema>;
export type SharedStateInit = MessageInitShape<typeof SharedStateSchema>;

/** State that a peer reports about itself. */
export interface PeerState {
    isLeaving: boolean;
    /** Whether its store watches are current. */
    isStoreReachable: boolean;
    /** Whether it reports that it holds the duty lease. */
    holdsLease: boolean;
    /** Services whose endpoints it cannot reach over its own network paths. */
    unreachableServices: readonly string[];
}

/** Record of another node of the deployment. Times are monotonic milliseconds. */
export interface GatewayPeer extends PeerState {
    readonly name: string;
    failureDomain: string;
    address: string;
    /** Start time of its process, in Unix milliseconds; 0 while unknown. */
    incarnation: number;
    /** Processor time that its host gives it, in cores; undefined or 0 if it does not say. */
    processor?: number | undefined;
    /** Time of the last contact with this node or with a relay; -Infinity before the first. */
    lastSeenAt: number;
    /** Whether the last contact was with this node and not with a relay. */
    isDirect: boolean;
    /** Time of the last failed exchange; -Infinity before the first. */
    lastFailedAt: number;
    failuresInRow: number;
    /** Time that the last exchange which this node began with it took, in milliseconds; 0 before the first. */
    exchangeTime: number;
    /** Last digest that this node received from it; undefined before the first. */
    digest: GatewayDigest | undefined;
    /** Sequence number of the last placement update that this node has sent to it. */
    sentPlacementSequence: number;
    /** Whether this node has sent it every quarantine since its last failed exchange; later digests name recent suspects only. */
    hasAllQuarantines: boolean;
    /** Time of the last list of all nodes that this node, as a relay, has sent to it; -Infinity before the first. */
    sentNodesAt: number;
    /** Membership version of that list. */
    sentMembershipVersion: number;
}
