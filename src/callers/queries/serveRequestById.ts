import { Request, Response } from "express";
import { validate } from "uuid";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { readTraceHeaders } from "../../common/tracing.js";
import { Verdict } from "../../common/verdict.js";
import { Draft, DraftState } from "../../requests/commands/draftStore.js";
import { RequestRecord } from "../../requests/requestRecord.js";
import { RequestOutcome } from "../../requests/types.js";
import { authenticateTeam } from "../authentication.js";
import { serveRecord } from "../commands/serveRecord.js";
import { createChatFormat, createCompletionFormat } from "../eventStream.js";
import { sendProblem, setAnswerHeaders } from "../problem.js";
import { readLastEventId } from "../requestHeaders.js";
import { CallerParts } from "../types.js";

/** Answers for a request by its id: its stream from the last event on, its whole answer, or that it still runs. */
export async function serveRequestById(parts: CallerParts, request: Request, response: Response): Promise<void> {
    const requestId = String(request.params["id"]);
    const team = authenticateTeam(request, parts.configuration);
    if (team.err) {
        sendProblem(response, team.val, requestId);
        return;
    }
    const offset = readLastEventId(request);
    if (offset.err) {
        sendProblem(response, offset.val, requestId);
        return;
    }
    const isStream = String(request.headers.accept ?? "").includes("text/event-stream");
    const record = validate(requestId) ? await findRecord(parts, requestId, request) : undefined;
    // A request of another team is answered as if it did not exist.
    if (record === undefined || record.request.team !== team.val.name) {
        sendProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Request_0_is_not_known, requestId), requestId);
        return;
    }
    if (!isStream && record.getEnd() === undefined) {
        setAnswerHeaders(response, requestId, record.history.verdict, record.history.attempts.length);
        response.setHeader("retry-after", "1");
        response.status(202).json({ id: requestId, status: "running", tokens: record.tokens.length });
        return;
    }
    const format = record.request.isChat ? createChatFormat(record, true) : createCompletionFormat(record, true);
    await serveRecord(parts, record, format, isStream, offset.val, response);
}

async function findRecord(parts: CallerParts, requestId: string, request: Request): Promise<RequestRecord | undefined> {
    const local = parts.table.findRecord(requestId);
    if (local !== undefined && local.getEnd()?.outcome !== RequestOutcome.HandedOver) {
        return local;
    }
    const draft = await parts.drafts.findDraft(requestId);
    if (draft.ok && draft.val !== undefined && draft.val.state !== DraftState.Pending) {
        return createEndedRecord(parts, draft.val, request);
    }
    const remote = await parts.remote.followRequest(requestId, 0);
    if (remote !== undefined) {
        return remote;
    }
    if (draft.ok && draft.val !== undefined) {
        // Its owner is gone and nobody has adopted it yet; it will be.
        return createPendingRecord(parts, draft.val, request);
    }
    return undefined;
}

function createPendingRecord(parts: CallerParts, draft: Draft, request: Request): RequestRecord {
    const span = parts.tracing.startSpanFromHeaders("stored request", readTraceHeaders(request.headers));
    span.end();
    return RequestRecord.create(draft.request, span);
}

function createEndedRecord(parts: CallerParts, draft: Draft, request: Request): RequestRecord {
    const record = createPendingRecord(parts, draft, request);
    if (draft.generation !== undefined) {
        record.history.verdict = Verdict.Ran;
        record.appendRelayedToken(draft.text);
        record.storedTokenCount = draft.tokens;
        record.finish(draft.generation);
    }
    else if (draft.failure !== undefined) {
        record.finishWithFailure(draft.failure);
    }
    return record;
}
