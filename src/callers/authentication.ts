import { Request } from "express";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { ServiceDeclaration, ServiceKind, TeamDeclaration } from "../config/types.js";

const bearerPattern = /^Bearer ([!-~]{1,512})$/i;

/** Returns the team that owns the request's bearer token. Fails when no configuration is loaded, or the token is missing or unknown. */
export function authenticateTeam(request: Request, configuration: ConfigurationSet): Result<TeamDeclaration, Failure> {
    if (!configuration.hasConfiguration()) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Configuration_is_not_loaded));
    }
    const header = request.headers.authorization;
    if (header === undefined) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Authorization_is_missing));
    }
    const token = bearerPattern.exec(header)?.[1];
    const team = token === undefined ? undefined : configuration.findTeamByToken(token);
    if (team === undefined) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Token_is_not_known));
    }
    return Ok(team);
}

/** Returns the service if it is declared with the given kind and the team owns it or is listed among its callers; fails otherwise. */
export function findCallableService(
    configuration: ConfigurationSet,
    team: TeamDeclaration,
    name: string,
    kind: ServiceKind,
): Result<ServiceDeclaration, Failure> {
    const service = configuration.findService(name);
    if (service === undefined) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Service_0_is_not_declared, name));
    }
    if (service.kind !== kind) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Service_0_is_not_of_kind_1, name, kind));
    }
    const isAllowed = configuration.findOwner(name) === team.name || service.callers.includes(team.name);
    if (!isAllowed) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Team_0_may_not_call_service_1, team.name, name));
    }
    return Ok(service);
}
