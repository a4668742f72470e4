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

/** Largest response body that is stored with a claim, in bytes. */
const storedResponseLimitBytes = 65_536;
/** Pause before a read or removal of a claim is retried. */
const retryPauseMilliseconds = 200;
const resolveAttemptLimit = 3;
const cleanupAttemptLimit = 50;
const maximumPauseFactor = 25;

/** Progress of the call that a claim protects. */
export enum ClaimState {
    /** The call may have run; its outcome is unknown. */
    Claimed = "claimed",
    /** The call ran and its response is stored. */
    Done = "done",
    /** The call ran; its response was too large to store. */
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

/** The idempotency key to claim and the call it belongs to. */
export interface ClaimRequest {
    readonly service: string;
    readonly key: string;
    readonly team: string;
    readonly requestId: string;
    readonly attemptId: string;
    readonly bodyHash: string;
    readonly retentionSeconds: number;
}

/** Outcome of an attempt to claim a key. */
export enum ClaimOutcome {
    /** This node holds the claim: the call may be dispatched. */
    Claimed = "claimed",
    /** An earlier call with the key ran; its stored response is returned. */
    ResponseStored = "answer-stored",
    /** The call must not be dispatched; the failure gives the reason. */
    Refused = "refused",
    /** This node cannot reach the platform's object store; another node may. */
    PlatformUnreachable = "platform-unreachable",
}

/** A response stored with a claim. */
export interface StoredResponse {
    readonly status: number;
    readonly contentType: string | undefined;
    readonly body: Buffer;
}

/** Result of claiming a key: a claim, a stored response or a failure, depending on the outcome. */
export interface ClaimResult {
    readonly outcome: ClaimOutcome;
    readonly claim?: OwnedClaim;
    readonly response?: StoredResponse;
    readonly failure?: Failure;
}

/** A claim that this node created, with the revision that a conditional write must name. */
export interface OwnedClaim {
    readonly name: string;
    readonly value: Claim;
    readonly revision: number;
}

/** Returns the object name of a claim. The key is hashed, since callers may use any characters in it. */
export function createClaimName(service: string, team: string, key: string): string {
    return `claims/${service}/${hashSha256(`${team}\n${key}`)}`;
}

/**
 * Stores claims on idempotency keys with the platform, so that a call that is not idempotent is dispatched at most once.
 * A claim never passes to another attempt.
 */
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

    /** Stops the removals that run in the background. */
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
            : await this.resolveFailedCreate(name, value, created.val.outcome);
        this.metrics.claims.inc({ service: request.service, outcome: result.outcome });
        return result;
    }

    /** Stores the response of a call that ran, so that a retry with the same key receives it. */
    async storeResponse(claim: OwnedClaim, response: StoredResponse): Promise<void> {
        const isSmall = response.body.length <= storedResponseLimitBytes;
        const value: Claim = {
            ...claim.value,
            state: isSmall ? ClaimState.Done : ClaimState.DoneWithoutAnswer,
            status: response.status,
            content_type: response.contentType,
            body_base64: isSmall ? response.body.toString("base64") : undefined,
        };
        const written = await this.store.replaceObject(claim.name, value, claim.revision);
        if (written.err) {
            // The claim stays, so a retry gets the verdict MayHaveRun, which is correct.
            this.logger.warn("response was not stored with its claim", { claim: claim.name, outcome: written.val.outcome });
        }
    }

    /** Removes the claim of a call that certainly did not run, so that a retry can run. */
    async releaseClaim(claim: OwnedClaim): Promise<void> {
        const removed = await this.store.removeObject(claim.name, claim.revision);
        if (removed.err && removed.val.outcome !== WriteOutcome.Conflict) {
            void this.removeInBackground(claim.name, claim.value.attempt_id);
        }
    }

    /** Determines the outcome of a create that failed, by reading the claim back unless it was certainly not written. */
    private async resolveFailedCreate(name: string, value: Claim, outcome: WriteOutcome): Promise<ClaimResult> {
        if (outcome === WriteOutcome.NotWritten) {
            return { outcome: ClaimOutcome.PlatformUnreachable };
        }
        // Either another claim exists, or the store's response was lost and this claim may have been written: read it back.
        for (let count = 0; count < resolveAttemptLimit; count += 1) {
            const found = await this.store.getObject(name);
            if (found.ok && found.val !== undefined) {
                return this.compareClaim(found.val, name, value);
            }
            if (found.ok && outcome === WriteOutcome.Unknown) {
                // The claim is absent, but the write with the unknown outcome may still take effect: do not dispatch the call.
                break;
            }
            await this.clock.sleep(retryPauseMilliseconds);
        }
        void this.removeInBackground(name, value.attempt_id);
        return { outcome: ClaimOutcome.PlatformUnreachable };
    }

    /** Derives the outcome from the stored claim: this attempt's own, or that of an earlier call with the same key. */
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
                outcome: ClaimOutcome.ResponseStored,
                response: { status: existing.status ?? 200, contentType: existing.content_type, body },
            };
        }
        const verdict = existing.state === ClaimState.Claimed ? Verdict.MayHaveRun : Verdict.Ran;
        return createRefusal(Failure.create(verdict, Diagnostics.Key_is_claimed_and_its_outcome_is_unknown));
    }

    /** Removes a claim that may have been created for a call that was then refused. Best effort: gives up after a number of tries. */
    private async removeInBackground(name: string, attemptId: string): Promise<void> {
        for (let count = 0; count < cleanupAttemptLimit && !this.stopping.signal.aborted; count += 1) {
            await this.clock.sleep(retryPauseMilliseconds * Math.min(count + 1, maximumPauseFactor), this.stopping.signal);
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

/** Returns the Unix time in milliseconds after which a claim may be removed, or undefined if the object is not a claim. */
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
