import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { Placement } from "../placement/types.js";
import { FleetRetryBudget } from "../quotas/fleetRetryBudget.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import { HedgeObstacle, HedgingPolicy } from "./hedgingPolicy.js";
import { IncomingCall } from "./types.js";

/** What became of second attempts, for metrics. */
export enum HedgeOutcome {
    Sent = "sent",
    /** The second attempt served the call. */
    Won = "won",
    /** The first attempt served the call, or none did. */
    Wasted = "wasted",
    /** The request was late, but got no second attempt. */
    Withheld = "withheld",
}

/** Dependencies of the second attempts of calls. */
export interface CallHedgeDependencies {
    readonly hedging: HedgingPolicy;
    readonly retryBudget: FleetRetryBudget;
    readonly metrics: GatewayMetrics;
    readonly log: EventLog;
}

/** The second attempt of one call: waits until the first one is late, and starts the second if the policy allows it. */
export class CallHedge {
    private timer: NodeJS.Timeout | undefined;
    private firstSentAt: number | undefined;
    private first: Placement | undefined;
    private endpointId: string | undefined;

    private constructor(
        private readonly dependencies: CallHedgeDependencies,
        private readonly call: IncomingCall,
        private readonly getTime: () => number,
    ) {}

    /** `getTime` returns monotonic milliseconds. */
    static create(dependencies: CallHedgeDependencies, call: IncomingCall, getTime: () => number): CallHedge {
        return new CallHedge(dependencies, call, getTime);
    }

    /** Returns whether a second attempt was sent. */
    isSent(): boolean {
        return this.endpointId !== undefined;
    }

    /**
     * Starts to wait for the response of the first attempt. If that is late, `choosePlacement` returns where the call may be sent once
     * more, if anywhere, and `sendAttempt` sends it there.
     */
    start(first: Placement, choosePlacement: () => Placement | undefined, sendAttempt: (placement: Placement) => void): void {
        const { hedging } = this.dependencies;
        const { service, route } = this.call;
        if (!hedging.isEnabled() || this.firstSentAt !== undefined) {
            return;
        }
        this.firstSentAt = this.getTime();
        this.first = first;
        hedging.recordRequest(service);
        const delay = hedging.computeDelay(route, first.tokensToRead, first.expectedTime);
        this.timer = setTimeout(() => {
            const placement = choosePlacement();
            const obstacle = this.findObstacle(placement, first);
            if (placement === undefined || obstacle !== undefined) {
                this.recordOutcome(HedgeOutcome.Withheld, obstacle);
                return;
            }
            hedging.takeAttempt(service);
            this.endpointId = placement.endpoint.entry.id;
            this.recordOutcome(HedgeOutcome.Sent);
            sendAttempt(placement);
        }, delay);
    }

    /** Ends the wait because the first attempt has failed; a further one may start it anew. */
    cancelWait(): void {
        clearTimeout(this.timer);
        if (!this.isSent()) {
            this.firstSentAt = undefined;
        }
    }

    /** Ends the wait at the first event of the call or the end of its response, and records its time. */
    finishWait(): void {
        clearTimeout(this.timer);
        if (this.firstSentAt !== undefined && this.first !== undefined) {
            const { tokensToRead, expectedTime } = this.first;
            this.dependencies.hedging.recordTime(this.call.route.name, tokensToRead, expectedTime, this.getTime() - this.firstSentAt);
        }
    }

    /** Records, at the end of the call, whether the second attempt served it. */
    recordEnd(servingEndpointId: string | undefined): void {
        clearTimeout(this.timer);
        if (this.endpointId === undefined) {
            return;
        }
        const isWon = servingEndpointId === this.endpointId;
        this.recordOutcome(isWon ? HedgeOutcome.Won : HedgeOutcome.Wasted);
        this.dependencies.log.log(LogEvents.RequestHedged, {
            request: this.call.id,
            route: this.call.route.name,
            endpoint: this.endpointId,
            isWon,
            milliseconds: Math.round(this.getTime() - (this.firstSentAt ?? 0)),
        });
    }

    private findObstacle(placement: Placement | undefined, first: Placement): HedgeObstacle | undefined {
        const { hedging, retryBudget } = this.dependencies;
        const { service } = this.call;
        if (placement === undefined) {
            return HedgeObstacle.NotAllowed;
        }
        const obstacle = hedging.findObstacle(service);
        if (obstacle !== undefined) {
            return obstacle;
        }
        if (!hedging.hasRoom(placement.endpoint, placement.expectedTime, first.expectedTime)) {
            return HedgeObstacle.NoRoom;
        }
        return retryBudget.takeOptionalRetry(service) ? undefined : HedgeObstacle.Budget;
    }

    private recordOutcome(outcome: HedgeOutcome, cause = ""): void {
        this.dependencies.metrics.hedges.inc({ route: this.call.route.name, outcome, cause });
    }
}
