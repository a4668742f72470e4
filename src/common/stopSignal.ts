/** Resolves when the process is told to stop, by SIGTERM or SIGINT. */
export function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
