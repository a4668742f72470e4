import { MessageInitShape } from "@bufbuild/protobuf";
import {
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
export type GatewayExchangeInit = MessageInitShape<typeof GatewayExchangeRequestSchema>;
export type GatewayExchangeAnswerInit = MessageInitShape<typeof GatewayExchangeResponseSchema>;
export type SharedStateInit = MessageInitShape<typeof SharedStateSchema>;

/** Another node of the deployment. Times are monotonic milliseconds. */
export interface GatewayPeer {
    readonly name: string;
    failureDomain: string;
    address: string;
    /** Start time of its process in Unix milliseconds; 0 while unknown. */
    incarnation: number;
    /** When it was last heard directly; -Infinity before. */
    heardAt: number;
    /** When it was last tried without an answer. */
    failedAt: number;
    failuresInRow: number;
    isLeaving: boolean;
    /** What it last told; undefined before. */
    digest: GatewayDigest | undefined;
    /** Sequence of the last own placement that it has been told. */
    toldPlacements: number;
}
