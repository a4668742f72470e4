import { isDeepStrictEqual } from "node:util";
import { createDiagnostic, Diagnostics } from "../common/diagnostics.js";
import { Err, Ok, Result } from "../common/results.js";
import { routesObjectName } from "../config/objectNames.js";
import { RouteDeclaration } from "../config/routeFiles.js";
import { ObjectStore, writeObject } from "../provider/objectStore.js";
import { WriteOutcome } from "../provider/types.js";
import { RouteConfiguration, routeConfigurationSchema } from "../routes/types.js";
import { ExitCode } from "./exitCodes.js";
import { createUnreachable, PublishFailure } from "./publisher.js";

/** How a publishing of routes ended. */
export interface PublishedRoutes {
    readonly version: number;
    readonly changed: boolean;
}

/** Writes the routes of a deployment to the store under the next version. */
export class RoutePublisher {
    private constructor(private readonly store: ObjectStore) {}

    static create(store: ObjectStore): RoutePublisher {
        return new RoutePublisher(store);
    }

    /** Publishes unless the same is in force; fails when somebody else published meanwhile. */
    async publishRoutes(declaration: RouteDeclaration): Promise<Result<PublishedRoutes, PublishFailure>> {
        const current = await this.store.getObject(routesObjectName);
        if (current.err) {
            return Err(createUnreachable(current.val));
        }
        const parsed = routeConfigurationSchema.safeParse(current.val?.value);
        const version = parsed.success ? parsed.data.version : 0;
        if (parsed.success && isDeepStrictEqual(parsed.data, readBack({ ...declaration, version }))) {
            return Ok({ version, changed: false });
        }
        const next: RouteConfiguration = { ...declaration, version: version + 1 };
        const written = await writeObject(this.store, routesObjectName, next, current.val);
        if (written.ok) {
            return Ok({ version: next.version, changed: true });
        }
        if (written.val.outcome === WriteOutcome.Conflict) {
            const diagnostic = createDiagnostic(Diagnostics.Routes_were_published_by_another_operator_read_and_retry);
            return Err({ exitCode: ExitCode.Conflict, diagnostic });
        }
        return Err(createUnreachable(written.val.failure));
    }
}

/** Returns a configuration as the store gives it back: as JSON, checked. */
function readBack(configuration: RouteConfiguration): RouteConfiguration {
    return routeConfigurationSchema.parse(JSON.parse(JSON.stringify(configuration)));
}
