import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { hashSha256 } from "../../common/hashing.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { Verdict } from "../../common/verdict.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { StoredObject, WriteOutcome } from "../../provider/types.js";

/** Largest answer that is kept with a claim, in bytes. */
const storedAnswerBytes = 65_536;
/** Pause before a read or removal of a claim is tried again, in milliseconds. */
const retryPauseMilliseconds = 200;
const settleTries = 3;
const cleanupTries = 50;
const longestPauseFactor = 25;

/** How far the call behind a claim has come. */
export enum ClaimState {
    /** The call may have run; nothing more is known. */
    Claimed = "claimed",
    /** The call ran and its answer is stored. */
    Done = "done",
    /** The call ran; its answer was too large to store. */
    DoneWithoutAnswer = "done-without-answer",
}

const claimSchema = z.object({
    attempt_id: z.string(),
    request_id: z.string(),
    team: z.string(),
    body_hash: z.string(),
    state: z.enum(ClaimState),
    created_at: z.number(),
    retention_seconds: z.number(),
    status: z.number().optional(),
    content_type: z.string().optional(),
    body_base64: z.string().optional(),
});
type Claim = z.infer<typeof claimSchema>;

/** What is to be claimed. */
export interface ClaimRequest {
    readonly service: string;
    readonly key: string;
    readonly team: string;
    readonly requestId: string;
    readonly attemptId: string;
    readonly bodyHash: string;
    readonly retentionSeconds: number;
}

/** How an attempt to claim a key ended. */
export enum ClaimOutcome {
    /** The key is ours: the call may be dispatched. */
    Claimed = "claimed",
    /** An earlier call with the key ran; its answer is at hand. */
    AnswerStored = "answer-stored",
    /** The call must not be dispatched. */
    Refused = "refused",
    /** The platform cannot be reached; another node may reach it. */
    PlatformUnreachable = "platform-unreachable",
}

/** An answer kept with a claim. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string | undefined;
    readonly body: Buffer;
}

/** The result of claiming a key. */
export interface ClaimResult {
    readonly outcome: ClaimOutcome;
    readonly claim?: HeldClaim;
    readonly answer?: StoredAnswer;
    readonly failure?: Failure;
}

/** A claim that this node created. */
export interface HeldClaim {
    readonly name: string;
    readonly value: Claim;
    readonly revision: number;
}

/** Returns the object name of a claim. Keys are hashed, since callers choose them freely. */
export function createClaimName(service: string, team: string, key: string): string {
    return `claims/${service}/${hashSha256(`${team}\n${key}`)}`;
}

/** Creates, settles and removes the claims that keep calls from running twice. A claim is never taken over. */
export class ClaimStore {
    private readonly stopping = new AbortController();

    private constructor(
        private readonly store: ObjectStore,
        private readonly clock: Clock,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
    ) {}

    static create(store: ObjectStore, clock: Clock, metrics: Metrics, logger: Logger): ClaimStore {
        return new ClaimStore(store, clock, metrics, logger);
    }

    /** Ends the work in the background. */
    stop(): void {
        this.stopping.abort();
    }

    /** Claims a key before its call is dispatched. */
    async claimKey(request: ClaimRequest): Promise<ClaimResult> {
        const name = createClaimName(request.service, request.team, request.key);
        const value: Claim = {
            attempt_id: request.attemptId,
            request_id: request.requestId,
            team: request.team,
            body_hash: request.bodyHash,
            state: ClaimState.Claimed,
            created_at: this.clock.getWallTime(),
            retention_seconds: request.retentionSeconds,
        };
        const created = await this.store.createObject(name, value);
        const result = created.ok
            ? { outcome: ClaimOutcome.Claimed, claim: { name, value, revision: created.val } }
            : await this.settleFailedCreate(name, value, created.val.outcome);
        this.metrics.claims.inc({ service: request.service, outcome: result.outcome });
        return result;
    }

