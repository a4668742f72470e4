import { createTwoFilesPatch } from "diff";
import { isDeepStrictEqual } from "node:util";
import { createDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { configurationPrefix } from "../config/objectNames.js";
import { TeamConfiguration, teamConfigurationSchema } from "../config/types.js";
import { ObjectStore, writeObject } from "../provider/objectStore.js";
import { StoredObject, WriteFailure, WriteOutcome } from "../provider/types.js";
import { ExitCode } from "./exitCodes.js";

/** How the publishing of one team ended. */
export interface PublishedTeam {
    readonly team: string;
    readonly revision: number;
    readonly changed: boolean;
}

/** Why a team could not be published. */
export interface PublishFailure {
    readonly exitCode: ExitCode;
    readonly diagnostic: Diagnostic;
}

/** Writes teams' configuration to the platform by conditional updates. */
export class Publisher {
    private constructor(private readonly store: ObjectStore) {}

    static create(store: ObjectStore): Publisher {
        return new Publisher(store);
    }

    /** Returns what would change, as a unified diff; empty when nothing would. */
    async compareTeam(team: TeamConfiguration): Promise<Result<string, PublishFailure>> {
        const current = await this.store.getObject(createObjectName(team));
        if (current.err) {
            return Err(createUnreachable(current.val));
        }
        const before = current.val === undefined ? "" : `${JSON.stringify(current.val.value, undefined, 2)}\n`;
        const after = `${JSON.stringify(team, undefined, 2)}\n`;
        if (before === after) {
            return Ok("");
        }
        const label = current.val === undefined ? "not published" : `revision ${current.val.revision}`;
        return Ok(createTwoFilesPatch(team.team.name, team.team.name, before, after, label, "to be published"));
    }

    /** Returns the failure when another team has published a service of the same name. */
    async checkServiceNames(teams: readonly TeamConfiguration[]): Promise<PublishFailure | undefined> {
        const published = await this.store.listObjects(configurationPrefix);
        if (published.err) {
            return createUnreachable(published.val);
        }
        const own = new Set(teams.map(team => team.team.name));
        for (const object of published.val.objects) {
            const parsed = teamConfigurationSchema.safeParse(object.value);
            if (!parsed.success || own.has(parsed.data.team.name)) {
                continue;
            }
            for (const team of teams) {
                const name = team.services.find(service => parsed.data.services.some(other => other.name === service.name))?.name;
                if (name !== undefined) {
                    const message = Diagnostics.Service_0_is_declared_in_two_teams_1_and_2;
                    return {
                        exitCode: ExitCode.BadInput,
                        diagnostic: createDiagnostic(message, name, team.team.name, parsed.data.team.name),
                    };
                }
            }
        }
        return undefined;
    }

    /** Publishes one team. With an expected revision, fails when the team stands at another. */
    async publishTeam(team: TeamConfiguration, expectedRevision?: number): Promise<Result<PublishedTeam, PublishFailure>> {
        const name = createObjectName(team);
        const current = await this.store.getObject(name);
        if (current.err) {
            return Err(createUnreachable(current.val));
        }
        const currentRevision = current.val?.revision ?? 0;
        if (expectedRevision !== undefined && expectedRevision !== currentRevision) {
            return Err(createConflict(team));
        }
        if (current.val !== undefined && isSameValue(current.val, team)) {
            return Ok({ team: team.team.name, revision: currentRevision, changed: false });
        }
        const written = await writeObject(this.store, name, team, current.val);
        if (written.ok) {
            return Ok({ team: team.team.name, revision: written.val, changed: true });
        }
        return this.settleFailedWrite(team, currentRevision, written.val);
    }

    /** Settles a write without an answer by reading back what is stored. */
    private async settleFailedWrite(
        team: TeamConfiguration,
        before: number,
        failure: WriteFailure,
    ): Promise<Result<PublishedTeam, PublishFailure>> {
        if (failure.outcome === WriteOutcome.Conflict) {
            return Err(createConflict(team));
        }
        if (failure.outcome === WriteOutcome.NotWritten) {
            return Err(createUnreachable(failure.failure));
        }
        const current = await this.store.getObject(createObjectName(team));
        if (current.err) {
            return Err(createUnreachable(failure.failure));
        }
        if (current.val !== undefined && current.val.revision > before && isSameValue(current.val, team)) {
            return Ok({ team: team.team.name, revision: current.val.revision, changed: true });
        }
        if (current.val !== undefined && current.val.revision > before) {
            return Err(createConflict(team));
        }
        return Err(createUnreachable(failure.failure));
    }
}

function createObjectName(team: TeamConfiguration): string {
    return configurationPrefix + team.team.name;
}

function isSameValue(object: StoredObject, team: TeamConfiguration): boolean {
    // Compared as the platform stores it: as JSON.
    return isDeepStrictEqual(object.value, JSON.parse(JSON.stringify(team)));
}

/** Creates the failure of a platform that did not answer. */
export function createUnreachable(failure: Failure): PublishFailure {
    return { exitCode: ExitCode.Unreachable, diagnostic: createDiagnostic(Diagnostics.Platform_is_not_reachable_0, failure.text) };
}

function createConflict(team: TeamConfiguration): PublishFailure {
    const diagnostic = createDiagnostic(Diagnostics.Team_0_was_published_by_another_operator_read_and_retry, team.team.name);
    return { exitCode: ExitCode.Conflict, diagnostic };
}
