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
import { sendProblem, setResponseHeaders } from "../problem.js";
import { hasAsyncPreference, readDeadline } from "../requestHeaders.js";
import { CallerDependencies } from "../types.js";
import { serveRecord } from "./serveRecord.js";

/** Parsing and formatting that differ between the two OpenAI interfaces, completions and chat completions. */
export interface CompletionInterface {
    readonly isChat: boolean;
    parseBody(body: Buffer): Result<CompletionBody, Failure>;
    createFormat(record: RequestRecord, includeUsage: boolean): EventFormat;
}

/** A completion body that passed all checks, with the team, service and deadline that apply to it. */
interface AcceptedBody {
    readonly body: CompletionBody;
    readonly team: TeamDeclaration;
    readonly service: ServiceDeclaration;
    readonly deadline: number;
}

/** Handles a completion request: checks it, starts it and sends its response, or its URL if it is asynchronous. */
export async function serveCompletion(
    dependencies: CallerDependencies,
    completionInterface: CompletionInterface,
    request: Request,
    response: Response,
): Promise<void> {
    const requestId = createIdentifier();
    const accepted = acceptBody(dependencies, completionInterface, request);
    if (accepted.err) {
        sendProblem(response, accepted.val, requestId);
        return;
    }
    const { body, service } = accepted.val;
    const modelRequest = createModelRequest(dependencies, completionInterface, requestId, accepted.val, request);
    const span = dependencies.tracing.startSpanFromHeaders("caller request", readTraceHeaders(request.headers));
    span.setAttributes({
        "corianderward.request": requestId,
        "corianderward.service": service.name,
        "corianderward.team": modelRequest.team,
    });
    if (modelRequest.isAsync) {
        const started = await dependencies.service.startDraft(modelRequest, service, span);
        if (started.err) {
            sendProblem(response, started.val, requestId);
            return;
        }
        sendAccepted(response, requestId);
        return;
    }
    const record = dependencies.service.startRequest(modelRequest, service, span);
    await serveRecord(dependencies, record, completionInterface.createFormat(record, body.includeUsage), body.isStream, 0, response);
}

function acceptBody(
    dependencies: CallerDependencies,
    completionInterface: CompletionInterface,
    request: Request,
): Result<AcceptedBody, Failure> {
    const team = authenticateTeam(request, dependencies.configuration);
    if (team.err) {
        return team;
    }
    if (!dependencies.gate.isAccepting()) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Node_is_shutting_down));
    }
    const body = completionInterface.parseBody(request.body as Buffer);
    if (body.err) {
        return body;
    }
    const service = findCallableService(dependencies.configuration, team.val, body.val.service, ServiceKind.Model);
    if (service.err) {
        return service;
    }
    if (hasAsyncPreference(request) && !service.val.acceptsAsync) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Service_0_does_not_accept_asynchronous_requests, service.val.name));
    }
    const deadline = readDeadline(request, dependencies.clock.getWallTime(), service.val.timeLimit);
    if (deadline.err) {
        return deadline;
    }
    const refusal = dependencies.limiter.takeRequest(team.val);
    if (refusal !== undefined) {
        return Err(refusal);
    }
    return Ok({ body: body.val, team: team.val, service: service.val, deadline: deadline.val });
}

function createModelRequest(
    dependencies: CallerDependencies,
    completionInterface: CompletionInterface,
    id: string,
    accepted: AcceptedBody,
    request: Request,
): ModelRequest {
    const { body, service, team } = accepted;
    return {
        id,
        team: team.name,
        service: service.name,
        isChat: completionInterface.isChat,
        prompt: body.prompt,
        maxTokens: Math.min(body.maxTokens, service.maxTokens),
        deadline: accepted.deadline,
        arrivedAt: dependencies.clock.getWallTime(),
        fingerprint: hashSha256(`${service.name}\n${body.prompt}`),
        isAsync: hasAsyncPreference(request),
        sampling: body.sampling,
    };
}

function sendAccepted(response: Response, requestId: string): void {
    setResponseHeaders(response, requestId, Verdict.NotRun, 0);
    response.setHeader("location", `/v1/requests/${requestId}`);
    response.setHeader("preference-applied", "respond-async");
    response.status(202).json({ id: requestId, status: "accepted", location: `/v1/requests/${requestId}` });
}
