/** Runs attempts of one call beside each other until one of them has a final result. */
export class CompetingAttempts<T> {
    private readonly controllers = new Set<AbortController>();
    private finish: (result: T) => void = () => {};
    private fail: (error: unknown) => void = () => {};
    private readonly result = new Promise<T>((resolve, reject) => {
        this.finish = resolve;
        this.fail = reject;
    });
    private isDecided = false;

    private constructor(private readonly isFinal: (result: T) => boolean, private readonly signal: AbortSignal) {}

    /** Creates a competition without attempts; the signal aborts all of them. */
    static create<T>(isFinal: (result: T) => boolean, signal: AbortSignal): CompetingAttempts<T> {
        return new CompetingAttempts(isFinal, signal);
    }

    /** Starts an attempt. The first final result, or the last result if none is final, decides and aborts the other attempts. */
    startAttempt(runAttempt: (signal: AbortSignal) => Promise<T>): void {
        const controller = new AbortController();
        this.controllers.add(controller);
        runAttempt(AbortSignal.any([this.signal, controller.signal])).then(
            result => {
                this.controllers.delete(controller);
                if (this.isFinal(result) || this.controllers.size === 0) {
                    this.finishWith(() => this.finish(result));
                }
            },
            (error: unknown) => this.finishWith(() => this.fail(error)),
        );
    }

    /** Returns whether a result has decided, so that no attempt may be started any more. */
    isFinished(): boolean {
        return this.isDecided;
    }

    /** Returns the result that decides. */
    getResult(): Promise<T> {
        return this.result;
    }

    private finishWith(settle: () => void): void {
        this.isDecided = true;
        settle();
        this.controllers.forEach(controller => controller.abort());
    }
}
