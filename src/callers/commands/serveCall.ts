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
import { ResponseHeader, sendProblem, setResponseHeaders } from "../problem.js";
import { readDeadline, readIdempotencyKey } from "../requestHeaders.js";
import { CallerDependencies } from "../types.js";

const allowedMethods: ReadonlySet<string> = new Set(["GET", "POST", "PUT", "PATCH", "DELETE"]);

/** A call that passed all checks, with the service that it calls. */
interface AcceptedCall {
    readonly request: PlainRequest;
    readonly service: ServiceDeclaration;
}

/** Handles a call of a plain service: checks it, runs it and sends the service's response or an error. */
export async function serveCall(dependencies: CallerDependencies, request: Request, response: Response): Promise<void> {
    const requestId = createIdentifier();
    const accepted = acceptCall(dependencies, requestId, request);
    if (accepted.err) {
        sendProblem(response, accepted.val, requestId);
        return;
    }
    const { request: call, service } = accepted.val;
    response.once("close", dependencies.requestTable.addOpenResponse());
    const history = RequestHistory.create();
    const span = dependencies.tracing.startSpanFromHeaders("caller request", readTraceHeaders(request.headers));
    span.setAttributes({ "corianderward.request": requestId, "corianderward.service": service.name, "corianderward.team": call.team });
    const disconnectController = new AbortController();
    if (service.idempotent) {
        // Only an idempotent call is canceled when its caller disconnects; any other call continues so that its outcome is stored.
        response.on("close", () => disconnectController.abort());
    }
    const result = await dependencies.plainCalls.runCall(call, service, history, span, disconnectController.signal);
    const verdict = result.ok ? Verdict.Ran : result.val.verdict;
    const outcome = result.ok ? RequestOutcome.Finished : verdict === Verdict.NotRun ? RequestOutcome.Refused : RequestOutcome.Failed;
    history.verdict = verdict;
    recordCall(dependencies, call, history, outcome, result.ok ? "" : result.val.text);
    span.setAttributes({ "corianderward.attempts": history.attempts.length, "corianderward.verdict": verdict });
    span.end();
    if (result.err) {
        sendProblem(response, result.val, requestId, history);
        return;
    }
    const { answer, isReplayed } = result.val;
    setResponseHeaders(response, requestId, verdict, history.attempts.length);
    if (isReplayed) {
        response.setHeader(ResponseHeader.Replayed, "true");
    }
    if (answer.contentType !== undefined) {
        response.setHeader("content-type", answer.contentType);
    }
    response.status(answer.status).end(answer.body);
}

function recordCall(
    dependencies: CallerDependencies,
    call: PlainRequest,
    history: RequestHistory,
    outcome: RequestOutcome,
    text: string,
): void {
    dependencies.metrics.requests.inc({ service: call.service, team: call.team, outcome, verdict: history.verdict });
    dependencies.requestTable.addExplanation({
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

function acceptCall(dependencies: CallerDependencies, requestId: string, request: Request): Result<AcceptedCall, Failure> {
    const team = authenticateTeam(request, dependencies.configuration);
    if (team.err) {
        return team;
    }
    if (!dependencies.gate.isAccepting()) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Node_is_shutting_down));
    }
    if (!allowedMethods.has(request.method)) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Method_0_is_not_allowed, request.method));
    }
    const name = String(request.params["service"]);
    const service = findCallableService(dependencies.configuration, team.val, name, ServiceKind.Plain);
    if (service.err) {
        return service;
    }
    const now = dependencies.clock.getWallTime();
    const deadline = readDeadline(request, now, service.val.timeLimit);
    if (deadline.err) {
        return deadline;
    }
    const idempotencyKey = readIdempotencyKey(request);
    if (idempotencyKey.err) {
        return idempotencyKey;
    }
    const refusal = dependencies.limiter.takeRequest(team.val);
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
        idempotencyKey: idempotencyKey.val,
        body,
        deadline: deadline.val,
        arrivedAt: now,
        fingerprint: hashCall(name, request.method, path, body),
    };
    return Ok({ request: call, service: service.val });
}
