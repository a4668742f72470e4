import { Request, Response } from "express";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { hashSha256 } from "../../common/hashing.js";
import { createIdentifier } from "../../common/identifiers.js";
import { Err, Ok, Result } from "../../common/results.js";
import { readTraceHeaders } from "../../common/tracing.js";
import { Verdict } from "../../common/verdict.js";
import { ServiceDeclaration, ServiceKind, TeamDeclaration } from "../../config/types.js";
import { RequestRecord } from "../../requests/requestRecord.js";
import { ModelRequest } from "../../requests/types.js";
import { authenticateTeam, findCallableService } from "../authentication.js";
import { CompletionBody } from "../completionBody.js";
import { EventFormat } from "../eventStream.js";
import { sendProblem, setAnswerHeaders } from "../problem.js";
import { hasAsyncPreference, readDeadline } from "../requestHeaders.js";
import { CallerParts } from "../types.js";
import { serveRecord } from "./serveRecord.js";

/** Which of the two OpenAI interfaces a request uses. */
export interface CompletionInterface {
    readonly isChat: boolean;
    parseBody(body: Buffer): Result<CompletionBody, Failure>;
    createFormat(record: RequestRecord, includeUsage: boolean): EventFormat;
}

interface AcceptedBody {
    readonly body: CompletionBody;
    readonly team: TeamDeclaration;
    readonly service: ServiceDeclaration;
    readonly deadline: number;
}

/** Serves one completion: checks it, starts it, and streams or returns its answer. */
export async function serveCompletion(parts: CallerParts, shape: CompletionInterface, request: Request, response: Response): Promise<void> {
    const requestId = createIdentifier();
    const accepted = acceptBody(parts, shape, request);
    if (accepted.err) {
        sendProblem(response, accepted.val, requestId);
        return;
    }
    const { body, service } = accepted.val;
    const modelRequest = createModelRequest(parts, shape, requestId, accepted.val, request);
    const span = parts.tracing.startSpanFromHeaders("caller request", readTraceHeaders(request.headers));
    span.setAttributes({
        "corianderward.request": requestId,
        "corianderward.service": service.name,
        "corianderward.team": modelRequest.team,
    });
    if (modelRequest.isAsync) {
        const started = await parts.service.startDraft(modelRequest, service, span);
        if (started.err) {
            sendProblem(response, started.val, requestId);
            return;
        }
        sendAccepted(response, requestId);
        return;
    }
    const record = parts.service.startRequest(modelRequest, service, span);
    await serveRecord(parts, record, shape.createFormat(record, body.includeUsage), body.isStream, 0, response);
}

function acceptBody(parts: CallerParts, shape: CompletionInterface, request: Request): Result<AcceptedBody, Failure> {
    const team = authenticateTeam(request, parts.configuration);
    if (team.err) {
        return team;
    }
    if (!parts.gate.isAccepting()) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Node_is_shutting_down));
    }
    const body = shape.parseBody(request.body as Buffer);
    if (body.err) {
        return body;
    }
    const service = findCallableService(parts.configuration, team.val, body.val.service, ServiceKind.Model);
    if (service.err) {
        return service;
    }
    if (hasAsyncPreference(request) && !service.val.acceptsAsync) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Service_0_does_not_accept_asynchronous_requests, service.val.name));
    }
    const deadline = readDeadline(request, parts.clock.getWallTime(), service.val.timeLimit);
    if (deadline.err) {
        return deadline;
    }
    const refusal = parts.limiter.takeRequest(team.val);
    if (refusal !== undefined) {
        return Err(refusal);
    }
    return Ok({ body: body.val, team: team.val, service: service.val, deadline: deadline.val });
}

function createModelRequest(
    parts: CallerParts,
    shape: CompletionInterface,
    id: string,
    accepted: AcceptedBody,
    request: Request,
): ModelRequest {
    const { body, service, team } = accepted;
    return {
        id,
        team: team.name,
        service: service.name,
        isChat: shape.isChat,
        prompt: body.prompt,
        maxTokens: Math.min(body.maxTokens, service.maxTokens),
        deadline: accepted.deadline,
        arrivedAt: parts.clock.getWallTime(),
        fingerprint: hashSha256(`${service.name}\n${body.prompt}`),
        isAsync: hasAsyncPreference(request),
        sampling: body.sampling,
    };
}

function sendAccepted(response: Response, requestId: string): void {
    setAnswerHeaders(response, requestId, Verdict.NotRun, 0);
    response.setHeader("location", `/v1/requests/${requestId}`);
    response.setHeader("preference-applied", "respond-async");
    response.status(202).json({ id: requestId, status: "accepted", location: `/v1/requests/${requestId}` });
}
