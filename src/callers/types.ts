import { Clock } from "../common/clock.js";
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

/** Finds requests that other nodes own. */
export interface RemoteRequests {
    /** Returns a record that mirrors a request of another node from a token on, or undefined when no node knows it. */
    followRequest(requestId: string, offset: number): Promise<RequestRecord | undefined>;
}

/** Whether the node takes new work. */
export interface AcceptanceGate {
    isAccepting(): boolean;
}

/** The parts of a node that serving callers needs. */
export interface CallerParts {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly limits: LimitSettings;
    readonly limiter: TeamLimiter;
    readonly service: RequestService;
    readonly table: RequestTable;
    readonly drafts: DraftStore;
    readonly plainCalls: PlainCallRunner;
    readonly remote: RemoteRequests;
    readonly gate: AcceptanceGate;
}
