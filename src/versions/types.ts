import { z } from "zod";
import { Result } from "../common/results.js";
import { StoredObject, WriteFailure } from "../provider/types.js";

/** How far the move of a service to another version has come. */
export enum MoveStage {
    /** The new version gets a small share of the requests. */
    Trial = "trial",
    /** Streams that cannot go on elsewhere start at the new version only, so that none is left when the old one stops. */
    LongStreams = "long-streams",
    /** Every new request goes to the new version; the old one ends what it runs. */
    All = "all",
    /** The new version serves; the old endpoints stop. */
    Done = "done",
    /** The old version serves; the new endpoints leave. */
    RolledBack = "rolled-back",
}

/** What an operator ordered: a service's requests are to be served by endpoints of another version. */
export interface VersionMoveOrder {
    readonly service: string;
    readonly target: string;
    /** Time from the order to its deadline, in milliseconds. */
    readonly duration: number;
}

/** What the product says of a move, for operators and for its own nodes. */
export const moveAccountSchema = z.object({
    target: z.string(),
    stage: z.enum(MoveStage),
    /** Unix milliseconds. */
    deadline: z.number(),
    reason: z.string(),
});
export type MoveAccount = z.infer<typeof moveAccountSchema>;

/** An order with the account that was last written of it. */
export interface DecodedMove {
    readonly order: VersionMoveOrder;
    readonly account: MoveAccount | undefined;
}

/** Reads orders from the form in which a deployment stores them. */
export interface VersionMoveDecoder {
    /** Prefix of the objects that hold orders. */
    readonly prefix: string;
    decodeMove(object: StoredObject): Result<DecodedMove, string>;
}

/** Writes accounts of moves where operators read them. */
export interface MoveAccountStore {
    /** Replaces the account of an order that must still have a revision; returns the new revision. */
    writeAccount(object: StoredObject, account: MoveAccount): Promise<Result<number, WriteFailure>>;
}

/** Which of the two versions of a move an endpoint has. */
export enum VersionSide {
    Old = "old",
    New = "new",
}

/** What one attempt showed of an endpoint's version. */
export interface VersionAttempt {
    readonly service: string;
    readonly route: string;
    readonly version: string;
    /** Requests at the endpoint as a share of what it runs at the same time. */
    readonly load: number;
    /** Whether it answered without a failure. A lost connection shows nothing of the version: endpoints die on any. */
    readonly hasSucceeded: boolean;
    /** Time to the first event or the whole answer as a multiple of what was expected; undefined when it is not known. */
    readonly timeRatio: number | undefined;
}

/** Returns whether a move has ended. */
export function isSettledStage(stage: MoveStage): boolean {
    return stage === MoveStage.Done || stage === MoveStage.RolledBack;
}
