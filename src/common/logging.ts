import { createLogger, format, Logger, transports } from "winston";

export type { Logger } from "winston";

/** Creates a logger that writes one JSON object per line to standard error. */
export function createJsonLogger(level: string, node: string): Logger {
    return createLogger({
        level,
        defaultMeta: { node },
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
}

/** Creates a logger that discards every line. */
export function createSilentLogger(): Logger {
    return createLogger({ silent: true, transports: [new transports.Console()] });
}
