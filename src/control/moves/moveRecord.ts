import { z } from "zod";
import { StoredObject } from "../../provider/types.js";

/** State of a move; the values are stored. */
export enum MoveState {
    Running = "running",
    /** The new version serves all traffic. */
    Completed = "completed",
    /** The old version serves all traffic. */
    TakenBack = "taken-back",
}

/** Reason of a move's latest step or of its end; the values are stored. */
export enum MoveReason {
    Started = "started",
    /** The evidence allowed a larger share or the completion. */
    Evidence = "evidence",
    /** The new version fails more often than the old one. */
    Failures = "failures",
    /** The new version takes longer to the first token or response. */
    SlowFirstToken = "slow-first-token",
    /** The new version takes longer between tokens. */
    SlowTokens = "slow-between-tokens",
    /** Responses of the new version are truncated. */
    Incomplete = "incomplete-answers",
    /** The move could not be completed before the deadline. */
    Deadline = "deadline",
    /** An operator aborted it. */
    Aborted = "aborted",
    /** Another move of the service replaced it. */
    Replaced = "replaced",
}

const stepSchema = z.object({
    /** Unix milliseconds. */
    at: z.number(),
    share: z.number(),
    reason: z.enum(MoveReason),
    /** Attempts at the new version counted up to this step. */
    trials: z.number().int(),
    failures: z.number().int(),
});

/** Schema of a move's record in the platform's store. */
export const moveRecordSchema = z.object({
    id: z.string(),
    service: z.string(),
    from: z.string(),
    to: z.string(),
    /** Unix milliseconds. */
    started_at: z.number(),
    deadline: z.number(),
    state: z.enum(MoveState),
    share: z.number().min(0).max(1),
    reason: z.enum(MoveReason),
    detail: z.string().default(""),
    steps: z.array(stepSchema),
    ended_at: z.number().optional(),
    /** Fencing number of the lease under which the record was last written. */
    fencing: z.number().int().default(0),
    /** Failure domains of which no reachable node has confirmed the end of the move. */
    unconfirmed_domains: z.array(z.string()).default([]),
    /** Whether the list of unconfirmed domains is final. */
    is_accounted: z.boolean().default(false),
});
export type MoveRecord = z.infer<typeof moveRecordSchema>;

/** Parses a stored move; returns undefined when its value is invalid. */
export function parseMoveRecord(object: StoredObject): MoveRecord | undefined {
    const parsed = moveRecordSchema.safeParse(object.value);
    return parsed.success ? parsed.data : undefined;
}

/** Returns a copy of the record with a new share and a step that records the evidence for it. */
export function createShareStep(record: MoveRecord, share: number, at: number, trials: number, failures: number): MoveRecord {
    const step = { at, share, reason: MoveReason.Evidence, trials, failures };
    return { ...record, share, reason: MoveReason.Evidence, steps: [...record.steps, step] };
}

/** Returns a copy of the record in a final state, with its last step. */
export function createEndedRecord(
    record: MoveRecord,
    state: MoveState.Completed | MoveState.TakenBack,
    reason: MoveReason,
    detail: string,
    at: number,
    trials: number,
    failures: number,
): MoveRecord {
    const share = state === MoveState.Completed ? 1 : 0;
    const step = { at, share, reason, trials, failures };
    return { ...record, state, share, reason, detail, ended_at: at, steps: [...record.steps, step] };
}
