import { z } from "zod";
import { Result } from "../common/results.js";
import { StoredObject, WriteFailure } from "../provider/types.js";

/** Stage of a service's move to another version; the values are stored. */
export enum MoveStage {
    /** The new version gets a small share of the requests. */
    Trial = "trial",
    /** Streams that cannot be resumed at another endpoint start at the new version only, so that none is running when the old one stops. */
    LongStreams = "long-streams",
    /** Every new request goes to the new version; the old one finishes its running requests. */
    All = "all",
    /** The new version serves all requests; the old endpoints stop. */
    Done = "done",
    /** The old version serves all requests; the new endpoints stop. */
    RolledBack = "rolled-back",
}

/** An operator's order to move a service's traffic to endpoints of another version by a deadline. */
export interface VersionMoveOrder {
    readonly service: string;
    readonly target: string;
    /** Time from the order to its deadline, in milliseconds. */
    readonly duration: number;
}

/** Stored status of a move, written by the duty for operators and the other nodes. */
export const versionMoveStatusSchema = z.object({
    target: z.string(),
    stage: z.enum(MoveStage),
    /** Unix milliseconds. */
    deadline: z.number(),
    reason: z.string(),
});
export type VersionMoveStatus = z.infer<typeof versionMoveStatusSchema>;

/** An order with its last written status; undefined before the first. */
export interface DecodedMove {
    readonly order: VersionMoveOrder;
    readonly account: VersionMoveStatus | undefined;
}

/** Decodes move orders from the format in which a deployment stores them. */
export interface VersionMoveDecoder {
    /** Name prefix of the objects that hold orders. */
    readonly prefix: string;
    decodeMove(object: StoredObject): Result<DecodedMove, string>;
}

/** Writes the status of moves to the store, where operators read it. */
export interface VersionMoveStatusStore {
    /** Replaces the status of an order if the store still has the object's revision; returns the new revision. */
    writeStatus(object: StoredObject, account: VersionMoveStatus): Promise<Result<number, WriteFailure>>;
}

/** Whether evidence concerns the old or the new version of a move. */
export enum VersionSide {
    Old = "old",
    New = "new",
}

/** Result of one attempt, as evidence about the endpoint's version. */
export interface VersionAttempt {
    readonly service: string;
    readonly route: string;
    readonly version: string;
    /** Requests at the endpoint as a share of its slots. */
    readonly load: number;
    /** Whether the endpoint responded without a failure. A lost connection is no evidence, since endpoints crash with any version. */
    readonly hasSucceeded: boolean;
    /** Time to the first event or the complete response as a multiple of the expected time; undefined when not measured. */
    readonly timeRatio: number | undefined;
}

/** Returns whether a move in this stage has ended. */
export function isFinalStage(stage: MoveStage): boolean {
    return stage === MoveStage.Done || stage === MoveStage.RolledBack;
}
