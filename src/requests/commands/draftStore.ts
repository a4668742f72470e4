import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { Diagnostics, findDiagnosticMessage } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Err, Ok, Result } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { FinishReason, GenerationEnd } from "../../endpoints/types.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { StoredObject, WriteOutcome } from "../../provider/types.js";
import { decodeRequest, encodeRequest, storedRequestSchema } from "../requestCodec.js";
import { RequestRecord } from "../requestRecord.js";
import { ModelRequest } from "../types.js";

/** First pause before a write or read is retried; storeEnd doubles it up to the maximum. */
const retryPauseMilliseconds = 250;
const maximumRetryPauseMilliseconds = 5_000;
const confirmAttemptLimit = 4;

/** Progress of an asynchronous request. */
export enum DraftState {
    Pending = "pending",
    Done = "done",
    Failed = "failed",
}

const draftSchema = z.object({
    request: storedRequestSchema,
    owner: z.string(),
    incarnation: z.number(),
    state: z.enum(DraftState),
    text: z.string().default(""),
    tokens: z.number().int().default(0),
    prompt_tokens: z.number().int().default(0),
    cached_tokens: z.number().int().default(0),
    finish_reason: z.enum(FinishReason).optional(),
    failure_code: z.number().int().optional(),
    failure_text: z.string().optional(),
    failure_verdict: z.enum(Verdict).optional(),
});
type StoredDraft = z.infer<typeof draftSchema>;

/** A stored asynchronous request, with the revision that a conditional write must name. */
export interface Draft {
    readonly name: string;
    readonly revision: number;
    readonly request: ModelRequest;
    readonly owner: string;
    readonly incarnation: number;
    readonly state: DraftState;
    readonly text: string;
    readonly tokens: number;
    readonly generation: GenerationEnd | undefined;
    readonly failure: Failure | undefined;
}

/** Node, in one incarnation, that runs a stored request. */
export interface DraftOwner {
    readonly name: string;
    readonly incarnation: number;
}

/** Returns the prefix of the names of the objects that store a failure domain's asynchronous requests. */
export function createDraftPrefix(failureDomain: string): string {
    return `drafts/${failureDomain}/`;
}

/** Stores asynchronous requests with the platform, so that another node can run them if the accepting node is lost. */
export class DraftStore {
    private constructor(private readonly store: ObjectStore, private readonly clock: Clock, private readonly failureDomain: string) {}

    static create(store: ObjectStore, clock: Clock, failureDomain: string): DraftStore {
        return new DraftStore(store, clock, failureDomain);
    }

    /** Stores a new request and returns its revision. A request must not be accepted before it is stored. */
    async storeRequest(request: ModelRequest, owner: DraftOwner): Promise<Result<number, Failure>> {
        const name = this.createName(request.id);
        const value: StoredDraft = createStoredDraft(request, owner);
        const created = await this.store.createObject(name, value);
        if (created.ok) {
            return created;
        }
        if (created.val.outcome === WriteOutcome.Unknown) {
            return this.resolveUnknownCreate(name);
        }
        return Err(createPlatformFailure(created.val.failure.text));
    }

    /** Returns a stored request of this failure domain, or undefined if none exists or the object cannot be parsed. */
    async findDraft(requestId: string): Promise<Result<Draft | undefined, Failure>> {
        const found = await this.store.getObject(this.createName(requestId));
        if (found.err) {
            return found;
        }
        return Ok(found.val === undefined ? undefined : parseDraft(found.val));
    }

    /** Returns the stored requests of this failure domain that are still pending. */
    async listPending(): Promise<Result<Draft[], Failure>> {
        const listed = await this.store.listObjects(createDraftPrefix(this.failureDomain));
        return listed.map(list => list.objects.map(parseDraft).filter(draft => draft?.state === DraftState.Pending) as Draft[]);
    }

    /** Stores a new owner and returns the new revision; fails if the request was changed since the draft was read. */
    async adoptDraft(draft: Draft, owner: DraftOwner): Promise<Result<number, Failure>> {
        const replaced = await this.store.replaceObject(draft.name, createStoredDraft(draft.request, owner), draft.revision);
        return replaced.mapErr(error => createPlatformFailure(error.failure.text));
    }

