import { z } from "zod";
import { StoredObject } from "../../provider/types.js";

/** How far a move has come. */
export enum MoveState {
    Running = "running",
    /** The new version serves all traffic. */
    Completed = "completed",
    /** The old version serves all traffic. */
    TakenBack = "taken-back",
}

/** Why a move was taken back, or why it stands where it does. */
export enum MoveReason {
    Started = "started",
    /** The evidence allowed a larger share. */
    Evidence = "evidence",
    /** The new version fails more than the old one. */
    Failures = "failures",
    /** The new version is slow to the first token or answer. */
    SlowFirstToken = "slow-first-token",
    /** The new version is slow between tokens. */
    SlowTokens = "slow-between-tokens",
    /** The new version's answers end early. */
    Incomplete = "incomplete-answers",
    /** The deadline came before the move was completed. */
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
    /** Attempts at the new version counted until then. */
    trials: z.number().int(),
    failures: z.number().int(),
});

/** The shape of a move in the platform. */
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
    /** Failure domains from which no node was heard after the end. */
    unconfirmed_domains: z.array(z.string()).default([]),
    /** Whether the list of unconfirmed domains is final. */
    is_accounted: z.boolean().default(false),
});
export type MoveRecord = z.infer<typeof moveRecordSchema>;

/** Parses a stored move; undefined when it cannot be read. */
export function parseMoveRecord(object: StoredObject): MoveRecord | undefined {
    const parsed = moveRecordSchema.safeParse(object.value);
    return parsed.success ? parsed.data : undefined;
}

/** Returns a record with another share, and the step that explains it. */
export function createShareStep(record: MoveRecord, share: number, at: number, trials: number, failures: number): MoveRecord {
    const step = { at, share, reason: MoveReason.Evidence, trials, failures };
    return { ...record, share, reason: MoveReason.Evidence, steps: [...record.steps, step] };
}

/** Returns the record of a move that ended. */
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
