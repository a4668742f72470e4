/** Retries added to the budget by each request. */
const retriesPerRequest = 0.1;
/** Maximum number of retries in the budget. */
const maximumRetries = 50;
/** Retries in the budget at the start. */
const initialRetries = 5;

/** Limits retries to a share of the accepted requests, so that retries do not multiply an overload. */
export class RetryBudget {
    private availableRetries = initialRetries;

    private constructor() {}

    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Adds the retries of one accepted request. */
    recordRequest(): void {
        this.availableRetries = Math.min(maximumRetries, this.availableRetries + retriesPerRequest);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    takeRetry(): boolean {
        if (this.availableRetries < 1) {
            return false;
        }
        this.availableRetries -= 1;
        return true;
    }

    /** Returns a retry that was taken and not used. */
    releaseRetry(): void {
        this.availableRetries += 1;
    }
}
