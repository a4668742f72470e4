import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { HeaderNames } from "../../../platform/wire.js";
import { abortConnection } from "../../common/connectionAbort.js";
import { unlimitedHeaderLines } from "../../common/headCheck.js";
import { readText, startOnLoopback, stopServer } from "./loopbackHttp.js";

const statusOk = 200;
const statusMisdirected = 421;
const statusUnavailable = 503;
/** Requests that a worker runs at once; a brittle one lets none wait. */
const slotCount = 6;
const rejectionWindowMilliseconds = 1_000;
/** Time from the last event of a stream to its late end. */
const lateEndMilliseconds = 2_200;

/** What goes wrong with the next request of a worker. */
export enum WorkerFault {
    None = "none",
    /** The worker refuses and says that it did not run the request. */
    Shed = "shed",
    /** The worker runs the request and resets the connection. */
    ResetAfterRun = "reset-after-run",
    /** It runs the request and answers a failure. */
    Fail = "fail",
    /** It answers 400: the request cannot be served anywhere. */
    Reject = "reject",
    /** It answers without a length and resets the connection in the middle. */
    ResetUnframed = "reset-unframed",
    /** It does so at once, so that data and reset arrive together. */
    ResetUnframedAtOnce = "reset-unframed-at-once",
    /** It answers without a length and ends the connection in order. */
    Unframed = "unframed",
    /** Its answer stops short of its length. */
    Truncate = "truncate",
    /** After its answer it sends another one that nobody asked for. */
    ExtraAnswer = "extra-answer",
    /** It answers with bytes that are no HTTP. */
    Garble = "garble",
    /** It takes the request and never answers. */
    Hang = "hang",
    /** It answers 503 without saying that the request did not run. */
    Unpromised = "unpromised",
    /** A stream stops in the middle of an event. */
    BreakStream = "break-stream",
    /** A stream stops in the middle of an event; a request to resume one fails. */
    FailResumed = "fail-resumed",
    /** The same, but the request to resume one is answered 400. */
    RejectResumed = "reject-resumed",
    /** A stream ends a while after its last event. */
    LateEnd = "late-end",
    /** A stream without a length or chunks is complete and ends with its connection. */
    UnframedStream = "unframed-stream",
    /** A stream without a length or chunks is closed in order in the middle of an event. */
    EndUnframedInsideEvent = "end-unframed-inside-event",
    /** A stream in chunks has its last chunk in the middle of an event. */
    EndChunkedInsideEvent = "end-chunked-inside-event",
    /** The process ends after some events of a stream without a length or chunks; its connections are closed in order. */
    CrashUnframed = "crash-unframed",
    /** A stream without a length or chunks is complete, and the process ends with it. */
    EndAfterUnframed = "end-after-unframed",
}

const unframedFaults: ReadonlySet<WorkerFault> = new Set([
    WorkerFault.UnframedStream,
    WorkerFault.EndUnframedInsideEvent,
    WorkerFault.CrashUnframed,
    WorkerFault.EndAfterUnframed,
]);

/** A request that a worker ran. */
export interface RunRecord {
    readonly attemptId: string;
    readonly method: string;
    readonly target: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    readonly startedAfter: number;
    isCancelled: boolean;
}

/** A worker of the platform: plain calls, or event streams with ids. */
export class RoutedWorker {
    readonly runs: RunRecord[] = [];
    readonly faults: WorkerFault[] = [];
    connections = 0;
    isDraining = false;
    /** Whether it says in all its answers that it is leaving. */
    announcesLeaving = false;
    /** Retry-After of its refusals; undefined where it sends none. */
    refusalPause: string | undefined;
    /** Number of rejections in a second that it survives, which it states in all its answers; undefined if it is not brittle. */
    rejectionLimit: number | undefined;
    workMilliseconds = 0;
    /** Number of bytes that are added to its plain answers. */
    answerPadding = 0;
    eventCount = 5;
    eventMilliseconds = 5;
    /** Returns whether running a request crashes the process; an engine crashes after its first event. */
    isDeadly: (run: RunRecord) => boolean = () => false;
    /** Called when the process listens again after a crash, as a new incarnation. */
    handleRestart: () => void = () => {};
    /** Time from a crash until the process listens again. */
    restartMilliseconds = 300;
    crashes = 0;
    born = Date.now();
    version = "v1";
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private address = "";
    private running = 0;
    private rejectedAt: number[] = [];
    private isStopped = false;
    private frozenUntil = -Infinity;

    private constructor(readonly id: string, readonly service: string, readonly zone: string, readonly isEngine: boolean) {
        this.server = createServer({ keepAliveTimeout: 5_000 }, (request, response) => void this.serve(request, response));
        this.server.maxHeadersCount = unlimitedHeaderLines;
        this.server.on("connection", (socket: Socket) => {
            this.connections += 1;
            this.sockets.add(socket);
            socket.on("error", () => {});
            socket.once("close", () => this.sockets.delete(socket));
        });
    }

