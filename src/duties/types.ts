import { Result } from "../common/results.js";
import { TeamUsage } from "../usage/usageCounter.js";

/** Under whose lease a call to the cloud API is made. */
export interface DutyCredentials {
    readonly holder: string;
    readonly fencing: number;
}

/** What is known of a duty's call that was not accepted. */
export enum DutyOutcome {
    /** A holder with a higher fencing token was seen. */
    Fenced = "fenced",
    /** What was ordered cannot be had now. */
    Unavailable = "unavailable",
    /** It was refused for another reason, or too often; nothing was done. */
    Refused = "refused",
    /** The answer was lost; it may have been done, or be done later. */
    Unknown = "unknown",
}

/** A duty's call that was not accepted. */
export interface DutyFailure {
    readonly outcome: DutyOutcome;
    readonly text: string;
}

/** The usage of one window, counted over all nodes. */
export interface UsageReport {
    readonly window: number;
    readonly counts: readonly TeamUsage[];
}

/** An order for a number of endpoints of one kind. */
export interface EndpointOrder {
    readonly service: string;
    readonly failureDomain: string;
    readonly isReclaimable: boolean;
    readonly count: number;
}

/** The calls to the cloud that are the duty of one node at a time. */
export interface DutyApi {
    sendUsage(report: UsageReport, credentials: DutyCredentials): Promise<Result<void, DutyFailure>>;
    orderEndpoints(order: EndpointOrder, credentials: DutyCredentials): Promise<Result<void, DutyFailure>>;
}
