import { write } from "node:fs";
import { Writable } from "node:stream";
import { createLogger, format, Logger, transports } from "winston";
import { LogEventKind, LogEvents } from "./logEvents.js";
import { millisecondsPerSecond } from "./units.js";

const standardOutput = 1;
/** Time for which lines are gathered before they are written together, in milliseconds. */
const gatherMilliseconds = 100;
/** Lines that wait while the reader of the output is slow, in bytes; further ones are left out. */
const waitingBytes = 262_144;

/** What a line tells besides its kind. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured lines, one for each event, within a bound for each kind. */
export interface EventLog {
    log(kind: LogEventKind, fields: LogFields): void;
    /** Writes what is gathered. */
    flush(): Promise<void>;
}

interface KindWindow {
    startedAt: number;
    lines: number;
    leftOut: number;
}

/** Writes JSON lines without ever waiting for the reader of the output. */
export class JsonEventLog implements EventLog {
    private readonly windows = new Map<string, KindWindow>();

    private constructor(private readonly logger: Logger, private readonly output: GatheringOutput) {}

    static create(node: string): JsonEventLog {
        const output = GatheringOutput.create(standardOutput);
        const logger = createLogger({
            defaultMeta: { node },
            format: format.combine(format.timestamp(), format.json()),
            transports: [new transports.Stream({ stream: output })],
        });
        return new JsonEventLog(logger, output);
    }

    log(kind: LogEventKind, fields: LogFields): void {
        const window = this.getWindow(kind);
        if (window.lines >= kind.linesPerSecond) {
            window.leftOut += 1;
            return;
        }
        window.lines += 1;
        this.logger.log(kind.level, kind.name, fields);
    }

    async flush(): Promise<void> {
        await this.output.flush();
    }

    private getWindow(kind: LogEventKind): KindWindow {
        const now = performance.now();
        const known = this.windows.get(kind.name);
        if (known !== undefined && now - known.startedAt < millisecondsPerSecond) {
            return known;
        }
        const fresh: KindWindow = { startedAt: now, lines: 0, leftOut: 0 };
        this.windows.set(kind.name, fresh);
        if (known !== undefined && known.leftOut > 0) {
            this.logger.log(LogEvents.LinesLeftOut.level, LogEvents.LinesLeftOut.name, { kind: kind.name, lines: known.leftOut });
        }
        return fresh;
    }
}

/** Writes nothing; for tests. */
export class SilentEventLog implements EventLog {
    private constructor() {}

    static create(): SilentEventLog {
        return new SilentEventLog();
    }

    log(): void {}

    async flush(): Promise<void> {}
}

/** Gathers lines and writes them in the background. A file descriptor's own stream may block the process on a slow pipe. */
class GatheringOutput extends Writable {
    private lines: Buffer[] = [];
    private bytes = 0;
    private leftOut = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly descriptor: number) {
        super({ decodeStrings: true });
    }

    static create(descriptor: number): GatheringOutput {
        return new GatheringOutput(descriptor);
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, callback: () => void): void {
        callback();
        if (this.bytes + chunk.length > waitingBytes) {
            this.leftOut += 1;
            return;
        }
        this.lines.push(chunk);
        this.bytes += chunk.length;
        this.timer ??= setTimeout(() => void this.flush(), gatherMilliseconds).unref();
    }

    async flush(): Promise<void> {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.lines.length === 0) {
            return;
        }
        this.isWriting = true;
        if (this.leftOut > 0) {
            this.lines.push(Buffer.from(`${JSON.stringify({ message: "output is slow", linesLeftOut: this.leftOut })}\n`));
            this.leftOut = 0;
        }
        const bytes = Buffer.concat(this.lines);
        this.lines = [];
        this.bytes = 0;
        await this.writeAll(bytes);
        this.isWriting = false;
        if (this.lines.length > 0) {
            this.timer ??= setTimeout(() => void this.flush(), gatherMilliseconds).unref();
        }
    }

    private async writeAll(bytes: Buffer): Promise<void> {
        let offset = 0;
        while (offset < bytes.length) {
            const written = await this.writeOnce(bytes, offset);
            if (written === 0) {
                return;
            }
            offset += written;
        }
    }

    /** Returns the bytes written; 0 when the output is closed, and then the lines have nowhere to go. */
    private writeOnce(bytes: Buffer, offset: number): Promise<number> {
        return new Promise(resolve => {
            write(this.descriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
                resolve(error ? 0 : written);
            });
        });
    }
}
