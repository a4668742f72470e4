import { Result } from "../common/results.js";
import { Revision } from "../provider/revision.js";
import { TeamUsage } from "../usage/usageCounter.js";

/** Lease holder and fencing token with which a call to the cloud API is made. */
export interface DutyCredentials {
    readonly holder: string;
    readonly fencing: Revision;
    /** Fencing token under which this node held the lease without a gap until the store was restored; undefined if it did not. */
    readonly continuedFencing?: Revision | undefined;
}

/** Outcome of a duty's cloud API call that was not accepted. */
export enum DutyOutcome {
    /** The cloud API has already accepted a higher fencing token. */
    Fenced = "fenced",
    /** The cloud has no capacity for the order now. */
    Unavailable = "unavailable",
    /** The call was refused for another reason or by a rate limit; it took no effect. */
    Refused = "refused",
    /** No response arrived; the call may have taken effect or take effect later. */
    Unknown = "unknown",
}

/** Failure of a duty's cloud API call. */
export interface DutyFailure {
    readonly outcome: DutyOutcome;
    /** Cause, for log lines. */
    readonly text: string;
}

/** Number of requests of each team in one window, counted over all nodes. */
export interface UsageReport {
    readonly window: number;
    readonly counts: readonly TeamUsage[];
}

/** An order to the cloud to run `count` endpoints of one kind in one failure domain. */
export interface EndpointOrder {
    readonly service: string;
    readonly failureDomain: string;
    readonly isReclaimable: boolean;
    readonly count: number;
}

/** Cloud API calls that only the holder of the duty lease makes. */
export interface DutyApi {
    sendUsage(report: UsageReport, credentials: DutyCredentials): Promise<Result<void, DutyFailure>>;
    orderEndpoints(order: EndpointOrder, credentials: DutyCredentials): Promise<Result<void, DutyFailure>>;
}
