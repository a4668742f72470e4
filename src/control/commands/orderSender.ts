import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Err, Result } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointDescription } from "../../endpoints/types.js";
import { LeaseManager } from "./leaseManager.js";

/** Time limit of one order, and of reading back its result. */
export const orderTimeLimitMilliseconds = 500;

/** Sends orders to endpoints under a lease and its fencing number, so that orders of two holders are never both in effect. */
export class OrderSender {
    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly lease: LeaseManager,
        private readonly clock: Clock,
        private readonly checksFencing: (group: string) => boolean,
    ) {}

    static create(
        client: ModelEndpointClient,
        lease: LeaseManager,
        clock: Clock,
        checksFencing: (group: string) => boolean,
    ): OrderSender {
        return new OrderSender(client, lease, clock, checksFencing);
    }

    /** Returns whether an order to an endpoint of a group may be sent now. */
    isSendAllowed(group: string): boolean {
        const grant = this.lease.getGrant();
        if (grant === undefined || grant.remaining <= orderTimeLimitMilliseconds) {
            return false;
        }
        // Endpoints that don't check fencing numbers accept late orders: wait until every order of the previous holder has timed out.
        return this.checksFencing(group) || grant.heldFor > this.lease.getPreviousHolderTimeout() + orderTimeLimitMilliseconds;
    }

    /**
     * Orders an endpoint to serve exactly the given models and reads back the accepted fencing number. Fails when the lease is not held
     * or the endpoint has accepted an order with a higher number.
     */
    async sendModels(endpoint: EndpointDescription, models: readonly string[]): Promise<Result<void, Failure>> {
        const grant = this.lease.getGrant();
        // Checked right before sending: a process that was paused must not send under an expired lease.
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
