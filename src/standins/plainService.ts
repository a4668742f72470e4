import { Request, Response } from "express";
import { abortConnection } from "../common/connectionAbort.js";
import { StandInServer } from "./httpServer.js";

/** An effect that a plain service carried out. */
export interface RecordedEffect {
    readonly key: string;
    readonly requestId: string;
    readonly attemptId: string;
    readonly path: string;
    readonly body: unknown;
    readonly at: number;
    readonly service: string;
}

/** Where in a call the next fault strikes. */
export enum CallFault {
    None = "none",
    /** The connection is reset before the body is read. */
    ResetBeforeEffect = "reset-before-effect",
    /** The connection is reset when part of the body has come. */
    ResetHalfBody = "reset-half-body",
    /** The effect happens and the connection is reset. */
    ResetAfterEffect = "reset-after-effect",
    /** The effect happens and half of the answer is sent. */
    HalfAnswer = "half-answer",
    /** The effect happens and nothing is sent for good. */
    SilentAfterEffect = "silent-after-effect",
    /** Nothing happens and nothing is sent. */
    SilentBeforeEffect = "silent-before-effect",
    /** The service refuses and says so. */
    RefuseNotRun = "refuse-not-run",
    /** The service refuses because it leaves. */
    RefuseLeaving = "refuse-leaving",
    /** The effect happens and the service answers status 500. */
    FailAfterEffect = "fail-after-effect",
}

/** A plain service that records each effect it carries out. */
export class StandInPlainService {
    readonly effects: RecordedEffect[] = [];
    /** Faults for the next calls, first in first out. */
    readonly faults: CallFault[] = [];
    isLeaving = false;
    isDead = false;
    workTimeMilliseconds = 0;
    private running = 0;

    private constructor(private readonly server: StandInServer, readonly name: string) {
        server.app.get("/load", (_request, response) => {
            response.json({ running: this.running, waiting: 0, capacity: 64, leaving: this.isLeaving });
        });
        server.addEarlyHandler(request => {
            if (this.faults[0] !== CallFault.ResetHalfBody || request.method === "GET") {
                return false;
            }
            this.faults.shift();
            request.once("data", () => abortConnection(request.socket));
            return true;
        });
        server.app.use((request, response) => {
            void this.handleCall(request, response);
        });
    }

    /** Returns how many calls it has and has had. */
    countReceived(): number {
        return this.running + this.effects.length;
    }

    static create(name: string): StandInPlainService {
        return new StandInPlainService(StandInServer.create(), name);
    }

    async start(host?: string, port?: number): Promise<void> {
        await this.server.start(host, port);
    }

    getAddress(): { host: string; port: number; } {
        return this.server.getAddress();
    }

    async kill(): Promise<void> {
        if (this.isDead) {
            return;
        }
        this.isDead = true;
        await this.server.kill();
    }

    countBytes(): number {
        return this.server.countBytes();
    }

    silenceConnections(): void {
        this.server.silenceConnections();
    }

    private async handleCall(request: Request, response: Response): Promise<void> {
        const fault = this.faults.shift() ?? CallFault.None;
        response.set("x-attempt-id", String(request.headers["x-attempt-id"] ?? ""));
        if (fault === CallFault.ResetBeforeEffect) {
            abortConnection(request.socket);
            return;
        }
        if (fault === CallFault.SilentBeforeEffect) {
            return;
        }
        if (fault === CallFault.RefuseNotRun) {
            response.status(503).set("x-request-not-run", "1").end();
            return;
        }
        if (fault === CallFault.RefuseLeaving || this.isLeaving) {
            response.status(503).set("x-endpoint-leaving", "1").set("x-request-not-run", "1").end();
            return;
        }
        this.running += 1;
        if (this.workTimeMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, this.workTimeMilliseconds));
        }
        this.running -= 1;
        if (this.isDead) {
            return;
        }
        this.recordEffect(request);
        this.answer(fault, request, response);
    }

    private recordEffect(request: Request): void {
        this.effects.push({
            key: String(request.headers["idempotency-key"] ?? ""),
            requestId: String(request.headers["x-request-id"] ?? ""),
            attemptId: String(request.headers["x-attempt-id"] ?? ""),
            path: request.path,
            body: request.body as unknown,
            at: Date.now(),
            service: this.name,
        });
    }

    private answer(fault: CallFault, request: Request, response: Response): void {
        const attemptId = String(request.headers["x-attempt-id"] ?? "");
        const answer = JSON.stringify({ done: true, path: request.path, echo: (request.body as unknown) ?? {} });
        switch (fault) {
            case CallFault.ResetAfterEffect:
                abortConnection(request.socket);
                return;
            case CallFault.HalfAnswer:
                response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(answer) });
                response.write(answer.slice(0, answer.length / 2), () => abortConnection(request.socket));
                return;
            case CallFault.SilentAfterEffect:
                return;
            case CallFault.FailAfterEffect:
                response.status(500).json({ error: "failed after the effect" });
                return;
            default:
                response.status(200).set("x-attempt-id", attemptId).type("application/json").send(answer);
        }
    }
}
