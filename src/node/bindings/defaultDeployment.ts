import { Container } from "inversify";
import { z } from "zod";
import { listIssues } from "../../common/json.js";
import { Err, Ok, Result } from "../../common/results.js";
import { routesObjectName } from "../../config/objectNames.js";
import { EndpointDecoder } from "../../fleet/endpointFollower.js";
import { EndpointEntry, endpointEntrySchema } from "../../fleet/types.js";
import { defaultCallProtocol } from "../../gateway/defaultCallProtocol.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { StoredObject, WriteFailure } from "../../provider/types.js";
import { ConfigurationDecoder } from "../../routes/configurationFollower.js";
import { RouteConfiguration, routeConfigurationSchema } from "../../routes/types.js";
import {
    DecodedMove,
    VersionMoveDecoder,
    VersionMoveStatus,
    versionMoveStatusSchema,
    VersionMoveStatusStore,
} from "../../versions/types.js";
import { GatewayKeys as Keys } from "../gatewayKeys.js";

/** Decodes route configurations in the default format. */
export class DefaultConfigurationDecoder implements ConfigurationDecoder {
    readonly objectName = routesObjectName;

    private constructor() {}

    static create(): DefaultConfigurationDecoder {
        return new DefaultConfigurationDecoder();
    }

    decodeConfiguration(value: unknown): Result<RouteConfiguration, string[]> {
        const parsed = routeConfigurationSchema.safeParse(value);
        return parsed.success ? Ok(parsed.data) : Err(listIssues(parsed.error));
    }
}

/** Decodes endpoint entries in the default format. */
export class DefaultEndpointDecoder implements EndpointDecoder {
    readonly prefix = "endpoints/";

    private constructor() {}

    static create(): DefaultEndpointDecoder {
        return new DefaultEndpointDecoder();
    }

    decodeEndpoint(object: StoredObject): Result<EndpointEntry, string> {
        const parsed = endpointEntrySchema.safeParse(object.value);
        if (!parsed.success) {
            return Err(listIssues(parsed.error).join("; "));
        }
        if (object.name !== this.prefix + parsed.data.id) {
            return Err(`the object name does not match its endpoint id ${parsed.data.id}`);
        }
        return Ok(parsed.data);
    }
}

const defaultMoveSchema = z.object({
    service: z.string().min(1),
    target: z.string().min(1),
    /** In milliseconds. */
    duration: z.number().positive(),
    account: versionMoveStatusSchema.optional(),
});

/** Decodes version move orders in the default format, which stores the move's account in the same object as the order. */
export class DefaultVersionMoveStore implements VersionMoveDecoder, VersionMoveStatusStore {
    readonly prefix = "version-moves/";

    private constructor(private readonly store: ObjectStore) {}

    static create(store: ObjectStore): DefaultVersionMoveStore {
        return new DefaultVersionMoveStore(store);
    }

    decodeMove(object: StoredObject): Result<DecodedMove, string> {
        const parsed = defaultMoveSchema.safeParse(object.value);
        if (!parsed.success) {
            return Err(listIssues(parsed.error).join("; "));
        }
        const { account, ...order } = parsed.data;
        return Ok({ order, account });
    }

    writeStatus(object: StoredObject, account: VersionMoveStatus): Promise<Result<number, WriteFailure>> {
        const value = { ...defaultMoveSchema.parse(object.value), account };
        return this.store.replaceObject(object.name, value, object.revision);
    }
}

/** Binds the default object formats and call protocol on `store`, without a duty API. */
export function addDefaultDeploymentBindings(container: Container, store: ObjectStore): void {
    container.bind(Keys.Store).toConstantValue(store);
    const moves = DefaultVersionMoveStore.create(store);
    container.bind(Keys.VersionMoveDecoder).toConstantValue(moves);
    container.bind(Keys.MoveAccounts).toConstantValue(moves);
    container.bind(Keys.DutyApi).toConstantValue(undefined);
    container.bind(Keys.EvacuationPrefix).toConstantValue("evacuations/");
    container.bind(Keys.Protocol).toConstantValue(defaultCallProtocol);
    container.bind(Keys.ConfigurationDecoder).toDynamicValue(() => DefaultConfigurationDecoder.create());
    container.bind(Keys.EndpointDecoder).toDynamicValue(() => DefaultEndpointDecoder.create());
}
