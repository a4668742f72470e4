/** Retries that one request earns. */
const budgetPerRequest = 0.1;
/** Most retries that can be saved up. */
const budgetLimit = 50;
/** Retries available before any request was accepted. */
const initialBudget = 5;

/** Allows retries as a share of the accepted requests, so that retries never multiply an overload. */
export class RetryBudget {
    private available = initialBudget;

    private constructor() {}

    static create(): RetryBudget {
        return new RetryBudget();
    }

    /** Adds what one accepted request earns. */
    recordRequest(): void {
        this.available = Math.min(budgetLimit, this.available + budgetPerRequest);
    }

    /** Takes one retry; returns false when none is left. */
    takeRetry(): boolean {
        if (this.available < 1) {
            return false;
        }
        this.available -= 1;
        return true;
    }
}
