/**
 * Resolves when the process receives SIGTERM or SIGINT. Further SIGTERMs are ignored, since by default they would end the process with
 * its open requests; a second SIGINT does end it, as a person at a terminal expects.
 */
export function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve());
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
