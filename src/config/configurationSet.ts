import { compareHashes, hashSha256 } from "../common/hashing.js";
import { ServiceDeclaration, TeamConfiguration, TeamDeclaration } from "./types.js";

/** The configuration of one team, with the revision that the platform assigned to it. */
export interface ConfigurationObject {
    readonly team: string;
    readonly revision: number;
    readonly configuration: TeamConfiguration;
}

/** Outcome of `ConfigurationSet.applyObject`. */
export enum ConfigurationChange {
    Applied = "applied",
    AlreadyInForce = "already-in-force",
    RefusedLowerRevision = "refused-lower-revision",
}

/**
 * Holds the configuration that is in force at a node, one object per team, and indexes its services and bearer tokens.
 * The revision of a team's object never decreases, so a delayed older object cannot undo a newer one.
 */
export class ConfigurationSet {
    private readonly objectsByTeam = new Map<string, ConfigurationObject>();
    private readonly servicesByName = new Map<string, ServiceDeclaration>();
    private readonly teamNamesByTokenHash = new Map<string, string>();

    private constructor() {}

    static create(): ConfigurationSet {
        return new ConfigurationSet();
    }

    /** Puts an object in force, unless an equal or higher revision of the team's object is already in force. */
    applyObject(object: ConfigurationObject): ConfigurationChange {
        const current = this.objectsByTeam.get(object.team);
        if (current !== undefined && object.revision < current.revision) {
            return ConfigurationChange.RefusedLowerRevision;
        }
        if (current !== undefined && object.revision === current.revision) {
            return ConfigurationChange.AlreadyInForce;
        }
        this.objectsByTeam.set(object.team, object);
        this.buildIndexes();
        return ConfigurationChange.Applied;
    }

    /** Returns the object in force of every team. */
    listObjects(): ConfigurationObject[] {
        return [...this.objectsByTeam.values()];
    }

    /** Returns the revision in force for a team, or 0 when the team has no configuration. */
    getRevision(team: string): number {
        return this.objectsByTeam.get(team)?.revision ?? 0;
    }

    /** Returns whether the configuration of at least one team is in force. */
    hasConfiguration(): boolean {
        return this.objectsByTeam.size > 0;
    }

    findService(name: string): ServiceDeclaration | undefined {
        return this.servicesByName.get(name);
    }

    listServices(): ServiceDeclaration[] {
        return [...this.servicesByName.values()];
    }

    findTeam(name: string): TeamDeclaration | undefined {
        return this.objectsByTeam.get(name)?.configuration.team;
    }

    /** Returns the name of the team that declares a service, or undefined when no team does. */
    findOwner(serviceName: string): string | undefined {
        return this.listObjects().find(object => object.configuration.services.some(service => service.name === serviceName))?.team;
    }

    /** Returns the team of a bearer token. Compares all hashes, so that the time does not depend on which one matches. */
    findTeamByToken(token: string): TeamDeclaration | undefined {
        const hash = hashSha256(token);
        let team: string | undefined;
        for (const [tokenHash, name] of this.teamNamesByTokenHash) {
            if (compareHashes(tokenHash, hash)) {
                team = name;
            }
        }
        return team === undefined ? undefined : this.findTeam(team);
    }

    private buildIndexes(): void {
        this.servicesByName.clear();
        this.teamNamesByTokenHash.clear();
        for (const object of this.objectsByTeam.values()) {
            for (const service of object.configuration.services) {
                this.servicesByName.set(service.name, service);
            }
            for (const hash of object.configuration.team.tokenHashes) {
                this.teamNamesByTokenHash.set(hash, object.team);
            }
        }
    }
}
