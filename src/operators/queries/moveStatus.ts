import { z } from "zod";
import { moveRecordSchema } from "../../control/moves/moveRecord.js";
import { OperatorParts } from "../types.js";

/** The shape of what a node knows of a move: the platform's record and the node's own part in it. */
export const moveStatusSchema = z.object({
    record: moveRecordSchema,
    /** Share that this node gives the new version now. */
    share_here: z.number(),
    /** Strongest evidence against the new version, as a share of the bound at which it is taken back. */
    evidence: z.number(),
    new_version: z.object({
        trials: z.number(),
        failures: z.number(),
        slow_first_tokens: z.number(),
        slow_gaps: z.number(),
        incomplete: z.number(),
    }),
    old_version: z.object({
        trials: z.number(),
        failures: z.number(),
        slow_first_tokens: z.number(),
        slow_gaps: z.number(),
        incomplete: z.number(),
    }),
});
export type MoveStatus = z.infer<typeof moveStatusSchema>;

/** Returns what this node knows of the move of a service, or undefined. */
export function createMoveStatus(parts: OperatorParts, service: string): MoveStatus | undefined {
    const record = parts.moves.findRecord(service);
    if (record === undefined) {
        return undefined;
    }
    const readCounts = (version: string) => {
        const counts = parts.moves.computeEvidence(service, version);
        return {
            trials: counts.trials,
            failures: counts.failures,
            slow_first_tokens: counts.slowFirstTokens,
            slow_gaps: counts.slowGaps,
            incomplete: counts.incomplete,
        };
    };
    return {
        record,
        share_here: parts.moves.getCurrentShare(service),
        evidence: parts.moves.getEvidence(service),
        new_version: readCounts(record.to),
        old_version: readCounts(record.from),
    };
}
