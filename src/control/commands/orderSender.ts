import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Err, Result } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointDescription } from "../../endpoints/types.js";
import { LeaseKeeper } from "./leaseKeeper.js";

/** Time limit of one order, in milliseconds. */
export const orderTimeLimitMilliseconds = 500;

/** Sends orders to endpoints under a lease, so that two holders never both have one accepted. */
export class OrderSender {
    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly lease: LeaseKeeper,
        private readonly clock: Clock,
        private readonly checksFencing: (group: string) => boolean,
    ) {}

    static create(
        client: ModelEndpointClient,
        lease: LeaseKeeper,
        clock: Clock,
        checksFencing: (group: string) => boolean,
    ): OrderSender {
        return new OrderSender(client, lease, clock, checksFencing);
    }

    /** Says whether an order to a group may be sent now. */
    isSendAllowed(group: string): boolean {
        const grant = this.lease.getGrant();
        if (grant === undefined || grant.remaining <= orderTimeLimitMilliseconds) {
            return false;
        }
        // Endpoints that ignore old fencing numbers: whatever an earlier holder sent must have arrived or be lost by now.
        return this.checksFencing(group) || grant.heldFor > this.lease.getSuccessorWait() + orderTimeLimitMilliseconds;
    }

    /** Orders an endpoint to serve exactly a set of models, and reads back what it accepted. */
    async sendModels(endpoint: EndpointDescription, models: readonly string[]): Promise<Result<void, Failure>> {
        const grant = this.lease.getGrant();
        // The check stands right before the order: a holder that was paused must not send on an old lease.
        if (grant === undefined || !this.isSendAllowed(endpoint.group)) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Lease_0_is_not_held, this.lease.name));
        }
        const sent = await this.client.sendOrder(endpoint.address, { fencing: grant.fencing, models }, orderTimeLimitMilliseconds);
        if (sent.err) {
            return sent;
        }
        const accepted = await this.client.fetchModels(endpoint.address, orderTimeLimitMilliseconds);
        if (accepted.ok && accepted.val.fencing > grant.fencing) {
            return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Lease_0_is_not_held, this.lease.name));
        }
        return accepted.map(() => undefined);
    }
}