    /** Stores the answer of a call that ran, so that a resend gets it. */
    async storeAnswer(claim: HeldClaim, answer: StoredAnswer): Promise<void> {
        const isSmall = answer.body.length <= storedAnswerBytes;
        const value: Claim = {
            ...claim.value,
            state: isSmall ? ClaimState.Done : ClaimState.DoneWithoutAnswer,
            status: answer.status,
            content_type: answer.contentType,
            body_base64: isSmall ? answer.body.toString("base64") : undefined,
        };
        const written = await this.store.replaceObject(claim.name, value, claim.revision);
        if (written.err) {
            // The claim stays; a resend is told that the call may have run, which is true.
            this.logger.warn("answer was not stored with its claim", { claim: claim.name, outcome: written.val.outcome });
        }
    }

    /** Removes a claim whose call is known not to have run, so that a resend can run. */
    async releaseClaim(claim: HeldClaim): Promise<void> {
        const removed = await this.store.removeObject(claim.name, claim.revision);
        if (removed.err && removed.val.outcome !== WriteOutcome.Conflict) {
            void this.removeLater(claim.name, claim.value.attempt_id);
        }
    }

    private async settleFailedCreate(name: string, value: Claim, outcome: WriteOutcome): Promise<ClaimResult> {
        if (outcome === WriteOutcome.NotWritten) {
            return { outcome: ClaimOutcome.PlatformUnreachable };
        }
        // Either the claim exists, or the answer was lost and it may be ours: reading it back tells.
        for (let count = 0; count < settleTries; count += 1) {
            const found = await this.store.getObject(name);
            if (found.ok && found.val !== undefined) {
                return this.compareClaim(found.val, name, value);
            }
            if (found.ok && outcome === WriteOutcome.Unknown) {
                // Not there now, but a write without an answer may still arrive: do not dispatch on it.
                break;
            }
            await this.clock.sleep(retryPauseMilliseconds);
        }
        void this.removeLater(name, value.attempt_id);
        return { outcome: ClaimOutcome.PlatformUnreachable };
    }

    private compareClaim(found: StoredObject, name: string, value: Claim): ClaimResult {
        const parsed = claimSchema.safeParse(found.value);
        if (!parsed.success) {
            return createRefusal(Failure.create(Verdict.MayHaveRun, Diagnostics.Key_is_claimed_and_its_outcome_is_unknown));
        }
        const existing = parsed.data;
        if (existing.attempt_id === value.attempt_id) {
            return { outcome: ClaimOutcome.Claimed, claim: { name, value, revision: found.revision } };
        }
        if (existing.body_hash !== value.body_hash) {
            return createRefusal(Failure.create(Verdict.NotRun, Diagnostics.Key_was_used_with_another_body));
        }
        if (existing.state === ClaimState.Done) {
            const body = Buffer.from(existing.body_base64 ?? "", "base64");
            return {
                outcome: ClaimOutcome.AnswerStored,
                answer: { status: existing.status ?? 200, contentType: existing.content_type, body },
            };
        }
        const verdict = existing.state === ClaimState.Claimed ? Verdict.MayHaveRun : Verdict.Ran;
        return createRefusal(Failure.create(verdict, Diagnostics.Key_is_claimed_and_its_outcome_is_unknown));
    }

    /** Removes a claim that was perhaps created for a call that was then refused. Best effort. */
    private async removeLater(name: string, attemptId: string): Promise<void> {
        for (let count = 0; count < cleanupTries && !this.stopping.signal.aborted; count += 1) {
            await this.clock.sleep(retryPauseMilliseconds * Math.min(count + 1, longestPauseFactor), this.stopping.signal);
            const found = await this.store.getObject(name);
            if (found.err || found.val === undefined) {
                continue;
            }
            const parsed = claimSchema.safeParse(found.val.value);
            if (!parsed.success || parsed.data.attempt_id !== attemptId) {
                return;
            }
            const removed = await this.store.removeObject(name, found.val.revision);
            if (removed.ok || removed.val.outcome === WriteOutcome.Conflict) {
                return;
            }
        }
    }
}

/** Returns the Unix milliseconds after which a claim may be removed, or undefined for an object that is no claim. */
export function readClaimExpiry(object: StoredObject): number | undefined {
    const parsed = claimSchema.safeParse(object.value);
    if (!parsed.success) {
        return undefined;
    }
    return parsed.data.created_at + parsed.data.retention_seconds * 1_000;
}

function createRefusal(failure: Failure): ClaimResult {
    return { outcome: ClaimOutcome.Refused, failure };
}
