/** Tokens that an attempt of a suspect request must emit before the request is cleared of the earlier crash. */
export const probationTokenCount = 8;

/** Holds a lock per endpoint, so that only one suspect request at a time runs there and a second crash has one suspect. */
export class SuspectLocks {
    private readonly lastReleaseByEndpoint = new Map<string, Promise<void>>();

    private constructor() {}

    static create(): SuspectLocks {
        return new SuspectLocks();
    }

    /** Waits for the lock of an endpoint, first come first served; returns the function that releases it. */
    async acquireLock(endpoint: string): Promise<() => void> {
        const previous = this.lastReleaseByEndpoint.get(endpoint) ?? Promise.resolve();
        let release: () => void = () => {};
        const current = new Promise<void>(resolve => {
            release = resolve;
        });
        const tail = previous.then(() => current);
        this.lastReleaseByEndpoint.set(endpoint, tail);
        await previous;
        return () => {
            release();
            if (this.lastReleaseByEndpoint.get(endpoint) === tail) {
                this.lastReleaseByEndpoint.delete(endpoint);
            }
        };
    }
}