    /**
     * Stores the end of a request and returns whether it was stored. Retries until it succeeds, the signal aborts, or the
     * stored request is no longer pending or no longer belongs to the given owner.
     */
    async storeEnd(record: RequestRecord, owner: DraftOwner, signal: AbortSignal): Promise<boolean> {
        let pause = retryPauseMilliseconds;
        while (!signal.aborted) {
            const found = await this.findDraft(record.request.id);
            if (found.ok && !isOwned(found.val, owner)) {
                return false;
            }
            if (found.ok) {
                const draft = found.val as Draft;
                const written = await this.store.replaceObject(draft.name, createEndedDraft(record, owner), draft.revision);
                if (written.ok) {
                    return true;
                }
            }
            await this.clock.sleep(pause, signal);
            pause = Math.min(maximumRetryPauseMilliseconds, pause * 2);
        }
        return false;
    }

    private createName(requestId: string): string {
        return createDraftPrefix(this.failureDomain) + requestId;
    }

    /** Reads a draft back after a create with an unknown outcome; returns its revision if it exists. */
    private async resolveUnknownCreate(name: string): Promise<Result<number, Failure>> {
        for (let count = 0; count < confirmAttemptLimit; count += 1) {
            const found = await this.store.getObject(name);
            if (found.ok && found.val !== undefined) {
                return Ok(found.val.revision);
            }
            await this.clock.sleep(retryPauseMilliseconds);
        }
        // If the write takes effect later, the refused request still runs, which is harmless: generations are idempotent.
        return Err(createPlatformFailure("the request could not be stored"));
    }
}

function isOwned(draft: Draft | undefined, owner: DraftOwner): boolean {
    return draft !== undefined && draft.state === DraftState.Pending && draft.owner === owner.name
        && draft.incarnation === owner.incarnation;
}

function createPlatformFailure(text: string): Failure {
    return Failure.create(Verdict.NotRun, Diagnostics.Platform_is_not_reachable_0, text).setRetryAfter(1);
}

function createStoredDraft(request: ModelRequest, owner: DraftOwner): StoredDraft {
    return {
        request: encodeRequest(request),
        owner: owner.name,
        incarnation: owner.incarnation,
        state: DraftState.Pending,
        text: "",
        tokens: 0,
        prompt_tokens: 0,
        cached_tokens: 0,
    };
}

function createEndedDraft(record: RequestRecord, owner: DraftOwner): StoredDraft {
    const end = record.getEnd();
    const base = createStoredDraft(record.request, owner);
    if (end?.generation !== undefined) {
        return {
            ...base,
            state: DraftState.Done,
            text: record.tokens.join(""),
            tokens: record.tokens.length,
            prompt_tokens: end.generation.promptTokens,
            cached_tokens: end.generation.cachedTokens,
            finish_reason: end.generation.finishReason,
        };
    }
    return {
        ...base,
        state: DraftState.Failed,
        failure_code: end?.failure?.message.code,
        failure_text: end?.failure?.text,
        failure_verdict: end?.failure?.verdict,
    };
}

function parseDraft(object: StoredObject): Draft | undefined {
    const parsed = draftSchema.safeParse(object.value);
    if (!parsed.success) {
        return undefined;
    }
    const stored = parsed.data;
    const generation = stored.finish_reason === undefined ? undefined : {
        finishReason: stored.finish_reason,
        promptTokens: stored.prompt_tokens,
        cachedTokens: stored.cached_tokens,
        recomputedTokens: 0,
    };
    return {
        name: object.name,
        revision: object.revision,
        request: decodeRequest(stored.request),
        owner: stored.owner,
        incarnation: stored.incarnation,
        state: stored.state,
        text: stored.text,
        tokens: stored.tokens,
        generation,
        failure: stored.state === DraftState.Failed ? createStoredFailure(stored) : undefined,
    };
}

function createStoredFailure(stored: StoredDraft): Failure {
    const message = findDiagnosticMessage(stored.failure_code);
    return Failure.createFormatted(stored.failure_verdict ?? Verdict.MayHaveRun, message, stored.failure_text ?? message.text);
}
