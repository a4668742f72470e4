import { readFileSync, statSync } from "node:fs";
import { SecureContextOptions } from "node:tls";
import { describeError } from "../common/failure.js";
import { Logger } from "../common/logging.js";
import { TlsSettings } from "../config/types.js";

/** Interval of the check whether the certificate files have changed. */
const checkIntervalMilliseconds = 2_000;

/** Certificates for the connections between nodes. Reloads them when their files change, so that a renewal needs no restart. */
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

    /** Throws when a file cannot be read; the validation of the settings has checked that the files exist. */
    static create(settings: TlsSettings, logger: Logger): TlsMaterial {
        return new TlsMaterial(settings, logger, readOptions(settings), readChangeTime(settings));
    }

    getOptions(): SecureContextOptions {
        return this.current;
    }

    /** Adds a listener that is called after new certificates have been loaded. */
    addListener(listener: (options: SecureContextOptions) => void): void {
        this.listeners.add(listener);
    }

    /** Reloads the files if they have changed. When a file cannot be read, the current certificates stay in use. */
    checkFiles(): void {
        try {
            const changedAt = readChangeTime(this.settings);
            if (changedAt === this.changedAt) {
                return;
            }
            this.current = readOptions(this.settings);
            this.changedAt = changedAt;
            this.listeners.forEach(listener => listener(this.current));
            this.logger.info("reloaded the certificates", { file: this.settings.certificateFile });
        }
        catch (error) {
            this.logger.warn("failed to reload the certificates", { text: describeError(error) });
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
