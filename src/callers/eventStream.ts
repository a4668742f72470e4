import { Response } from "express";
import { Verdict } from "../common/verdict.js";
import { RequestRecord } from "../requests/requestRecord.js";
import { RequestEnd, RequestOutcome } from "../requests/types.js";
import { AnswerHeader, createProblemBody, setAnswerHeaders } from "./problem.js";

/** Time for which a caller may leave its connection full before it is closed, in milliseconds. */
const stalledCallerMilliseconds = 30_000;
/** Characters that one write gathers at the most. */
const writeCharacters = 16_384;
const endOfStream = "data: [DONE]\n\n";

/** How the events of an answer look. */
export interface EventFormat {
    /** Returns the text before and after the JSON string of a token. */
    readonly beforeToken: string;
    readonly afterToken: string;
    /** Returns the last event of a whole answer. */
    createEndEvent(record: RequestRecord, end: RequestEnd): unknown;
}

/** Creates the event format of completions. */
export function createCompletionFormat(record: RequestRecord, includeUsage: boolean): EventFormat {
    return createFormat(
        record,
        "text_completion",
        `{"index":0,"text":`,
        `,"logprobs":null,"finish_reason":null}`,
        { text: "" },
        includeUsage,
    );
}

/** Creates the event format of chat completions. */
export function createChatFormat(record: RequestRecord, includeUsage: boolean): EventFormat {
    return createFormat(
        record,
        "chat.completion.chunk",
        `{"index":0,"delta":{"content":`,
        `},"finish_reason":null}`,
        { delta: {} },
        includeUsage,
    );
}

function createFormat(
    record: RequestRecord,
    objectName: string,
    beforeText: string,
    afterText: string,
    emptyContent: Record<string, unknown>,
    includeUsage: boolean,
): EventFormat {
    const { request } = record;
    const head = { id: `cmpl-${request.id}`, object: objectName, created: Math.floor(request.arrivedAt / 1_000), model: request.service };
    const prefix = JSON.stringify(head).slice(0, -1);
    return {
        beforeToken: `${prefix},"choices":[${beforeText}`,
        afterToken: `${afterText}]}`,
        createEndEvent: (ended, end) => ({
            ...head,
            choices: [{ index: 0, ...emptyContent, finish_reason: end.generation?.finishReason }],
            ...(includeUsage ? { usage: createUsage(ended, end) } : {}),
            corianderward: { verdict: ended.history.verdict, attempts: ended.history.attempts.length },
        }),
    };
}

/** Creates the usage member of an answer. */
export function createUsage(record: RequestRecord, end: RequestEnd): Record<string, unknown> {
    const promptTokens = end.generation?.promptTokens ?? 0;
    return {
        prompt_tokens: promptTokens,
        completion_tokens: record.countTokens(),
        total_tokens: promptTokens + record.countTokens(),
        prompt_tokens_details: { cached_tokens: end.generation?.cachedTokens ?? 0 },
    };
}

/** Streams a record to one caller from a token on, as fast as the caller reads. */
export class EventStreamWriter {
    private readonly closed = new AbortController();
    private hasCaller = true;
    private sent: number;
    private isScheduled = false;
    private isBlocked = false;
    private finish: () => void = () => {};
    private release: () => void = () => {};

    private constructor(
        private readonly response: Response,
        private readonly record: RequestRecord,
        private readonly format: EventFormat,
        offset: number,
    ) {
        this.sent = offset;
        response.on("close", () => this.handleClose());
        response.on("error", () => this.handleClose());
    }

    static create(response: Response, record: RequestRecord, format: EventFormat, offset: number): EventStreamWriter {
        return new EventStreamWriter(response, record, format, offset);
    }

    /** Waits until there is something to send; returns the end when the request ended before any token. */
    async waitForFirst(): Promise<RequestEnd | undefined> {
        await this.record.waitForChange(this.sent, this.closed.signal);
        return this.record.tokens.length > this.sent ? undefined : this.record.getEnd();
    }

    isClosed(): boolean {
        return !this.hasCaller;
    }

    private handleClose(): void {
        this.hasCaller = false;
        this.closed.abort();
        this.finish();
    }

    /** Sends events until the request has ended or the caller is gone. */
    async writeEvents(): Promise<void> {
        this.writeHead();
        await new Promise<void>(resolve => {
            this.finish = resolve;
            const removeListener = this.record.addListener(() => this.scheduleWrite());
            this.release = removeListener;
            this.writePending();
        });
        this.release();
    }

    /** Tokens that come in one chunk go out in one write. */
    private scheduleWrite(): void {
        if (this.isScheduled || this.isBlocked) {
            return;
        }
        this.isScheduled = true;
        queueMicrotask(() => this.writePending());
    }

    private writePending(): void {
        this.isScheduled = false;
        const { tokens } = this.record;
        while (this.sent < tokens.length && !this.isBlocked) {
            if (this.isClosed()) {
                return;
            }
            this.isBlocked = !this.response.write(this.createTokenEvents(tokens));
            if (this.isBlocked) {
                this.waitForDrain();
            }
        }
        const end = this.record.getEnd();
        if (end !== undefined && this.sent >= tokens.length && !this.isClosed()) {
            this.writeEnd(end);
            this.finish();
        }
    }

    private createTokenEvents(tokens: readonly string[]): string {
        let text = "";
        while (this.sent < tokens.length && text.length < writeCharacters) {
            const token = JSON.stringify(tokens[this.sent]);
            this.sent += 1;
            text += `id: ${this.sent}\ndata: ${this.format.beforeToken}${token}${this.format.afterToken}\n\n`;
        }
        return text;
    }

    private writeHead(): void {
        setAnswerHeaders(this.response, this.record.request.id, Verdict.MayHaveRun, this.record.history.attempts.length);
        this.response.setHeader("content-type", "text/event-stream");
        this.response.setHeader("cache-control", "no-store");
        this.response.setHeader("trailer", `${AnswerHeader.Verdict}, ${AnswerHeader.Attempts}`);
        this.response.writeHead(200);
    }

    /** Goes on when the caller has read enough; a caller that reads nothing for too long is closed. */
    private waitForDrain(): void {
        const timer = setTimeout(() => this.response.destroy(), stalledCallerMilliseconds).unref();
        this.response.once("drain", () => {
            clearTimeout(timer);
            this.isBlocked = false;
            this.writePending();
        });
        this.response.once("close", () => clearTimeout(timer));
    }

    private writeEnd(end: RequestEnd): void {
        const { history, request } = this.record;
        if (end.outcome === RequestOutcome.Finished) {
            this.response.write(`id: ${this.sent}\ndata: ${JSON.stringify(this.format.createEndEvent(this.record, end))}\n\n`);
            this.response.write(endOfStream);
        }
        else if (end.outcome === RequestOutcome.HandedOver) {
            const target = { location: `/v1/requests/${request.id}`, last_event_id: this.sent };
            this.response.write(`event: reattach\ndata: ${JSON.stringify(target)}\n\n`);
        }
        else if (end.failure !== undefined) {
            const problem = createProblemBody(end.failure, request.id, history.attempts.length);
            this.response.write(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
        }
        else {
            this.response.destroy();
            return;
        }
        this.response.addTrailers({ [AnswerHeader.Verdict]: history.verdict, [AnswerHeader.Attempts]: String(history.attempts.length) });
        this.response.end();
    }
}
