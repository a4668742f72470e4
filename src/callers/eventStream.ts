import { Response } from "express";
import { Verdict } from "../common/verdict.js";
import { RequestRecord } from "../requests/requestRecord.js";
import { RequestEnd, RequestOutcome } from "../requests/types.js";
import { createProblemBody, ResponseHeader, setResponseHeaders } from "./problem.js";

/** Time that a caller may take to drain a full send buffer before its connection is closed, in milliseconds. */
const drainTimeoutMilliseconds = 30_000;
/** Size at which a batch of token events is written, in characters; the last event may exceed it. */
const writeLimitCharacters = 16_384;
const endOfStreamEvent = "data: [DONE]\n\n";

/** Serialization of a response's server-sent events, which differs between completions and chat completions. */
export interface EventFormat {
    /** Event data before the JSON string of a token. */
    readonly beforeToken: string;
    /** Event data after the JSON string of a token. */
    readonly afterToken: string;
    /** Creates the data of the final event of a request that finished. */
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
        createEndEvent: (finishedRecord, end) => ({
            ...head,
            choices: [{ index: 0, ...emptyContent, finish_reason: end.generation?.finishReason }],
            ...(includeUsage ? { usage: createUsage(finishedRecord, end) } : {}),
            corianderward: { verdict: finishedRecord.history.verdict, attempts: finishedRecord.history.attempts.length },
        }),
    };
}

/** Creates the `usage` member of a response, with its token counts. */
export function createUsage(record: RequestRecord, end: RequestEnd): Record<string, unknown> {
    const promptTokens = end.generation?.promptTokens ?? 0;
    return {
        prompt_tokens: promptTokens,
        completion_tokens: record.countTokens(),
        total_tokens: promptTokens + record.countTokens(),
        prompt_tokens_details: { cached_tokens: end.generation?.cachedTokens ?? 0 },
    };
}

/** Streams a request's tokens to one caller as server-sent events, starting at a token offset and honoring backpressure. */
export class EventStreamWriter {
    private readonly closeController = new AbortController();
    private isCallerConnected = true;
    /** Tokens that the caller has, including those before the start offset. */
    private sentTokenCount: number;
    private isWriteScheduled = false;
    private isWaitingForDrain = false;
    private finishWriting: () => void = () => {};
    private removeRecordListener: () => void = () => {};

    private constructor(
        private readonly response: Response,
        private readonly record: RequestRecord,
        private readonly format: EventFormat,
        offset: number,
    ) {
        this.sentTokenCount = offset;
        response.on("close", () => this.handleClose());
        response.on("error", () => this.handleClose());
    }

    static create(response: Response, record: RequestRecord, format: EventFormat, offset: number): EventStreamWriter {
        return new EventStreamWriter(response, record, format, offset);
    }

    /** Waits for an unsent token, the end of the request or a disconnect. Returns the end if no token is left to send, else undefined. */
    async waitForFirstToken(): Promise<RequestEnd | undefined> {
        await this.record.waitForChange(this.sentTokenCount, this.closeController.signal);
        return this.record.tokens.length > this.sentTokenCount ? undefined : this.record.getEnd();
    }

    isClosed(): boolean {
        return !this.isCallerConnected;
    }

    private handleClose(): void {
        this.isCallerConnected = false;
        this.closeController.abort();
        this.finishWriting();
    }

    /** Writes events until the request has ended or the caller has disconnected. */
    async writeEvents(): Promise<void> {
        this.writeHead();
        await new Promise<void>(resolve => {
            this.finishWriting = resolve;
            const removeListener = this.record.addListener(() => this.scheduleWrite());
            this.removeRecordListener = removeListener;
            this.writePending();
        });
        this.removeRecordListener();
    }

    /** Defers the write to a microtask, so that tokens received in one chunk are sent in one write. */
    private scheduleWrite(): void {
        if (this.isWriteScheduled || this.isWaitingForDrain) {
            return;
        }
        this.isWriteScheduled = true;
        queueMicrotask(() => this.writePending());
    }

    private writePending(): void {
        this.isWriteScheduled = false;
        const { tokens } = this.record;
        while (this.sentTokenCount < tokens.length && !this.isWaitingForDrain) {
            if (this.isClosed()) {
                return;
            }
            this.isWaitingForDrain = !this.response.write(this.createTokenEvents(tokens));
            if (this.isWaitingForDrain) {
                this.waitForDrain();
            }
        }
        const end = this.record.getEnd();
        if (end !== undefined && this.sentTokenCount >= tokens.length && !this.isClosed()) {
            this.writeEnd(end);
            this.finishWriting();
        }
    }

    private createTokenEvents(tokens: readonly string[]): string {
        let text = "";
        while (this.sentTokenCount < tokens.length && text.length < writeLimitCharacters) {
            const token = JSON.stringify(tokens[this.sentTokenCount]);
            this.sentTokenCount += 1;
            text += `id: ${this.sentTokenCount}\ndata: ${this.format.beforeToken}${token}${this.format.afterToken}\n\n`;
        }
        return text;
    }

    private writeHead(): void {
        setResponseHeaders(this.response, this.record.request.id, Verdict.MayHaveRun, this.record.history.attempts.length);
        this.response.setHeader("content-type", "text/event-stream");
        this.response.setHeader("cache-control", "no-store");
        this.response.setHeader("trailer", `${ResponseHeader.Verdict}, ${ResponseHeader.Attempts}`);
        this.response.writeHead(200);
    }

    /** Resumes writing after the send buffer has drained. Closes the connection if that takes longer than the timeout. */
    private waitForDrain(): void {
        const timer = setTimeout(() => this.response.destroy(), drainTimeoutMilliseconds).unref();
        this.response.once("drain", () => {
            clearTimeout(timer);
            this.isWaitingForDrain = false;
            this.writePending();
        });
        this.response.once("close", () => clearTimeout(timer));
    }

    private writeEnd(end: RequestEnd): void {
        const { history, request } = this.record;
        if (end.outcome === RequestOutcome.Finished) {
            this.response.write(`id: ${this.sentTokenCount}\ndata: ${JSON.stringify(this.format.createEndEvent(this.record, end))}\n\n`);
            this.response.write(endOfStreamEvent);
        }
        else if (end.outcome === RequestOutcome.HandedOver) {
            const target = { location: `/v1/requests/${request.id}`, last_event_id: this.sentTokenCount };
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
        this.response.addTrailers({
            [ResponseHeader.Verdict]: history.verdict,
            [ResponseHeader.Attempts]: String(history.attempts.length),
        });
        this.response.end();
    }
}
