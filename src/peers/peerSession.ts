import { DescService } from "@bufbuild/protobuf";
import { Client, Code, ConnectError } from "@connectrpc/connect";
import { Http2SessionManager } from "@connectrpc/connect-node";
import { setMaxListeners } from "node:events";
import { ClientHttp2Session } from "node:http2";
import { describeError } from "../common/failure.js";

/** Interval of the HTTP/2 pings on a session with open calls, in milliseconds. */
const pingIntervalMilliseconds = 250;
/** Number of intervals without an answer to a ping after which a session counts as silent. */
const intervalsUntilSilent = 2;
/** Number of intervals without an answer to a ping after which the session's calls fail; a node that was paused goes on sooner. */
const intervalsUntilLost = 14;
/** Time for which an answer to a ping shows that the session works, in milliseconds. */
const freshMilliseconds = 500;
/** Longest wait for the answer to a ping before a call, in milliseconds. */
const answerTimeoutMilliseconds = 500;
/** Number of intervals without open calls after which a session that gets no further ones is closed: a call may be about to start. */
const idleIntervalsUntilClosed = 2;
/** Time for which a session that is being closed waits for its open calls, in milliseconds. */
const closeTimeoutMilliseconds = 500;

/** Internal state of Http2SessionManager that holds its HTTP/2 session; the package does not export it. */
interface SessionManagerState {
    readonly s: { readonly conn?: unknown; };
}

/** Receives the changes of a session's state. */
export interface PeerSessionHandler {
    /** Called when the session does not answer a ping in time: it is not to get further calls. */
    handleSilence(): void;
    /** Called when the peer is closing the session: it is not to get further calls. */
    handleClosing(): void;
    /** Returns whether the peer has answered a ping on a newer session. */
    isPeerAnswering(): boolean;
    /** Called when the session fails. */
    recordError(): void;
    /** Called when the session is closed. */
    handleClosed(): void;
}

/**
 * An HTTP/2 session with a peer. Pings show whether it works. One that does not answer is replaced for further calls, but its open
 * calls go on: a peer that was paused, or a link that was interrupted, may go on too.
 */
export class PeerSession<S extends DescService> {
    private readonly replacedController = new AbortController();
    private connection: ClientHttp2Session | undefined;
    private timer: NodeJS.Timeout | undefined;
    private pendingPing: Promise<boolean> | undefined;
    private lastAnswerAt = -Infinity;
    private hasAnsweredPing = false;
    private unansweredIntervals = 0;
    private idleIntervals = 0;
    private isClosing = false;

    private constructor(
        readonly client: Client<S>,
        private readonly manager: Http2SessionManager,
        private readonly handler: PeerSessionHandler,
    ) {
        setMaxListeners(0, this.replacedController.signal);
    }

    /** `manager` must not send pings of its own. */
    static create<S extends DescService>(client: Client<S>, manager: Http2SessionManager, handler: PeerSessionHandler): PeerSession<S> {
        return new PeerSession(client, manager, handler);
    }

    /** Opens the session unless it is open; throws when that fails, takes longer than the time limit in milliseconds or is aborted. */
    async open(timeLimit: number, signal?: AbortSignal): Promise<void> {
        const { manager } = this;
        const timeout = AbortSignal.timeout(timeLimit);
        const state = await Promise.race([
            manager.connect(),
            waitForAbort(mergeSignals(timeout, signal)),
        ]);
        if (state === undefined && timeout.aborted && manager.state() === "connecting") {
            // All calls that wait for this connection have waited in vain. The next one opens another.
            manager.abort();
        }
        if (state === undefined || state === "error") {
            const text = state === undefined ? `no session was opened within ${timeLimit} ms` : describeError(manager.error());
            throw new ConnectError(text, Code.Unavailable, undefined, undefined, manager.error());
        }
        this.observeConnection();
    }

    /** Returns whether the session answers a ping in time, or has answered one just now. */
    async checkAnswers(signal?: AbortSignal): Promise<boolean> {
        if (performance.now() - this.lastAnswerAt <= freshMilliseconds) {
            return true;
        }
        const timeout = AbortSignal.timeout(answerTimeoutMilliseconds);
        return await Promise.race([this.sendPing(), waitForAbort(mergeSignals(timeout, signal))]) ?? false;
    }

