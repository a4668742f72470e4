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
import { sendProblem, setResponseHeaders } from "../problem.js";
import { readLastEventId } from "../requestHeaders.js";
import { CallerDependencies } from "../types.js";

/** Sends the response of an existing request: a stream resumed after Last-Event-ID, the full response, or 202 while it is running. */
export async function serveRequestById(dependencies: CallerDependencies, request: Request, response: Response): Promise<void> {
    const requestId = String(request.params["id"]);
    const team = authenticateTeam(request, dependencies.configuration);
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
    const record = validate(requestId) ? await findRecord(dependencies, requestId, request) : undefined;
    // Another team's request gets the same response as an unknown id, so that its existence is not disclosed.
    if (record === undefined || record.request.team !== team.val.name) {
        sendProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Request_0_is_not_known, requestId), requestId);
        return;
    }
    if (!isStream && record.getEnd() === undefined) {
        setResponseHeaders(response, requestId, record.history.verdict, record.history.attempts.length);
        response.setHeader("retry-after", "1");
        response.status(202).json({ id: requestId, status: "running", tokens: record.tokens.length });
        return;
    }
    const format = record.request.isChat ? createChatFormat(record, true) : createCompletionFormat(record, true);
    await serveRecord(dependencies, record, format, isStream, offset.val, response);
}

async function findRecord(dependencies: CallerDependencies, requestId: string, request: Request): Promise<RequestRecord | undefined> {
    const local = dependencies.requestTable.findRecord(requestId);
    if (local !== undefined && local.getEnd()?.outcome !== RequestOutcome.HandedOver) {
        return local;
    }
    const draft = await dependencies.drafts.findDraft(requestId);
    if (draft.ok && draft.val !== undefined && draft.val.state !== DraftState.Pending) {
        return createEndedRecord(dependencies, draft.val, request);
    }
    const remote = await dependencies.remoteRequests.followRequest(requestId, 0);
    if (remote !== undefined) {
        return remote;
    }
    if (draft.ok && draft.val !== undefined) {
        // No reachable node owns the pending draft. Another node will adopt it, so the request is reported as running.
        return createPendingRecord(dependencies, draft.val, request);
    }
    return undefined;
}

function createPendingRecord(dependencies: CallerDependencies, draft: Draft, request: Request): RequestRecord {
    const span = dependencies.tracing.startSpanFromHeaders("stored request", readTraceHeaders(request.headers));
    span.end();
    return RequestRecord.create(draft.request, span);
}

function createEndedRecord(dependencies: CallerDependencies, draft: Draft, request: Request): RequestRecord {
    const record = createPendingRecord(dependencies, draft, request);
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
