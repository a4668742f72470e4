import { BodyReader } from "../common/bodyReader.js";
import { Clock } from "../common/clock.js";
import { Logger } from "../common/logging.js";
import { Metrics } from "../common/metrics.js";
import { Tracing } from "../common/tracing.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { LimitSettings } from "../config/types.js";
import { DraftStore } from "../requests/commands/draftStore.js";
import { PlainCallRunner } from "../requests/commands/plainCallRunner.js";
import { TeamLimiter } from "../requests/commands/teamLimiter.js";
import { RequestRecord } from "../requests/requestRecord.js";
import { RequestService } from "../requests/requestService.js";
import { RequestTable } from "../requests/requestTable.js";

/** Access to requests that other nodes own. */
export interface RemoteRequests {
    /** Returns a record that mirrors another node's request from a token offset, or undefined when no reachable node has the request. */
    followRequest(requestId: string, offset: number): Promise<RequestRecord | undefined>;
}

/** Admission state of the node: whether it accepts new requests, which it does not while shutting down. */
export interface AcceptanceGate {
    isAccepting(): boolean;
}

/** Dependencies of the caller server and its handlers. */
export interface CallerDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly limits: LimitSettings;
    readonly bodies: BodyReader;
    readonly limiter: TeamLimiter;
    readonly service: RequestService;
    readonly requestTable: RequestTable;
    readonly drafts: DraftStore;
    readonly plainCalls: PlainCallRunner;
    readonly remoteRequests: RemoteRequests;
    readonly gate: AcceptanceGate;
}
