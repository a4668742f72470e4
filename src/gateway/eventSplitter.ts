const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";

/** Splits a stream of server-sent events at event boundaries without changing its bytes, and keeps the id of the last complete event. */
export class EventSplitter {
    private incompleteEvent: Buffer = Buffer.alloc(0);
    private lastId: string | undefined;

    private constructor(lastId: string | undefined) {
        this.lastId = lastId;
    }

    /** Creates a splitter for a stream that starts after the event with the given id, or at the beginning if it is undefined. */
    static create(lastId: string | undefined): EventSplitter {
        return new EventSplitter(lastId);
    }

    /** Adds received bytes; returns all complete events that have not been returned yet, which may be empty. */
    addBytes(chunk: Buffer): Buffer {
        const bytes = this.incompleteEvent.length === 0 ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
        const end = findLastEventEnd(bytes);
        this.incompleteEvent = bytes.subarray(end);
        const events = bytes.subarray(0, end);
        this.lastId = findLastId(events) ?? this.lastId;
        return events;
    }

    /** Returns whether the stream stands inside an event. Line ends after a complete event belong to none. */
    hasIncompleteEvent(): boolean {
        return this.incompleteEvent.some(byte => byte !== lineFeed && byte !== carriageReturn);
    }

    /** Returns the bytes of the last event, which is incomplete; empty if there is none. */
    getIncompleteEvent(): Buffer {
        return this.incompleteEvent;
    }

    /** Drops the bytes of an incomplete event after its stream was truncated. */
    removeIncompleteEvent(): void {
        this.incompleteEvent = Buffer.alloc(0);
    }

    /** Returns the id of the last complete event, or else the id given at creation. */
    getLastEventId(): string | undefined {
        return this.lastId;
    }
}

/** Returns the offset after the last blank line, or 0 if there is none. */
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
