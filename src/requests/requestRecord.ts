import { Failure } from "../common/failure.js";
import { Span } from "../common/tracing.js";
import { raiseVerdict, Verdict } from "../common/verdict.js";
import { GenerationEnd } from "../endpoints/types.js";
import { AttemptOutcome, AttemptRecord, ModelRequest, RequestEnd, RequestOutcome } from "./types.js";

/** Summary of a request and its attempts, as the operator interface returns it. The arrival time is in Unix milliseconds. */
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

/** Records the attempts, the verdict and the hops of a generation or a plain call. */
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

    /** Records the end of an attempt and raises the request's verdict to at least the attempt's. */
    finishAttempt(attempt: AttemptRecord, outcome: AttemptOutcome, verdict: Verdict, text: string, endedAt: number): void {
        attempt.outcome = outcome;
        attempt.verdict = verdict;
        attempt.text = text;
        attempt.endedAt = endedAt;
        this.verdict = raiseVerdict(this.verdict, verdict);
    }
}

/** Holds a generation's tokens so far, its attempts and its end, so that callers can read the stream from any offset. */
export class RequestRecord {
    readonly tokens: string[] = [];
    readonly history = RequestHistory.create();
    readonly cancellation = new AbortController();
    /** Whether a peer has adopted the request. */
    isHandedOver = false;
    /** Whether the request is ended because the node stops and no peer has adopted it. */
    isEndedByStop = false;
    readerCount = 0;
    firstTokenAt: number | undefined;
    /** Number of tokens of a response that was stored as one text; undefined for a record with a token per element. */
    storedTokenCount: number | undefined;
    private end: RequestEnd | undefined;
    private currentAttemptId = "";
    /** Tokens received while buffering; undefined while not buffering. */
    private bufferedTokens: string[] | undefined;
    private readonly listeners = new Set<() => void>();

    private constructor(readonly request: ModelRequest, readonly span: Span) {}

    static create(request: ModelRequest, span: Span, tokens: readonly string[] = []): RequestRecord {
        const record = new RequestRecord(request, span);
        record.tokens.push(...tokens);
        return record;
    }

    /** Returns the number of tokens of the response so far. */
    countTokens(): number {
        return this.storedTokenCount ?? this.tokens.length;
    }

    /** Makes an attempt the current one; tokens of all others are rejected. */
    startAttempt(attempt: AttemptRecord): void {
        this.currentAttemptId = attempt.attemptId;
    }

    /** Adds a token of an attempt; returns false if the attempt is not the current one or the request has ended. */
    appendToken(attemptId: string, text: string): boolean {
        if (attemptId !== this.currentAttemptId || this.end !== undefined) {
            return false;
        }
        if (this.bufferedTokens !== undefined) {
            this.bufferedTokens.push(text);
            return true;
        }
        this.tokens.push(text);
        this.notifyListeners();
        return true;
    }

    /** Buffers new tokens while the request is offered to a peer, which continues from the tokens so far. */
    startBuffering(): void {
        this.bufferedTokens ??= [];
    }

    /** Appends the buffered tokens and stops buffering; called if no peer adopted the request or the request ended. */
    flushBufferedTokens(): void {
        this.tokens.push(...this.bufferedTokens ?? []);
        this.bufferedTokens = undefined;
        this.notifyListeners();
    }

    /** Adds a token that a peer relayed. */
    appendRelayedToken(text: string): void {
        this.tokens.push(text);
        this.notifyListeners();
    }

    /** Ends the request with a complete response. */
    finish(generation: GenerationEnd): void {
        this.setEnd({ outcome: RequestOutcome.Finished, generation, failure: undefined });
    }

    /** Ends the request with a failure, whose verdict is raised to at least that of the attempts. */
    finishWithFailure(failure: Failure): void {
        const verdict = raiseVerdict(this.history.verdict, failure.verdict);
        this.history.verdict = verdict;
        const outcome = verdict === Verdict.NotRun ? RequestOutcome.Refused : RequestOutcome.Failed;
        this.setEnd({ outcome, generation: undefined, failure: failure.setVerdict(verdict) });
    }

    /** Ends the record because the request was cancelled or a peer adopted it. */
    finishWithoutResponse(outcome: RequestOutcome.Cancelled | RequestOutcome.HandedOver): void {
        this.setEnd({ outcome, generation: undefined, failure: undefined });
    }

    getEnd(): RequestEnd | undefined {
        return this.end;
    }

    /** Calls a listener after every change; returns a function that removes the listener. */
    addListener(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Waits until the record has more than the given number of tokens or has ended, or the signal aborts. */
    async waitForChange(tokenCount: number, signal: AbortSignal): Promise<void> {
        if (this.tokens.length > tokenCount || this.end !== undefined || signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            const handleChange = () => {
                this.listeners.delete(handleChange);
                signal.removeEventListener("abort", handleChange);
                resolve();
            };
            this.listeners.add(handleChange);
            signal.addEventListener("abort", handleChange, { once: true });
        });
    }

    /** Returns the summary of the request for operators. */
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

    private setEnd(end: RequestEnd): void {
        if (this.end !== undefined) {
            return;
        }
        if (end.outcome !== RequestOutcome.HandedOver) {
            this.flushBufferedTokens();
        }
        this.end = end;
        this.notifyListeners();
    }

    private notifyListeners(): void {
        // A listener may remove itself during the iteration, which a Set allows.
        for (const listener of this.listeners) {
            listener();
        }
    }
}
