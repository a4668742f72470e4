import { Response } from "express";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Verdict } from "../../common/verdict.js";
import { RequestRecord } from "../../requests/requestRecord.js";
import { RequestEnd, RequestOutcome } from "../../requests/types.js";
import { createUsage, EventFormat, EventStreamWriter } from "../eventStream.js";
import { sendProblem, setResponseHeaders } from "../problem.js";
import { CallerDependencies } from "../types.js";

/** Sends a record's response to a caller, as server-sent events from a token offset or as one body. */
export async function serveRecord(
    dependencies: CallerDependencies,
    record: RequestRecord,
    format: EventFormat,
    isStream: boolean,
    offset: number,
    response: Response,
): Promise<void> {
    response.once("close", dependencies.requestTable.addOpenResponse());
    dependencies.service.addReader(record);
    dependencies.metrics.openStreams.inc();
    try {
        if (isStream) {
            await serveStream(dependencies, record, format, offset, response);
        }
        else {
            await serveUnstreamed(record, response);
        }
    }
    finally {
        dependencies.metrics.openStreams.dec();
        dependencies.service.removeReader(record);
    }
}

async function serveStream(
    dependencies: CallerDependencies,
    record: RequestRecord,
    format: EventFormat,
    offset: number,
    response: Response,
): Promise<void> {
    const writer = EventStreamWriter.create(response, record, format, offset);
    const end = await writer.waitForFirstToken();
    if (writer.isClosed()) {
        return;
    }
    if (end !== undefined && isEarlyFailure(end)) {
        sendResult(record, end, response);
        return;
    }
    await writer.writeEvents();
}

function isEarlyFailure(end: RequestEnd): boolean {
    return end.outcome !== RequestOutcome.Finished && end.outcome !== RequestOutcome.HandedOver;
}

async function serveUnstreamed(record: RequestRecord, response: Response): Promise<void> {
    const disconnectController = new AbortController();
    response.on("close", () => disconnectController.abort());
    while (record.getEnd() === undefined && !disconnectController.signal.aborted) {
        await record.waitForChange(record.tokens.length, disconnectController.signal);
    }
    const end = record.getEnd();
    if (end === undefined) {
        return;
    }
    sendResult(record, end, response);
}

/** Sends the result of an ended request: the full response, the URL of a request that was handed over, or the failure. */
export function sendResult(record: RequestRecord, end: RequestEnd, response: Response): void {
    const { request, history } = record;
    if (end.outcome === RequestOutcome.Finished) {
        setResponseHeaders(response, request.id, history.verdict, history.attempts.length);
        response.json(createResponseBody(record, end));
        return;
    }
    if (end.outcome === RequestOutcome.HandedOver) {
        setResponseHeaders(response, request.id, Verdict.MayHaveRun, history.attempts.length);
        response.setHeader("location", `/v1/requests/${request.id}`);
        response.status(202).json({ id: request.id, status: "accepted", location: `/v1/requests/${request.id}` });
        return;
    }
    sendProblem(response, end.failure ?? Failure.create(history.verdict, Diagnostics.Caller_closed_the_connection), request.id, history);
}

function createResponseBody(record: RequestRecord, end: RequestEnd): Record<string, unknown> {
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
