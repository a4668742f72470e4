import { Request, Response } from "express";
import { createIdentifier } from "../../common/identifiers.js";
import { ServiceKind } from "../../config/types.js";
import { authenticateTeam, findCallableService } from "../authentication.js";
import { sendProblem } from "../problem.js";
import { CallerDependencies } from "../types.js";

/** Sends the model services that the caller's team may call, in the format of the OpenAI model list. */
export function serveModels(dependencies: CallerDependencies, request: Request, response: Response): void {
    const team = authenticateTeam(request, dependencies.configuration);
    if (team.err) {
        sendProblem(response, team.val, createIdentifier());
        return;
    }
    const services = dependencies.configuration.listServices().filter(service => {
        return findCallableService(dependencies.configuration, team.val, service.name, ServiceKind.Model).ok;
    });
    const data = services.map(service => ({
        id: service.name,
        object: "model",
        created: 0,
        owned_by: dependencies.configuration.findOwner(service.name),
    }));
    response.json({ object: "list", data });
}
