import { Request, Response } from "express";
import { createIdentifier } from "../../common/identifiers.js";
import { ServiceKind } from "../../config/types.js";
import { authenticateTeam, findCallableService } from "../authentication.js";
import { sendProblem } from "../problem.js";
import { CallerParts } from "../types.js";

/** Lists the model services that the caller's team may call, in the OpenAI shape. */
export function serveModels(parts: CallerParts, request: Request, response: Response): void {
    const team = authenticateTeam(request, parts.configuration);
    if (team.err) {
        sendProblem(response, team.val, createIdentifier());
        return;
    }
    const services = parts.configuration.listServices().filter(service => {
        return findCallableService(parts.configuration, team.val, service.name, ServiceKind.Model).ok;
    });
    const data = services.map(service => ({
        id: service.name,
        object: "model",
        created: 0,
        owned_by: parts.configuration.findOwner(service.name),
    }));
    response.json({ object: "list", data });
}
