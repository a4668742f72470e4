import express, { Express, Request, Response } from "express";
import { z } from "zod";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Verdict } from "../../common/verdict.js";
import { sendOperatorProblem } from "../operatorProblem.js";
import { createMoveStatus } from "../queries/moveStatus.js";
import { OperatorDependencies } from "../types.js";

const bodyLimit = "16kb";
const startMoveSchema = z.strictObject({ to: z.string(), deadline: z.number().int(), replace: z.boolean().default(false) });

/** Adds the routes with which operators start, abort and read the status of version moves. */
export function addMoveRoutes(app: Express, dependencies: OperatorDependencies): void {
    app.get("/v1/moves/:service", (request, response) => sendMove(dependencies, request, response));
    app.post("/v1/moves/:service", express.json({ limit: bodyLimit }), (request, response) => startMove(dependencies, request, response));
    app.post("/v1/moves/:service/abort", (request, response) => abortMove(dependencies, request, response));
}

function sendMove(dependencies: OperatorDependencies, request: Request, response: Response): void {
    const service = String(request.params["service"]);
    const status = createMoveStatus(dependencies, service);
    if (status === undefined) {
        sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Move_of_service_0_is_not_known, service));
        return;
    }
    response.json(status);
}

async function startMove(dependencies: OperatorDependencies, request: Request, response: Response): Promise<void> {
    const body = startMoveSchema.safeParse(request.body);
    if (!body.success) {
        const text = body.error.issues[0]?.message ?? "not valid";
        sendOperatorProblem(response, Failure.create(Verdict.NotRun, Diagnostics.Body_does_not_match_the_interface_0, text));
        return;
    }
    const service = String(request.params["service"]);
    const started = await dependencies.moveOperations.startMove(service, body.data.to, body.data.deadline, body.data.replace);
    if (started.err) {
        sendOperatorProblem(response, started.val);
        return;
    }
    response.status(201).json(started.val);
}

async function abortMove(dependencies: OperatorDependencies, request: Request, response: Response): Promise<void> {
    const aborted = await dependencies.moveOperations.abortMove(String(request.params["service"]));
    if (aborted.err) {
        sendOperatorProblem(response, aborted.val);
        return;
    }
    response.json(aborted.val);
}
