import { ServiceDeclaration } from "../../config/types.js";
import { VersionPolicy } from "../../requests/types.js";

/** Serves every request with the version that the service declares. */
export class DeclaredVersionPolicy implements VersionPolicy {
    private constructor() {}

    static create(): DeclaredVersionPolicy {
        return new DeclaredVersionPolicy();
    }

    selectVersion(service: ServiceDeclaration): string {
        return service.version;
    }
}
