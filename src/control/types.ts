import { NodeDigest, NodeDigestInit } from "../peers/types.js";

/** What digests carry of version moves. */
export interface MoveEvidenceExchange {
    createEvidence(): NodeDigestInit["evidence"];
    createGrants(): NodeDigestInit["grants"];
    applyEvidence(evidence: NodeDigest["evidence"]): void;
    /** Returns whether a grant held news that other nodes need at once. */
    applyGrants(grants: NodeDigest["grants"]): boolean;
}
