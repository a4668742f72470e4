import { readFileSync, statSync } from "node:fs";
import { SecureContextOptions } from "node:tls";
import { describeError } from "../common/failure.js";
import { Logger } from "../common/logging.js";
import { TlsSettings } from "../config/types.js";

/** Time between two looks at the certificate files, in milliseconds. */
const checkIntervalMilliseconds = 2_000;

/** Certificates for the connections between nodes, read again when their files change. */
export class TlsMaterial {
    private readonly listeners = new Set<(options: SecureContextOptions) => void>();
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly settings: TlsSettings,
        private readonly logger: Logger,
        private current: SecureContextOptions,
        private changedAt: number,
    ) {
        this.timer = setInterval(() => this.checkFiles(), checkIntervalMilliseconds).unref();
    }

    /** Throws when a file cannot be read; the settings check has seen that the files exist. */
    static create(settings: TlsSettings, logger: Logger): TlsMaterial {
        return new TlsMaterial(settings, logger, readOptions(settings), readChangeTime(settings));
    }

    getOptions(): SecureContextOptions {
        return this.current;
    }

    /** Calls a listener whenever new certificates were read. */
    addListener(listener: (options: SecureContextOptions) => void): void {
        this.listeners.add(listener);
    }

    /** Reads the files again if they changed. Files that cannot be used leave the current certificates in place. */
    checkFiles(): void {
        try {
            const changedAt = readChangeTime(this.settings);
            if (changedAt === this.changedAt) {
                return;
            }
            this.current = readOptions(this.settings);
            this.changedAt = changedAt;
            this.listeners.forEach(listener => listener(this.current));
            this.logger.info("certificates were read again", { file: this.settings.certificateFile });
        }
        catch (error) {
            this.logger.warn("certificates could not be read again", { text: describeError(error) });
        }
    }

    stop(): void {
        clearInterval(this.timer);
    }
}

function readOptions(settings: TlsSettings): SecureContextOptions {
    return {
        cert: readFileSync(settings.certificateFile),
        key: readFileSync(settings.keyFile),
        ca: readFileSync(settings.authorityFile),
    };
}

function readChangeTime(settings: TlsSettings): number {
    const files = [settings.certificateFile, settings.keyFile, settings.authorityFile];
    return Math.max(...files.map(file => statSync(file).mtimeMs));
}