    /** Returns whether the peer has answered a ping on this session. */
    hasAnswered(): boolean {
        return this.hasAnsweredPing;
    }

    /** Returns a signal that aborts when the session is silent while the peer answers on a newer one. */
    getReplacedSignal(): AbortSignal {
        return this.replacedController.signal;
    }

    /** Gets the session no further calls; it is closed when its open calls have ended. */
    closeWhenIdle(): void {
        this.isClosing = true;
        if (this.connection === undefined) {
            this.close();
        }
    }

    /** Closes the session. Its open calls have a short time to end, and are then broken off. */
    close(): void {
        const { connection } = this;
        if (connection === undefined || connection.destroyed) {
            this.abort();
            return;
        }
        // Not destroyed at once: in Node.js 20, doing so while the peer ends the session too can corrupt the heap of the process.
        connection.close();
        setTimeout(() => this.abort(), closeTimeoutMilliseconds).unref();
    }

    /** Sends a ping unless one is under way; resolves with whether it was answered. */
    sendPing(): Promise<boolean> {
        this.pendingPing ??= new Promise<boolean>(resolve => {
            const { connection } = this;
            if (connection === undefined || connection.destroyed) {
                resolve(false);
                return;
            }
            connection.ping(error => resolve(!(error instanceof Error)));
        }).then(isAnswered => {
            this.pendingPing = undefined;
            if (isAnswered) {
                this.unansweredIntervals = 0;
                this.hasAnsweredPing = true;
                this.lastAnswerAt = performance.now();
            }
            return isAnswered;
        });
        return this.pendingPing;
    }

    /** Watches the manager's HTTP/2 session. It may have opened another one since, when a peer has closed the one before. */
    private observeConnection(): void {
        const { conn } = (this.manager as unknown as SessionManagerState).s;
        const connection = conn as ClientHttp2Session | undefined;
        if (connection === undefined || connection === this.connection) {
            return;
        }
        this.connection = connection;
        this.lastAnswerAt = performance.now();
        this.unansweredIntervals = 0;
        // When a peer sends GOAWAY, the manager destroys its idle session with an error, sometimes after it has removed its listener.
        connection.on("error", () => this.handler.recordError());
        connection.once("goaway", () => this.handler.handleClosing());
        connection.once("close", () => this.handleConnectionClosed());
        this.timer ??= setInterval(() => this.checkSilence(), pingIntervalMilliseconds).unref();
    }

    private abort(reason?: ConnectError): void {
        this.manager.abort(reason);
        this.handleConnectionClosed();
    }

    private handleConnectionClosed(): void {
        const state = this.manager.state();
        if (state === "closed" || state === "error") {
            clearInterval(this.timer);
            this.timer = undefined;
            this.handler.handleClosed();
        }
    }

    /** Counts intervals, not time, so that a pause of this process does not count as a silence of the peer. */
    private checkSilence(): void {
        if (this.manager.state() !== "open") {
            this.closeIfUnused();
            return;
        }
        this.idleIntervals = 0;
        if (this.pendingPing === undefined) {
            void this.sendPing();
            return;
        }
        this.unansweredIntervals += 1;
        if (this.unansweredIntervals === intervalsUntilSilent) {
            this.handler.handleSilence();
        }
        else if (this.unansweredIntervals >= intervalsUntilLost) {
            const silence = intervalsUntilLost * pingIntervalMilliseconds;
            this.abort(new ConnectError(`the peer answered no ping for ${silence} ms`, Code.Unavailable));
        }
        else if (this.unansweredIntervals > intervalsUntilSilent && this.handler.isPeerAnswering()) {
            this.replacedController.abort();
        }
    }

    private closeIfUnused(): void {
        this.idleIntervals += 1;
        if (this.isClosing && this.idleIntervals >= idleIntervalsUntilClosed) {
            this.close();
        }
    }
}

function mergeSignals(timeout: AbortSignal, signal: AbortSignal | undefined): AbortSignal {
    return signal === undefined ? timeout : AbortSignal.any([timeout, signal]);
}

/** Resolves with undefined when the signal aborts. */
function waitForAbort(signal: AbortSignal): Promise<undefined> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
    });
}
