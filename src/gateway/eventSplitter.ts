const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";

/** Cuts a stream of server-sent events at the ends of events, and keeps the id of the last whole one. The bytes stay as they are. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);
    private lastId: string | undefined;

    private constructor(lastId: string | undefined) {
        this.lastId = lastId;
    }

    /** Starts after the event with an id, or at the beginning. */
    static create(lastId: string | undefined): EventSplitter {
        return new EventSplitter(lastId);
    }

    /** Adds received bytes; returns those that complete events, perhaps none. */
    addBytes(chunk: Buffer): Buffer {
        const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const end = findLastEventEnd(bytes);
        this.rest = bytes.subarray(end);
        const events = bytes.subarray(0, end);
        this.lastId = findLastId(events) ?? this.lastId;
        return events;
    }

    /** Returns what has come of an event that is not complete. */
    getRest(): Buffer {
        return this.rest;
    }

    /** Drops what has come of an event that is not complete: its stream broke off. */
    removeRest(): void {
        this.rest = Buffer.alloc(0);
    }

    getLastId(): string | undefined {
        return this.lastId;
    }
}

/** Returns the offset behind the last blank line, or 0. */
function findLastEventEnd(bytes: Buffer): number {
    let position = bytes.lastIndexOf(lineFeed);
    while (position > 0) {
        const before = bytes[position - 1];
        if (before === lineFeed) {
            return position + 1;
        }
        if (before === carriageReturn && bytes[position - 2] === lineFeed) {
            return position + 1;
        }
        position = bytes.lastIndexOf(lineFeed, position - 1);
    }
    return 0;
}

function findLastId(events: Buffer): string | undefined {
    const text = events.toString("latin1");
    let start = text.lastIndexOf(idField);
    while (start > 0 && text[start - 1] !== "\n") {
        start = text.lastIndexOf(idField, start - 1);
    }
    if (start < 0) {
        return undefined;
    }
    const end = text.indexOf("\n", start);
    return text.slice(start + idField.length, end < 0 ? undefined : end).trim();
}
