import { IncomingMessage } from "node:http";
import { CallerAnswer } from "./callerAnswer.js";
import { EndpointExchange } from "./endpointExchange.js";
import { EventSplitter } from "./eventSplitter.js";
import { createAnswerHeaders } from "./forwardedHeaders.js";

/** Largest answer that is held until it is whole, in bytes; a larger one is passed on as it comes. Well above ordinary answers. */
const heldAnswerBytes = 262_144;

/** How the relay of an answer ended. */
export enum RelayEnd {
    /** The whole answer went to the caller. */
    Whole = "whole",
    /** The endpoint's answer ended early. */
    Broken = "broken",
    CallerLeft = "caller-left",
}

/** Passes an answer of any kind on to the caller. */
export interface AnswerRelay {
    forwardAnswer(answer: IncomingMessage, exchange: EndpointExchange): Promise<RelayEnd>;
}

/** Passes on an answer that counts only as a whole: it is held until it is complete, or for as long as it is small. */
export class WholeAnswerRelay implements AnswerRelay {
    private constructor(private readonly caller: CallerAnswer) {}

    static create(caller: CallerAnswer): WholeAnswerRelay {
        return new WholeAnswerRelay(caller);
    }

    async forwardAnswer(answer: IncomingMessage, exchange: EndpointExchange): Promise<RelayEnd> {
        const { caller } = this;
        const held: Buffer[] = [];
        let size = 0;
        try {
            for await (const chunk of answer as AsyncIterable<Buffer>) {
                size += chunk.length;
                if (!caller.hasBegun() && size <= heldAnswerBytes) {
                    held.push(chunk);
                    continue;
                }
                await this.passOn(answer, held.splice(0), chunk);
            }
        }
        catch {
            // The reader of the exchange gets the verdict; what broke the connection off is in its failure.
            return caller.isCallerGone() ? RelayEnd.CallerLeft : RelayEnd.Broken;
        }
        if (caller.isCallerGone()) {
            return RelayEnd.CallerLeft;
        }
        if (!exchange.isWhole(answer)) {
            return RelayEnd.Broken;
        }
        if (caller.hasBegun()) {
            caller.finishAnswer();
            return RelayEnd.Whole;
        }
        const hasNoBody = answer.statusCode === 204 || answer.statusCode === 304;
        caller.startAnswer(answer.statusCode ?? 0, createAnswerHeaders(answer, hasNoBody ? undefined : size));
        caller.finishAnswer(Buffer.concat(held));
        return RelayEnd.Whole;
    }

    private async passOn(answer: IncomingMessage, held: Buffer[], chunk: Buffer): Promise<void> {
        const { caller } = this;
        if (!caller.hasBegun()) {
            const stated = answer.headers["content-length"];
            caller.startAnswer(answer.statusCode ?? 0, createAnswerHeaders(answer, stated === undefined ? undefined : Number(stated)));
        }
        if (!caller.writeBytes(Buffer.concat([...held, chunk]))) {
            await caller.waitForDrain();
        }
    }
}

/** Passes on a stream of events, each as soon as it is whole. One relay serves all attempts of a call. */
export class EventStreamRelay implements AnswerRelay {
    private readonly splitter: EventSplitter;

    private constructor(
        private readonly caller: CallerAnswer,
        lastEventId: string | undefined,
        private readonly handleFirstEvent: () => void,
    ) {
        this.splitter = EventSplitter.create(lastEventId);
    }

    static create(caller: CallerAnswer, lastEventId: string | undefined, handleFirstEvent: () => void): EventStreamRelay {
        return new EventStreamRelay(caller, lastEventId, handleFirstEvent);
    }

    /** Returns the id of the last event that the caller has, by its own word or from this relay. */
    getLastEventId(): string | undefined {
        return this.splitter.getLastId();
    }

    forwardAnswer(answer: IncomingMessage, exchange: EndpointExchange): Promise<RelayEnd> {
        const { caller, splitter } = this;
        splitter.removeRest();
        return new Promise(resolve => {
            let isSettled = false;
            let hasEvent = false;
            const settle = (end: RelayEnd) => {
                if (!isSettled) {
                    isSettled = true;
                    resolve(end);
                }
            };
            const breakOff = () => settle(caller.isCallerGone() ? RelayEnd.CallerLeft : RelayEnd.Broken);
            answer.on("data", (chunk: Buffer) => {
                const events = splitter.addBytes(chunk);
                if (events.length === 0 || isSettled) {
                    return;
                }
                if (!hasEvent) {
                    hasEvent = true;
                    this.handleFirstEvent();
                }
                this.startAnswer(answer);
                if (!caller.writeBytes(events)) {
                    answer.pause();
                    void caller.waitForDrain().then(() => answer.resume());
                }
            });
            answer.once("end", () => {
                if (caller.isCallerGone() || !exchange.isWhole(answer)) {
                    breakOff();
                    return;
                }
                this.startAnswer(answer);
                caller.finishAnswer(splitter.getRest());
                settle(RelayEnd.Whole);
            });
            answer.once("error", breakOff);
            answer.once("close", breakOff);
        });
    }

    private startAnswer(answer: IncomingMessage): void {
        if (!this.caller.hasBegun()) {
            this.caller.startAnswer(answer.statusCode ?? 0, createAnswerHeaders(answer, undefined));
        }
    }
}
