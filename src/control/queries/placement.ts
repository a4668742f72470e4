import { ConfigurationSet } from "../../config/configurationSet.js";
import { ServiceKind } from "../../config/types.js";
import { MoveRecord, MoveState } from "../moves/moveRecord.js";

/** Returns the models that the endpoints of a group have to serve: those of the versions in use and of both versions of each move. */
export function listDesiredModels(configuration: ConfigurationSet, moves: readonly MoveRecord[], group: string): string[] {
    const models = new Set<string>();
    for (const service of configuration.listServices().filter(candidate => candidate.kind === ServiceKind.Model)) {
        const move = moves.find(candidate => candidate.service === service.name);
        const names = [service.version, ...listMoveVersions(move)];
        for (const version of service.versions.filter(candidate => names.includes(candidate.name))) {
            if ((version.group ?? service.group) === group) {
                models.add(version.model);
            }
        }
    }
    return [...models].sort();
}

function listMoveVersions(move: MoveRecord | undefined): string[] {
    if (move === undefined || move.state === MoveState.TakenBack) {
        return [];
    }
    // The old version stays loaded until the configuration names the new one, so that a rollback loads no weights.
    return [move.from, move.to];
}
