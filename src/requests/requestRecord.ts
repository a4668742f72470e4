import { Failure } from "../common/failure.js";
import { Span } from "../common/tracing.js";
import { raiseVerdict, Verdict } from "../common/verdict.js";
import { GenerationEnd } from "../endpoints/types.js";
import { AttemptOutcome, AttemptRecord, ModelRequest, RequestEnd, RequestOutcome } from "./types.js";

/** What operators read of a request. */
export interface RequestExplanation {
    readonly id: string;
    readonly team: string;
    readonly service: string;
    readonly arrivedAt: number;
    readonly outcome: RequestOutcome;
    readonly verdict: Verdict;
    readonly text: string;
    readonly tokens: number;
    readonly attempts: readonly AttemptRecord[];
    readonly hops: readonly string[];
}

/** Attempts, verdict and hops, which every kind of request has. */
export class RequestHistory {
    readonly attempts: AttemptRecord[] = [];
    readonly hops: string[] = [];
    verdict = Verdict.NotRun;

    private constructor() {}

    static create(): RequestHistory {
        return new RequestHistory();
    }

    /** Records the start of an attempt. */
    addAttempt(attemptId: string, endpoint: string, version: string, startedAt: number, startOffset: number): AttemptRecord {
        const attempt: AttemptRecord = {
            attemptId,
            endpoint,
            version,
            startedAt,
            startOffset,
            endedAt: undefined,
            outcome: AttemptOutcome.Running,
            verdict: Verdict.NotRun,
            text: "",
        };
        this.attempts.push(attempt);
        return attempt;
    }

    /** Records the end of an attempt and raises the request's verdict with it. */
    finishAttempt(attempt: AttemptRecord, outcome: AttemptOutcome, verdict: Verdict, text: string, endedAt: number): void {
        attempt.outcome = outcome;
        attempt.verdict = verdict;
        attempt.text = text;
        attempt.endedAt = endedAt;
        this.verdict = raiseVerdict(this.verdict, verdict);
    }
}

/** A generation in progress: its tokens so far, its attempts and its end. Callers read from it at any offset. */
export class RequestRecord {
    readonly tokens: string[] = [];
    readonly history = RequestHistory.create();
    readonly cancellation = new AbortController();
    /** Set when the node is to give the request to another one. */
    isHandedOver = false;
    readerCount = 0;
    firstTokenAt: number | undefined;
    /** Tokens of an answer that was stored as one text; undefined for a live record. */
    storedTokenCount: number | undefined;
    private end: RequestEnd | undefined;
    private currentAttemptId = "";
    /** Tokens that came while the record was frozen; undefined while it is not. */
    private held: string[] | undefined;
    private readonly waiters = new Set<() => void>();

    private constructor(readonly request: ModelRequest, readonly span: Span) {}

    static create(request: ModelRequest, span: Span, tokens: readonly string[] = []): RequestRecord {
        const record = new RequestRecord(request, span);
        record.tokens.push(...tokens);
        return record;
    }

    /** Returns how many tokens the answer has so far. */
    countTokens(): number {
        return this.storedTokenCount ?? this.tokens.length;
    }

    /** Makes an attempt the only one whose tokens count. */
    startAttempt(attempt: AttemptRecord): void {
        this.currentAttemptId = attempt.attemptId;
    }

    /** Adds a token of an attempt; returns false when the attempt is no longer the current one. */
    appendToken(attemptId: string, text: string): boolean {
        if (attemptId !== this.currentAttemptId || this.end !== undefined) {
            return false;
        }
        if (this.held !== undefined) {
            this.held.push(text);
            return true;
        }
        this.tokens.push(text);
        this.notifyWaiters();
        return true;
    }

    /** Keeps new tokens aside, while another node is asked to go on from here. */
    stopAppending(): void {
        this.held ??= [];
    }

    /** Takes in the tokens kept aside: the request stays here after all. */
    resumeAppending(): void {
        this.tokens.push(...this.held ?? []);
        this.held = undefined;
        this.notifyWaiters();
    }

    /** Adds a token that another node relayed. */
    appendRelayedToken(text: string): void {
        this.tokens.push(text);
        this.notifyWaiters();
    }

    /** Ends the request with a whole answer. */
    finish(generation: GenerationEnd): void {
        this.settleEnd({ outcome: RequestOutcome.Finished, generation, failure: undefined });
    }

    /** Ends the request with a failure, whose verdict is raised to that of the attempts. */
    finishWithFailure(failure: Failure): void {
        const verdict = raiseVerdict(this.history.verdict, failure.verdict);
        this.history.verdict = verdict;
        const outcome = verdict === Verdict.NotRun ? RequestOutcome.Refused : RequestOutcome.Failed;
        this.settleEnd({ outcome, generation: undefined, failure: failure.setVerdict(verdict) });
    }

    /** Ends the record because the caller went away or another node owns the request now. */
    finishWithoutAnswer(outcome: RequestOutcome.Cancelled | RequestOutcome.HandedOver): void {
        this.settleEnd({ outcome, generation: undefined, failure: undefined });
    }

    getEnd(): RequestEnd | undefined {
        return this.end;
    }

    /** Calls a listener at every change; the function returned ends that. */
    addListener(listener: () => void): () => void {
        this.waiters.add(listener);
        return () => this.waiters.delete(listener);
    }

    /** Waits until the record holds more than a number of tokens, or has ended, or the signal aborts. */
    async waitForChange(tokenCount: number, signal: AbortSignal): Promise<void> {
        if (this.tokens.length > tokenCount || this.end !== undefined || signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            const settle = () => {
                this.waiters.delete(settle);
                signal.removeEventListener("abort", settle);
                resolve();
            };
            this.waiters.add(settle);
            signal.addEventListener("abort", settle, { once: true });
        });
    }

    /** Returns what operators read of the request. */
    createExplanation(): RequestExplanation {
        return {
            id: this.request.id,
            team: this.request.team,
            service: this.request.service,
            arrivedAt: this.request.arrivedAt,
            outcome: this.end?.outcome ?? RequestOutcome.Running,
            verdict: this.history.verdict,
            text: this.end?.failure?.text ?? "",
            tokens: this.tokens.length,
            attempts: this.history.attempts,
            hops: this.history.hops,
        };
    }

    private settleEnd(end: RequestEnd): void {
        if (this.end !== undefined) {
            return;
        }
        if (end.outcome !== RequestOutcome.HandedOver) {
            this.resumeAppending();
        }
        this.end = end;
        this.notifyWaiters();
    }

    private notifyWaiters(): void {
        // A waiter may remove itself meanwhile; sets allow that.
        for (const waiter of this.waiters) {
            waiter();
        }
    }
}
