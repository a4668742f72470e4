/** Resolves when the process receives SIGTERM or SIGINT. */
export function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}

/**
 * Resolves after an exception that nothing caught, which `report` is told. The state of the process is unknown then, so it has to
 * end, but it can still finish the open requests of other callers.
 */
export function waitForUncaughtException(report: (error: Error) => void): Promise<void> {
    return new Promise(resolve => {
        process.on("uncaughtException", error => {
            report(error);
            resolve();
        });
    });
}
