import { IncomingMessage } from "node:http";
import { CallerResponse } from "./callerResponse.js";
import { EndpointExchange } from "./endpointExchange.js";
import { EventSplitter } from "./eventSplitter.js";
import { createResponseHeaders } from "./forwardedHeaders.js";

/** Size up to which a response is buffered until it is complete; well above ordinary responses. Larger ones are streamed. */
export const bufferedResponseBytes = 262_144;

const statusOk = 200;
const statusRedirect = 300;
const eventStreamContentType = "text/event-stream";

/** Largest event of a stream, in bytes; an event without an end would be buffered without bound. */
const maximumEventBytes = 1_048_576;

/** Outcome of relaying one response. */
export enum RelayOutcome {
    /** The complete response was written to the caller. */
    Complete = "whole",
    /** The endpoint's response ended early. */
    Truncated = "broken",
    CallerDisconnected = "caller-left",
}

/** Returns whether a response on a route of streams is one; failures come as plain documents. */
export function isEventStream(status: number, contentType = eventStreamContentType): boolean {
    return status >= statusOk && status < statusRedirect && contentType.toLowerCase().startsWith(eventStreamContentType);
}

/** Relays the response of an endpoint to the caller. */
export interface ResponseRelay {
    /** Relays a response until it ends or the caller disconnects; rejects only when the response cannot be written. */
    forwardResponse(response: IncomingMessage, exchange: EndpointExchange): Promise<RelayOutcome>;
}

/** Relays a response that is useful only when complete: buffers a small one until it has ended, so that a truncated one can still be retried. */
export class BufferingResponseRelay implements ResponseRelay {
    private constructor(private readonly caller: CallerResponse) {}

    static create(caller: CallerResponse): BufferingResponseRelay {
        return new BufferingResponseRelay(caller);
    }

    async forwardResponse(response: IncomingMessage, exchange: EndpointExchange): Promise<RelayOutcome> {
        const { caller } = this;
        const buffered: Buffer[] = [];
        let size = 0;
        try {
            for await (const chunk of response as AsyncIterable<Buffer>) {
                size += chunk.length;
                if (!caller.hasStarted() && size <= bufferedResponseBytes) {
                    buffered.push(chunk);
                    continue;
                }
                await this.writeChunks(response, buffered.splice(0), chunk);
            }
        }
        catch {
            // The attempt creates the failure with its verdict; the error that truncated the response is not needed for it.
            return caller.isCallerDisconnected() ? RelayOutcome.CallerDisconnected : RelayOutcome.Truncated;
        }
        if (caller.isCallerDisconnected()) {
            return RelayOutcome.CallerDisconnected;
        }
        if (!await exchange.isComplete() || exchange.isAborted()) {
            return RelayOutcome.Truncated;
        }
        if (caller.hasStarted()) {
            caller.finishResponse();
            return RelayOutcome.Complete;
        }
        const hasNoBody = response.statusCode === 204 || response.statusCode === 304;
        caller.startResponse(response.statusCode ?? 0, createResponseHeaders(response, hasNoBody ? undefined : size));
        caller.finishResponse(Buffer.concat(buffered));
        return RelayOutcome.Complete;
    }

    private async writeChunks(response: IncomingMessage, buffered: Buffer[], chunk: Buffer): Promise<void> {
        const { caller } = this;
        if (!caller.hasStarted()) {
            const contentLength = response.headers["content-length"];
            caller.startResponse(
                response.statusCode ?? 0,
                createResponseHeaders(response, contentLength === undefined ? undefined : Number(contentLength)),
            );
        }
        if (!caller.writeBytes(Buffer.concat([...buffered, chunk]))) {
            await caller.waitForDrain();
        }
    }
}

/** Relays a stream of server-sent events, each as soon as it is complete. One relay serves all attempts of a call. */
export class EventStreamRelay implements ResponseRelay {
    private readonly splitter: EventSplitter;

    private constructor(
        private readonly caller: CallerResponse,
        lastEventId: string | undefined,
        private readonly handleFirstEvent: () => void,
    ) {
        this.splitter = EventSplitter.create(lastEventId);
    }

    static create(caller: CallerResponse, lastEventId: string | undefined, handleFirstEvent: () => void): EventStreamRelay {
        return new EventStreamRelay(caller, lastEventId, handleFirstEvent);
    }

    /** Returns the id of the last event that the caller has: from this relay, or else from the caller's Last-Event-ID header. */
    getLastEventId(): string | undefined {
        return this.splitter.getLastEventId();
    }

    /** Drops the part of an event that an earlier attempt left behind; must be called before the events of another node are written. */
    removeIncompleteEvent(): void {
        this.splitter.removeIncompleteEvent();
    }

    /** Writes whole events that another node has split from a response; returns false when the writer must wait for the caller. */
    writeEvents(events: Buffer): boolean {
        return this.caller.writeBytes(this.splitter.addBytes(events));
    }

    async forwardResponse(response: IncomingMessage, exchange: EndpointExchange): Promise<RelayOutcome> {
        const { caller, splitter } = this;
        const hasEnded = await this.relayEvents(response, exchange);
        if (caller.isCallerDisconnected()) {
            return RelayOutcome.CallerDisconnected;
        }
        // A connection that is closed in order proves nothing by itself: a process that crashes may close its connections so.
        if (!hasEnded || splitter.hasIncompleteEvent() || !await exchange.isComplete() || exchange.isAborted()) {
            return RelayOutcome.Truncated;
        }
        this.startResponse(response);
        caller.finishResponse();
        return RelayOutcome.Complete;
    }

    /** Relays events until the response ends; returns false if it was truncated or given up. */
    private relayEvents(response: IncomingMessage, exchange: EndpointExchange): Promise<boolean> {
        const { caller, splitter } = this;
        return new Promise((resolve, reject) => {
            let hasData = false;
            let hasEvent = false;
            let isFinished = false;
            const startData = () => {
                if (!hasData) {
                    // An earlier attempt may have left a part of an event. Not dropped before: until now it may have gone on.
                    hasData = true;
                    splitter.removeIncompleteEvent();
                }
            };
            const finish = (hasEnded: boolean) => {
                isFinished = true;
                resolve(hasEnded);
            };
            const relayChunk = (chunk: Buffer) => {
                if (isFinished || exchange.isAborted()) {
                    return;
                }
                startData();
                const events = splitter.addBytes(chunk);
                if (splitter.getIncompleteEvent().length > maximumEventBytes) {
                    exchange.close();
                    finish(false);
                    return;
                }
                if (events.length === 0) {
                    return;
                }
                if (!hasEvent) {
                    hasEvent = true;
                    this.handleFirstEvent();
                }
                this.startResponse(response);
                if (!caller.writeBytes(events)) {
                    response.pause();
                    void caller.waitForDrain().then(() => response.resume());
                }
            };
            response.on("data", (chunk: Buffer) => {
                try {
                    relayChunk(chunk);
                }
                catch (error) {
                    // An exception in an event handler would end the process, and with it the calls of all other callers.
                    isFinished = true;
                    reject(error as Error);
                }
            });
            response.once("end", () => {
                startData();
                finish(true);
            });
            response.once("error", () => finish(false));
            response.once("close", () => finish(false));
        });
    }

    private startResponse(response: IncomingMessage): void {
        if (!this.caller.hasStarted()) {
            this.caller.startResponse(response.statusCode ?? 0, createResponseHeaders(response, undefined));
        }
    }
}
