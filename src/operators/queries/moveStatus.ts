import { z } from "zod";
import { moveRecordSchema } from "../../control/moves/moveRecord.js";
import { OperatorDependencies } from "../types.js";

/** Response format of a version move's status: the record in the store, and the share and evidence on this node. */
export const moveStatusSchema = z.object({
    record: moveRecordSchema,
    /** Share of traffic that this node currently sends to the new version. */
    share_here: z.number(),
    /** Strongest evidence against the new version, as a fraction of the bound at which the move is rolled back. */
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

/** Returns the status of a service's version move on this node, or undefined when the service has no move. */
export function createMoveStatus(dependencies: OperatorDependencies, service: string): MoveStatus | undefined {
    const record = dependencies.moves.findRecord(service);
    if (record === undefined) {
        return undefined;
    }
    const readCounts = (version: string) => {
        const counts = dependencies.moves.computeEvidence(service, version);
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
        share_here: dependencies.moves.getCurrentShare(service),
        evidence: dependencies.moves.getEvidence(service),
        new_version: readCounts(record.to),
        old_version: readCounts(record.from),
    };
}
