import { ServerResponse } from "node:http";
import { Failure } from "../common/failure.js";

const contentTypeProblem = "application/problem+json";

/** Writes to one caller, and knows whether the caller is still there. */
export class CallerAnswer {
    private readonly leaving = new AbortController();

    private constructor(private readonly response: ServerResponse, private readonly getIsStopping: () => boolean) {
        response.once("close", () => {
            if (!response.writableFinished) {
                this.leaving.abort();
            }
        });
        response.on("error", () => this.leaving.abort());
        response.req.once("error", () => this.leaving.abort());
    }

    static create(response: ServerResponse, getIsStopping: () => boolean): CallerAnswer {
        return new CallerAnswer(response, getIsStopping);
    }

    /** Aborts when the caller leaves before its answer has ended. */
    getLeavingSignal(): AbortSignal {
        return this.leaving.signal;
    }

    isCallerGone(): boolean {
        return this.leaving.signal.aborted;
    }

    hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** Sends the head of an endpoint's answer. */
    startAnswer(status: number, headers: string[]): void {
        this.closeWhenStopping(headers);
        this.response.writeHead(status, headers as unknown as never);
    }

    /** Sends bytes of the body; returns false when the caller reads more slowly than they come. */
    writeBytes(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    /** Waits until the caller has read what was written, or is gone. */
    waitForDrain(): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            this.response.once("drain", finish);
            this.response.once("close", finish);
        });
    }

    finishAnswer(lastBytes?: Buffer): void {
        if (lastBytes === undefined || lastBytes.length === 0) {
            this.response.end();
            return;
        }
        this.response.end(lastBytes);
    }

    /** Breaks an answer off, so that it cannot be taken for a whole one. */
    abortAnswer(): void {
        this.response.destroy();
    }

    /** Sends the node's own answer to a request that was not served. The time to come back is in seconds. */
    sendFailure(failure: Failure, retryAfter: number | undefined, retryAfterHeader: string): void {
        if (this.isCallerGone() || this.hasBegun()) {
            return;
        }
        const body = Buffer.from(JSON.stringify({
            code: `CW${failure.message.code}`,
            title: failure.text,
            status: failure.message.status,
            verdict: failure.verdict,
        }));
        const headers = ["content-type", contentTypeProblem, "content-length", String(body.length)];
        if (retryAfter !== undefined) {
            headers.push(retryAfterHeader, retryAfter.toFixed(2));
        }
        this.closeWhenStopping(headers);
        this.response.writeHead(failure.message.status, headers as unknown as never);
        this.response.end(body);
    }

    private closeWhenStopping(headers: string[]): void {
        if (this.getIsStopping()) {
            headers.push("connection", "close");
        }
    }
}