    static create(id: string, service: string, zone: string, isEngine: boolean): RoutedWorker {
        return new RoutedWorker(id, service, zone, isEngine);
    }

    async start(): Promise<void> {
        this.address = await startOnLoopback(this.server);
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        await stopServer(this.server);
    }

    /**
     * Ends every connection and refuses new ones for a while, as a process that crashes and is started again. The system resets
     * connections on which bytes are unread, and closes the others in order.
     */
    kill(end: (socket: Socket) => void = abortConnection): void {
        this.crashes += 1;
        this.server.close();
        this.sockets.forEach(end);
        setTimeout(() => this.restart(), this.restartMilliseconds);
    }

    /** Accepts no further connections and closes idle ones; requests that run go on. */
    stopListening(): void {
        this.server.close();
    }

    /** Stops the process for a while; the system still accepts connections, and everything goes on afterwards. */
    silenceFor(milliseconds: number): void {
        this.frozenUntil = performance.now() + milliseconds;
    }

    isListening(): boolean {
        return this.server.listening;
    }

    getAddress(): string {
        return this.address;
    }

    /** Returns what the worker writes of itself to the store. */
    createEntry(): Readonly<Record<string, unknown>> {
        return {
            service: this.service,
            addr: this.getAddress(),
            zone: this.zone,
            version: this.version,
            slots: slotCount,
            state: this.isDraining ? "draining" : "ready",
            "cold-left-ms": 0,
            seq: 1,
            born: this.born,
        };
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readText(request);
        const attemptId = String(request.headers[HeaderNames.attemptId] ?? "");
        response.setHeader(HeaderNames.attemptId, attemptId);
        if (this.announcesLeaving) {
            response.setHeader(HeaderNames.serverLeaving, "1");
        }
        if (this.rejectionLimit !== undefined) {
            response.setHeader(HeaderNames.serverBrittle, String(this.rejectionLimit));
        }
        const expected = request.headers[HeaderNames.expectInstance];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(statusMisdirected, { [HeaderNames.instanceId]: this.id });
            response.end();
            return;
        }
        const fault = this.faults.shift() ?? WorkerFault.None;
        if (fault === WorkerFault.Shed) {
            const pause = this.refusalPause === undefined ? {} : { "retry-after": this.refusalPause };
            response.writeHead(statusUnavailable, { [HeaderNames.notRun]: "1", ...pause });
            response.end();
            return;
        }
        if (this.rejectionLimit !== undefined && this.running >= slotCount) {
            this.rejectForWantOfRoom(response, this.rejectionLimit);
            return;
        }
        const startedAfter = Number(request.headers["last-event-id"] ?? 0);
        const { method = "", url = "", headers } = request;
        const run: RunRecord = { attemptId, method, target: url, headers, body, startedAfter, isCancelled: false };
        this.runs.push(run);
        this.running += 1;
        response.once("close", () => {
            this.running -= 1;
            run.isCancelled = !response.writableFinished;
        });
        await this.sleepWhileWorking(this.workMilliseconds);
        if (!this.isEngine && this.isDeadly(run)) {
            this.kill();
            return;
        }
        if (this.isEngine) {
            await this.sendStream(run, fault, response);
            return;
        }
        this.sendAnswer(run, fault, response);
    }

    private rejectForWantOfRoom(response: ServerResponse, limit: number): void {
        const now = performance.now();
        this.rejectedAt = [...this.rejectedAt.filter(at => now - at < rejectionWindowMilliseconds), now];
        if (this.rejectedAt.length > limit) {
            this.rejectedAt = [];
            this.kill();
            return;
        }
        response.writeHead(statusUnavailable, { [HeaderNames.notRun]: "1" });
        response.end();
    }

    private sendAnswer(run: RunRecord, fault: WorkerFault, response: ServerResponse): void {
        const { socket } = response;
        if (!socket) {
            return;
        }
        const text = `answer to ${run.attemptId}${" ".repeat(this.answerPadding)}`;
        const seal = `seal-${run.attemptId}`;
        const head = `HTTP/1.1 200 OK\r\n${HeaderNames.attemptId}: ${run.attemptId}\r\n${HeaderNames.seal}: ${seal}\r\n`;
        switch (fault) {
            case WorkerFault.ResetAfterRun:
                abortConnection(socket);
                return;
            case WorkerFault.Hang:
                return;
            case WorkerFault.Garble:
                socket.end("this is no answer\r\n\r\n");
                return;
            case WorkerFault.Unpromised:
                response.writeHead(statusUnavailable, { [HeaderNames.seal]: seal });
                response.end(text);
                return;
            case WorkerFault.Fail:
                response.writeHead(500, { [HeaderNames.seal]: seal });
                response.end("failed");
                return;
            case WorkerFault.Reject:
                response.writeHead(400, { [HeaderNames.seal]: seal, "content-type": "application/json" });
                response.end("{\"error\":\"no prompt\"}");
                return;
            case WorkerFault.Unframed:
                socket.end(`${head}connection: close\r\n\r\n${text}`);
                return;
            case WorkerFault.ResetUnframed:
                socket.write(`${head}connection: close\r\n\r\n${text.slice(0, 5)}`, () => setTimeout(() => abortConnection(socket), 20));
                return;
            case WorkerFault.ResetUnframedAtOnce:
                socket.write(`${head}connection: close\r\n\r\n${text.slice(0, 5)}`);
                abortConnection(socket);
                return;
            case WorkerFault.Truncate:
                socket.end(`${head}content-length: ${text.length}\r\n\r\n${text.slice(0, 5)}`);
                return;
            case WorkerFault.ExtraAnswer:
                socket.write(`${head}content-length: ${text.length}\r\n\r\n${text}`);
                setTimeout(() => socket.write(`${head}content-length: 5\r\n\r\nstray`), 10);
                return;
            default:
                response.writeHead(statusOk, {
                    [HeaderNames.seal]: seal,
                    [HeaderNames.serverLoad]: "1,0,6",
                    "content-length": text.length,
                });
                response.end(text);
        }
    }

    private async sendStream(run: RunRecord, requestedFault: WorkerFault, response: ServerResponse): Promise<void> {
        const fault = resolveResumeFault(requestedFault, run);
        if (fault === WorkerFault.Fail || fault === WorkerFault.Reject) {
            this.sendAnswer(run, fault, response);
            return;
        }
        if (unframedFaults.has(fault)) {
            await this.sendUnframedStream(run, fault, response);
            return;
        }
        response.writeHead(statusOk, { "content-type": "text/event-stream", [HeaderNames.seal]: `seal-${run.attemptId}` });
        for (let event = run.startedAfter + 1; event <= this.eventCount; event += 1) {
            await this.sleepWhileWorking(this.eventMilliseconds);
            if (response.destroyed) {
                return;
            }
            if (fault === WorkerFault.BreakStream && event === this.getBrokenEvent()) {
                response.write(`id: ${event}\nda`, () => response.socket && abortConnection(response.socket));
                return;
            }
            if (fault === WorkerFault.EndChunkedInsideEvent && event === this.getBrokenEvent()) {
                response.end(`id: ${event}\nda`);
                return;
            }
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
            if (event === run.startedAfter + 1 && this.isDeadly(run)) {
                await this.sleepWhileWorking(this.eventMilliseconds);
                this.kill();
                return;
            }
        }
        if (fault === WorkerFault.LateEnd) {
            await sleep(lateEndMilliseconds);
        }
        response.end();
    }

    private async sendUnframedStream(run: RunRecord, fault: WorkerFault, response: ServerResponse): Promise<void> {
        const { socket } = response;
        if (!socket) {
            return;
        }
        const head = `HTTP/1.1 200 OK\r\n${HeaderNames.attemptId}: ${run.attemptId}\r\n${HeaderNames.seal}: seal-${run.attemptId}\r\n`;
        socket.write(`${head}content-type: text/event-stream\r\nconnection: close\r\n\r\n`);
        for (let event = run.startedAfter + 1; event <= this.eventCount; event += 1) {
            await this.sleepWhileWorking(this.eventMilliseconds);
            if (socket.destroyed) {
                return;
            }
            if (fault === WorkerFault.EndUnframedInsideEvent && event === this.getBrokenEvent()) {
                socket.end(`id: ${event}\nda`);
                return;
            }
            if (fault === WorkerFault.CrashUnframed && event === this.getBrokenEvent()) {
                this.kill(open => open.end());
                return;
            }
            socket.write(`id: ${event}\ndata: piece ${event}\n\n`);
        }
        if (fault === WorkerFault.EndAfterUnframed) {
            this.kill(open => open.end());
            return;
        }
        socket.end();
    }

    /** Returns the event at which a stream breaks off. */
    private getBrokenEvent(): number {
        return Math.ceil(this.eventCount / 2) + 1;
    }

    /** Waits for as long as a piece of work takes, and until the process runs. */
    private async sleepWhileWorking(milliseconds: number): Promise<void> {
        await sleep(milliseconds);
        await sleep(this.frozenUntil - performance.now());
    }

    private restart(): void {
        if (this.isStopped) {
            return;
        }
        this.born += 1;
        this.server.listen(Number(this.address.split(":")[1]), "127.0.0.1", () => this.handleRestart());
    }
}

/** Returns what goes wrong with a run, for faults that differ between a stream's start and its continuation. */
function resolveResumeFault(fault: WorkerFault, run: RunRecord): WorkerFault {
    const whenResumed = fault === WorkerFault.FailResumed ? WorkerFault.Fail : WorkerFault.Reject;
    if (fault !== WorkerFault.FailResumed && fault !== WorkerFault.RejectResumed) {
        return fault;
    }
    return run.startedAfter > 0 ? whenResumed : WorkerFault.BreakStream;
}

function sleep(milliseconds: number): Promise<void> {
    return milliseconds <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, milliseconds));
}
