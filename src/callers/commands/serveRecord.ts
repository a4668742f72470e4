import { Response } from "express";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Verdict } from "../../common/verdict.js";
import { RequestRecord } from "../../requests/requestRecord.js";
import { RequestEnd, RequestOutcome } from "../../requests/types.js";
import { createUsage, EventFormat, EventStreamWriter } from "../eventStream.js";
import { sendProblem, setAnswerHeaders } from "../problem.js";
import { CallerParts } from "../types.js";

/** Answers a caller from a record, as a stream of events or as one body. */
export async function serveRecord(
    parts: CallerParts,
    record: RequestRecord,
    format: EventFormat,
    isStream: boolean,
    offset: number,
    response: Response,
): Promise<void> {
    parts.service.addReader(record);
    parts.metrics.openStreams.inc();
    try {
        if (isStream) {
            await serveStream(parts, record, format, offset, response);
        }
        else {
            await serveWhole(record, response);
        }
    }
    finally {
        parts.metrics.openStreams.dec();
        parts.service.removeReader(record);
    }
}

async function serveStream(
    parts: CallerParts,
    record: RequestRecord,
    format: EventFormat,
    offset: number,
    response: Response,
): Promise<void> {
    const writer = EventStreamWriter.create(response, record, format, offset);
    const end = await writer.waitForFirst();
    if (writer.isClosed()) {
        return;
    }
    if (end !== undefined && isEarlyFailure(end)) {
        sendEnd(record, end, response);
        return;
    }
    await writer.writeEvents();
}

function isEarlyFailure(end: RequestEnd): boolean {
    return end.outcome !== RequestOutcome.Finished && end.outcome !== RequestOutcome.HandedOver;
}

async function serveWhole(record: RequestRecord, response: Response): Promise<void> {
    const closed = new AbortController();
    response.on("close", () => closed.abort());
    while (record.getEnd() === undefined && !closed.signal.aborted) {
        await record.waitForChange(record.tokens.length, closed.signal);
    }
    const end = record.getEnd();
    if (end === undefined) {
        return;
    }
    sendEnd(record, end, response);
}

/** Answers with the end of a record: the whole answer, the place to go on, or the failure. */
export function sendEnd(record: RequestRecord, end: RequestEnd, response: Response): void {
    const { request, history } = record;
    if (end.outcome === RequestOutcome.Finished) {
        setAnswerHeaders(response, request.id, history.verdict, history.attempts.length);
        response.json(createWholeAnswer(record, end));
        return;
    }
    if (end.outcome === RequestOutcome.HandedOver) {
        setAnswerHeaders(response, request.id, Verdict.MayHaveRun, history.attempts.length);
        response.setHeader("location", `/v1/requests/${request.id}`);
        response.status(202).json({ id: request.id, status: "accepted", location: `/v1/requests/${request.id}` });
        return;
    }
    sendProblem(response, end.failure ?? Failure.create(history.verdict, Diagnostics.Caller_closed_the_connection), request.id, history);
}

function createWholeAnswer(record: RequestRecord, end: RequestEnd): Record<string, unknown> {
    const { request } = record;
    const text = record.tokens.join("");
    const finishReason = end.generation?.finishReason;
    const choice = request.isChat
        ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finishReason }
        : { index: 0, text, finish_reason: finishReason };
    return {
        id: `cmpl-${request.id}`,
        object: request.isChat ? "chat.completion" : "text_completion",
        created: Math.floor(request.arrivedAt / 1_000),
        model: request.service,
        choices: [choice],
        usage: createUsage(record, end),
        corianderward: { verdict: record.history.verdict, attempts: record.history.attempts.length },
    };
}
