import { write } from "node:fs";
import { Writable } from "node:stream";
import { createLogger, format, Logger, transports } from "winston";
import { LogEventKind, LogEvents } from "./logEvents.js";
import { millisecondsPerSecond } from "./units.js";

const standardOutputDescriptor = 1;
/** Time for which lines are buffered so that one write carries several, in milliseconds. */
const flushDelayMilliseconds = 100;
/** Upper bound of the lines buffered while the reader of the output is slow, in bytes; further lines are dropped. */
const maximumBufferedBytes = 262_144;

/** Fields of a log line besides its kind; undefined values are omitted from the JSON. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured log with one line per event and a rate limit for each kind of event. */
export interface EventLog {
    /** Logs an event; the line is dropped and counted when its kind is over its rate limit. */
    log(kind: LogEventKind, fields: LogFields): void;
    /** Writes the buffered lines. */
    flush(): Promise<void>;
}

/** Counts of one kind of event in its current window of at least a second. */
interface RateWindow {
    /** Start of the window on the monotonic clock, in milliseconds. */
    startedAt: number;
    writtenLines: number;
    droppedLines: number;
}

/** Event log that writes JSON lines to standard output and never blocks on a slow reader: it drops lines instead. */
export class JsonEventLog implements EventLog {
    private readonly windowsByKind = new Map<string, RateWindow>();

    private constructor(private readonly logger: Logger, private readonly output: BufferedOutput) {}

    static create(node: string): JsonEventLog {
        const output = BufferedOutput.create(standardOutputDescriptor);
        const logger = createLogger({
            defaultMeta: { node },
            format: format.combine(format.timestamp(), format.json()),
            transports: [new transports.Stream({ stream: output })],
        });
        return new JsonEventLog(logger, output);
    }

    log(kind: LogEventKind, fields: LogFields): void {
        const window = this.getWindow(kind);
        if (window.writtenLines >= kind.linesPerSecond) {
            window.droppedLines += 1;
            return;
        }
        window.writtenLines += 1;
        this.logger.log(kind.level, kind.name, fields);
    }

    async flush(): Promise<void> {
        await this.output.flush();
    }

    /** Returns the current window of a kind. Opens a new one after a second and then logs how many lines the last one dropped. */
    private getWindow(kind: LogEventKind): RateWindow {
        const now = performance.now();
        const previous = this.windowsByKind.get(kind.name);
        if (previous !== undefined && now - previous.startedAt < millisecondsPerSecond) {
            return previous;
        }
        const next: RateWindow = { startedAt: now, writtenLines: 0, droppedLines: 0 };
        this.windowsByKind.set(kind.name, next);
        if (previous !== undefined && previous.droppedLines > 0) {
            this.logger.log(LogEvents.LinesLeftOut.level, LogEvents.LinesLeftOut.name, { kind: kind.name, lines: previous.droppedLines });
        }
        return next;
    }
}

/** Event log that discards every line, for tests. */
export class SilentEventLog implements EventLog {
    private constructor() {}

    static create(): SilentEventLog {
        return new SilentEventLog();
    }

    log(): void {}

    async flush(): Promise<void> {}
}

/** Stream that buffers lines and writes them in the background, because process.stdout may block the process on a slow pipe. */
class BufferedOutput extends Writable {
    private bufferedLines: Buffer[] = [];
    private bufferedBytes = 0;
    private droppedLines = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly descriptor: number) {
        super({ decodeStrings: true });
    }

    static create(descriptor: number): BufferedOutput {
        return new BufferedOutput(descriptor);
    }

    override _write(chunk: Buffer, _encoding: BufferEncoding, callback: () => void): void {
        callback();
        if (this.bufferedBytes + chunk.length > maximumBufferedBytes) {
            this.droppedLines += 1;
            return;
        }
        this.bufferedLines.push(chunk);
        this.bufferedBytes += chunk.length;
        this.timer ??= setTimeout(() => void this.flush(), flushDelayMilliseconds).unref();
    }

    async flush(): Promise<void> {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.bufferedLines.length === 0) {
            return;
        }
        this.isWriting = true;
        if (this.droppedLines > 0) {
            this.bufferedLines.push(Buffer.from(`${JSON.stringify({ message: "output is slow", linesLeftOut: this.droppedLines })}\n`));
            this.droppedLines = 0;
        }
        const bytes = Buffer.concat(this.bufferedLines);
        this.bufferedLines = [];
        this.bufferedBytes = 0;
        await this.writeAll(bytes);
        this.isWriting = false;
        if (this.bufferedLines.length > 0) {
            this.timer ??= setTimeout(() => void this.flush(), flushDelayMilliseconds).unref();
        }
    }

    /** Writes all bytes, or stops without an error when the output fails. */
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

    /** Writes once and returns the number of bytes written; 0 when the write fails, as on a closed output, and the lines are lost. */
    private writeOnce(bytes: Buffer, offset: number): Promise<number> {
        return new Promise(resolve => {
            write(this.descriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
                resolve(error ? 0 : written);
            });
        });
    }
}
