import { compareHashes, hashSha256 } from "../common/hashing.js";
import { ServiceDeclaration, TeamConfiguration, TeamDeclaration } from "./types.js";

/** One team's configuration with the revision that the platform gave it. */
export interface ConfigurationObject {
    readonly team: string;
    readonly revision: number;
    readonly configuration: TeamConfiguration;
}

/** What happened to a configuration object that was offered to a node. */
export enum ConfigurationChange {
    Applied = "applied",
    AlreadyInForce = "already-in-force",
    RefusedLowerRevision = "refused-lower-revision",
}

/** The configuration that a node has in force: one object per team, whose revisions only ever rise. */
export class ConfigurationSet {
    private readonly objects = new Map<string, ConfigurationObject>();
    private readonly services = new Map<string, ServiceDeclaration>();
    private readonly teamByTokenHash = new Map<string, string>();

    private constructor() {}

    static create(): ConfigurationSet {
        return new ConfigurationSet();
    }

    /** Puts an object in force unless a higher or equal revision of it is. */
    applyObject(object: ConfigurationObject): ConfigurationChange {
        const current = this.objects.get(object.team);
        if (current !== undefined && object.revision < current.revision) {
            return ConfigurationChange.RefusedLowerRevision;
        }
        if (current !== undefined && object.revision === current.revision) {
            return ConfigurationChange.AlreadyInForce;
        }
        this.objects.set(object.team, object);
        this.buildIndexes();
        return ConfigurationChange.Applied;
    }

    /** Returns every object in force. */
    listObjects(): ConfigurationObject[] {
        return [...this.objects.values()];
    }

    /** Returns the revision in force for a team, or 0. */
    getRevision(team: string): number {
        return this.objects.get(team)?.revision ?? 0;
    }

    /** Says whether any configuration is in force. */
    hasConfiguration(): boolean {
        return this.objects.size > 0;
    }

    findService(name: string): ServiceDeclaration | undefined {
        return this.services.get(name);
    }

    listServices(): ServiceDeclaration[] {
        return [...this.services.values()];
    }

    findTeam(name: string): TeamDeclaration | undefined {
        return this.objects.get(name)?.configuration.team;
    }

    /** Returns the team that owns a service. */
    findOwner(serviceName: string): string | undefined {
        return this.listObjects().find(object => object.configuration.services.some(service => service.name === serviceName))?.team;
    }

    /** Returns the team whose bearer token this is. */
    findTeamByToken(token: string): TeamDeclaration | undefined {
        const hash = hashSha256(token);
        let team: string | undefined;
        for (const [knownHash, name] of this.teamByTokenHash) {
            if (compareHashes(knownHash, hash)) {
                team = name;
            }
        }
        return team === undefined ? undefined : this.findTeam(team);
    }

    private buildIndexes(): void {
        this.services.clear();
        this.teamByTokenHash.clear();
        for (const object of this.objects.values()) {
            for (const service of object.configuration.services) {
                this.services.set(service.name, service);
            }
            for (const hash of object.configuration.team.tokenHashes) {
                this.teamByTokenHash.set(hash, object.team);
            }
        }
    }
}
