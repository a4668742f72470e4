/** An attempt to get a call served, by an endpoint or by a peer. */
export interface RunnableAttempt<Report> {
    /** Runs the attempt and records its result; returns the report if the call ends with that result. */
    run(): Promise<Report | undefined>;
    /** Aborts the attempt, since another one serves the call. */
    abort(): void;
}

/**
 * Runs the attempts of one call that overlap. An attempt whose endpoint is silent goes on until another one has a response: the
 * silence of an endpoint does not prove that it is lost, and there may be no other one that takes the call.
 */
export class OverlappingAttempts<Report> {
    private readonly running = new Set<RunnableAttempt<Report>>();
    private readonly aborted = new Set<RunnableAttempt<Report>>();
    private lastReport: Report | undefined;
    private handleEnd: () => void = () => {};
    private handleError: (error: unknown) => void = () => {};

    private constructor(private readonly handleAbortedError: (error: unknown) => void) {}

    /** `handleAbortedError` gets the errors of attempts that were aborted, which do not concern the call any more. */
    static create<Report>(handleAbortedError: (error: unknown) => void): OverlappingAttempts<Report> {
        return new OverlappingAttempts(handleAbortedError);
    }

    /** Returns the number of attempts that run. */
    count(): number {
        return this.running.size;
    }

    /** Runs an attempt, and those that are added until none runs; returns the report of the last one that was not aborted. */
    async run(first: RunnableAttempt<Report>): Promise<Report | undefined> {
        this.lastReport = undefined;
        const hasEnded = new Promise<void>((resolve, reject) => {
            this.handleEnd = resolve;
            this.handleError = reject;
        });
        this.add(first);
        await hasEnded;
        return this.lastReport;
    }

    /** Starts an attempt beside those that run. */
    add(attempt: RunnableAttempt<Report>): void {
        this.running.add(attempt);
        attempt.run().then(report => this.endAttempt(attempt, report), (error: unknown) => this.failAttempt(attempt, error));
    }

    /** Aborts all attempts but one. */
    abortOthers(attempt: RunnableAttempt<Report>): void {
        for (const other of this.running) {
            if (other !== attempt && !this.aborted.has(other)) {
                this.aborted.add(other);
                other.abort();
            }
        }
    }

    private endAttempt(attempt: RunnableAttempt<Report>, report: Report | undefined): void {
        this.running.delete(attempt);
        if (!this.aborted.delete(attempt)) {
            this.lastReport = report;
        }
        if (this.running.size === 0) {
            this.handleEnd();
        }
    }

    private failAttempt(attempt: RunnableAttempt<Report>, error: unknown): void {
        if (this.aborted.has(attempt)) {
            this.handleAbortedError(error);
            this.endAttempt(attempt, undefined);
            return;
        }
        this.abortOthers(attempt);
        this.running.delete(attempt);
        this.handleError(error);
    }
}
