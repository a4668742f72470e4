import { Request, Response } from "express";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { hashCall } from "../../common/hashing.js";
import { createIdentifier } from "../../common/identifiers.js";
import { Err, Ok, Result } from "../../common/results.js";
import { readTraceHeaders } from "../../common/tracing.js";
import { Verdict } from "../../common/verdict.js";
import { ServiceDeclaration, ServiceKind } from "../../config/types.js";
import { RequestHistory } from "../../requests/requestRecord.js";
import { PlainRequest, RequestOutcome } from "../../requests/types.js";
import { authenticateTeam, findCallableService } from "../authentication.js";
import { AnswerHeader, sendProblem, setAnswerHeaders } from "../problem.js";
import { readDeadline, readIdempotencyKey } from "../requestHeaders.js";
import { CallerParts } from "../types.js";

const allowedMethods: ReadonlySet<string> = new Set(["GET", "POST", "PUT", "PATCH", "DELETE"]);

interface AcceptedCall {
    readonly request: PlainRequest;
    readonly service: ServiceDeclaration;
}

/** Serves one call of a plain service. */
export async function serveCall(parts: CallerParts, request: Request, response: Response): Promise<void> {
    const requestId = createIdentifier();
    const accepted = acceptCall(parts, requestId, request);
    if (accepted.err) {
        sendProblem(response, accepted.val, requestId);
        return;
    }
    const { request: call, service } = accepted.val;
    const history = RequestHistory.create();
    const span = parts.tracing.startSpanFromHeaders("caller request", readTraceHeaders(request.headers));
    span.setAttributes({ "corianderward.request": requestId, "corianderward.service": service.name, "corianderward.team": call.team });
    const closed = new AbortController();
    if (service.idempotent) {
        // A call that may not be repeated goes on without its caller, so that its outcome is stored.
        response.on("close", () => closed.abort());
    }
    const result = await parts.plainCalls.runCall(call, service, history, span, closed.signal);
    const verdict = result.ok ? Verdict.Ran : result.val.verdict;
    const outcome = result.ok ? RequestOutcome.Finished : verdict === Verdict.NotRun ? RequestOutcome.Refused : RequestOutcome.Failed;
    history.verdict = verdict;
    recordCall(parts, call, history, outcome, result.ok ? "" : result.val.text);
    span.setAttributes({ "corianderward.attempts": history.attempts.length, "corianderward.verdict": verdict });
    span.end();
    if (result.err) {
        sendProblem(response, result.val, requestId, history);
        return;
    }
    const { answer, isReplayed } = result.val;
    setAnswerHeaders(response, requestId, verdict, history.attempts.length);
    if (isReplayed) {
        response.setHeader(AnswerHeader.Replayed, "true");
    }
    if (answer.contentType !== undefined) {
        response.setHeader("content-type", answer.contentType);
    }
    response.status(answer.status).end(answer.body);
}

function recordCall(parts: CallerParts, call: PlainRequest, history: RequestHistory, outcome: RequestOutcome, text: string): void {
    parts.metrics.requests.inc({ service: call.service, team: call.team, outcome, verdict: history.verdict });
    parts.table.addExplanation({
        id: call.id,
        team: call.team,
        service: call.service,
        arrivedAt: call.arrivedAt,
        outcome,
        verdict: history.verdict,
        text,
        tokens: 0,
        attempts: history.attempts,
        hops: history.hops,
    });
}

function acceptCall(parts: CallerParts, requestId: string, request: Request): Result<AcceptedCall, Failure> {
    const team = authenticateTeam(request, parts.configuration);
    if (team.err) {
        return team;
    }
    if (!parts.gate.isAccepting()) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Node_is_shutting_down));
    }
    if (!allowedMethods.has(request.method)) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Method_0_is_not_allowed, request.method));
    }
    const name = String(request.params["service"]);
    const service = findCallableService(parts.configuration, team.val, name, ServiceKind.Plain);
    if (service.err) {
        return service;
    }
    const now = parts.clock.getWallTime();
    const deadline = readDeadline(request, now, service.val.timeLimit);
    if (deadline.err) {
        return deadline;
    }
    const key = readIdempotencyKey(request);
    if (key.err) {
        return key;
    }
    const refusal = parts.limiter.takeRequest(team.val);
    if (refusal !== undefined) {
        return Err(refusal);
    }
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    const path = request.originalUrl.slice(`/services/${name}/`.length);
    const call: PlainRequest = {
        id: requestId,
        team: team.val.name,
        service: name,
        method: request.method,
        path,
        contentType: request.headers["content-type"],
        idempotencyKey: key.val,
        body,
        deadline: deadline.val,
        arrivedAt: now,
        fingerprint: hashCall(name, request.method, path, body),
    };
    return Ok({ request: call, service: service.val });
}
