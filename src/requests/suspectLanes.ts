/** Lets one request under suspicion at a time run at each endpoint, so that a second death has one suspect. */
export class SuspectLanes {
    private readonly tails = new Map<string, Promise<void>>();

    private constructor() {}

    static create(): SuspectLanes {
        return new SuspectLanes();
    }

    /** Waits for the lane of an endpoint; the function returned gives it back. */
    async acquireLane(endpoint: string): Promise<() => void> {
        const previous = this.tails.get(endpoint) ?? Promise.resolve();
        let release: () => void = () => {};
        const current = new Promise<void>(resolve => {
            release = resolve;
        });
        const tail = previous.then(() => current);
        this.tails.set(endpoint, tail);
        await previous;
        return () => {
            release();
            if (this.tails.get(endpoint) === tail) {
                this.tails.delete(endpoint);
            }
        };
    }
}
