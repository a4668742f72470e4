import { NodeDigest, NodeDigestInit } from "../peers/types.js";

/** Builds and applies the parts of digests that concern version moves: evidence and grants. */
export interface MoveEvidenceExchange {
    createEvidence(): NodeDigestInit["evidence"];
    createGrants(): NodeDigestInit["grants"];
    applyEvidence(evidence: NodeDigest["evidence"]): void;
    /** Returns whether a grant reported a rollback that the other nodes must receive at once. */
    applyGrants(grants: NodeDigest["grants"]): boolean;
}
