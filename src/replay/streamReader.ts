import { createParser } from "eventsource-parser";

import { z } from "zod";
import { Verdict } from "../common/verdict.js";
import { CallerRecord } from "./types.js";

const chunkSchema = z.object({ choices: z.array(z.object({ text: z.string().optional() })).min(1) });

/** How the stream of one connection ended. */
export enum StreamEnd {
    Whole = "whole",
    Failed = "failed",
    /** The node asked to attach again, or the connection broke. */
    Broken = "broken",
    Refused = "refused",
}

/** What one connection gave. */
export interface StreamResult {
    readonly end: StreamEnd;
    readonly status: number;
    readonly verdict: Verdict | undefined;
    readonly retryAfterSeconds: number | undefined;
    readonly detail: string;
}

/** Reads the events of an answer over one or several connections. */
export class StreamReader {
    private readonly decoder = new TextDecoder();
    private parser;
    private tokens = 0;
    private isWhole = false;
    private failure: string | undefined;
    private lastTokenAt: number | undefined;

    private constructor(readonly record: CallerRecord, private readonly startedAt: number) {
        this.parser = this.createEventParser();
    }

    static create(record: CallerRecord, startedAt: number): StreamReader {
        return new StreamReader(record, startedAt);
    }

    countTokens(): number {
        return this.tokens;
    }

    readChunk(chunk: Buffer): void {
        this.record.wasAccepted = true;
        this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    }

    readWholeText(text: string): void {
        this.record.wasAccepted = true;
        this.record.text = text;
    }

    createResult(): StreamResult {
        // The next connection begins with a new event.
        this.parser = this.createEventParser();
        if (this.failure !== undefined) {
            return { end: StreamEnd.Failed, status: 200, verdict: Verdict.MayHaveRun, retryAfterSeconds: undefined, detail: this.failure };
        }
        const end = this.isWhole ? StreamEnd.Whole : StreamEnd.Broken;
        return { end, status: 200, verdict: undefined, retryAfterSeconds: undefined, detail: this.isWhole ? "" : "stream broke off" };
    }

    private createEventParser() {
        return createParser({ onEvent: event => this.readEvent(event.event, event.data) });
    }

    private readEvent(name: string | undefined, data: string): void {
        if (data === "[DONE]") {
            this.isWhole = true;
            return;
        }
        if (name === "error") {
            this.failure = data.slice(0, 200);
            return;
        }
        const chunk = chunkSchema.safeParse(parseJson(data));
        const text = chunk.success ? chunk.data.choices[0]?.text ?? "" : "";
        if (text === "") {
            return;
        }
        this.record.text += text;
        this.tokens += 1;
        this.recordTime(performance.now());
    }

    private recordTime(now: number): void {
        if (this.lastTokenAt === undefined) {
            this.record.firstToken = now - this.startedAt;
        }
        else {
            this.record.gaps.push(now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
    }
}

/** Parses JSON, or returns undefined. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
