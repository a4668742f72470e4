import { MessageInitShape } from "@bufbuild/protobuf";
import { PassThrough } from "node:stream";
import { ForwardCallEndSchema, ForwardCallEventSchema } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { CallerResponse } from "./callerResponse.js";

/** An event of a call that is forwarded for a peer, before it is sent. */
export type ForwardCallEventInit = MessageInitShape<typeof ForwardCallEventSchema>;
export type ForwardCallEndInit = MessageInitShape<typeof ForwardCallEndSchema>;

/** Number of events that wait for a slow peer before the writer has to wait too. */
const maximumWaitingEvents = 16;

/** Passes the response of a call on to the peer that handed the call over, as a sequence of events. */
export class PeerCallerResponse implements CallerResponse {
    private readonly events = new PassThrough({ objectMode: true, highWaterMark: maximumWaitingEvents });
    private isStarted = false;

    private constructor(private readonly disconnectSignal: AbortSignal) {
        disconnectSignal.addEventListener("abort", () => this.events.destroy(), { once: true });
        // The abort ends the reader as well; there is nobody left to tell.
        this.events.on("error", () => {});
    }

    /** The signal aborts when the peer gives the call up or is lost. */
    static create(disconnectSignal: AbortSignal): PeerCallerResponse {
        return new PeerCallerResponse(disconnectSignal);
    }

    getDisconnectSignal(): AbortSignal {
        return this.disconnectSignal;
    }

    isCallerDisconnected(): boolean {
        return this.disconnectSignal.aborted;
    }

    hasStarted(): boolean {
        return this.isStarted;
    }

    startResponse(status: number, headers: string[]): void {
        this.isStarted = true;
        this.addEvent({ event: { case: "head", value: { status, headers } } });
    }

    writeBytes(bytes: Buffer): boolean {
        return this.addEvent({ event: { case: "body", value: bytes } });
    }

    waitForDrain(): Promise<void> {
        if (this.events.closed) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = () => {
                this.events.off("drain", finish);
                this.events.off("close", finish);
                resolve();
            };
            this.events.once("drain", finish);
            this.events.once("close", finish);
        });
    }

    finishResponse(lastBytes?: Buffer): void {
        if (lastBytes !== undefined && lastBytes.length > 0) {
            this.writeBytes(lastBytes);
        }
    }

    /** Adds the last event, which tells the peer how the call ended. */
    endEvents(end: ForwardCallEndInit): void {
        this.addEvent({ event: { case: "end", value: end } });
        this.events.end();
    }

    /** Reads the events until the last one, or until the peer is gone. */
    async *readEvents(): AsyncIterable<ForwardCallEventInit> {
        yield* this.events as AsyncIterable<ForwardCallEventInit>;
    }

    private addEvent(event: ForwardCallEventInit): boolean {
        return this.events.destroyed || this.events.write(event);
    }
}
