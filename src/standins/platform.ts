import { Request, Response } from "express";
import { RandomSource, SeededRandom } from "../common/random.js";
import { StandInServer } from "./httpServer.js";

interface StoredEntry {
    readonly name: string;
    readonly revision: number;
    readonly value: unknown;
}

interface Watcher {
    readonly viewer: string;
    readonly prefix: string;
    readonly response: Response;
}

/** Faults that the stand-in platform can show, to all viewers or to one. */
export interface PlatformFaults {
    /** No call is answered; the connection is closed. */
    isDown: boolean;
    /** Added to every answer. */
    delayMilliseconds: number;
    /** Share of the writes whose answer is lost after they took effect. */
    lostAnswerShare: number;
    /** Share of the reads that return the state of an earlier moment. */
    staleReadShare: number;
    /** Writes allowed a second, or 0 for no limit. */
    writesPerSecond: number;
    /** Watches are accepted but report nothing. */
    watchesAreSilent: boolean;
}

/** A host of the stand-in host list, in the wire's words. */
export interface StandInHost {
    name: string;
    role: "entry" | "endpoint";
    failure_domain: string;
    region?: string;
    address: string;
    group?: string;
    purchase?: "reclaimable" | "on-demand";
    state: "live" | "leaving";
    leaves_at?: number;
    price_per_hour?: number;
}

const heartbeatMilliseconds = 500;
const historyLength = 10_000;
const staleRevisions = 20;

/** The object API, the host list and the cloud's notices, in one small process-local server. */
export class StandInPlatform {
    readonly faults: PlatformFaults = {
        isDown: false,
        delayMilliseconds: 0,
        lostAnswerShare: 0,
        staleReadShare: 0,
        writesPerSecond: 0,
        watchesAreSilent: false,
    };
    /** Viewers that are cut off, by the name in their URL. */
    readonly cutViewers = new Set<string>();
    /** Every write that took effect, in order. */
    readonly writeLog: { name: string; revision: number; value: unknown; viewer: string; at: number; }[] = [];
    /** Calls by kind, as the platform counts them. */
    readonly callCounts = { reads: 0, writes: 0, watches: 0 };
    hosts: StandInHost[] = [];
    hostListLagMilliseconds = 0;
    private shownHosts: StandInHost[] = [];
    private readonly entries = new Map<string, StoredEntry>();
    private readonly history: StoredEntry[] = [];
    private readonly watchers = new Set<Watcher>();
    private revision = 0;
    private writesThisSecond = 0;
    private timers: NodeJS.Timeout[] = [];

    private constructor(private readonly server: StandInServer, private readonly random: RandomSource) {
        this.addRoutes();
    }

    static create(seed = 1): StandInPlatform {
        return new StandInPlatform(StandInServer.create(), SeededRandom.create(seed));
    }

    async start(host?: string, port?: number): Promise<void> {
        await this.server.start(host, port);
        this.timers.push(setInterval(() => this.sendHeartbeats(), heartbeatMilliseconds).unref());
        this.timers.push(
            setInterval(() => {
                this.writesThisSecond = 0;
            }, 1_000).unref(),
        );
    }

    async stop(): Promise<void> {
        this.timers.forEach(timer => clearInterval(timer));
        await this.server.kill();
    }

    /** Returns the base URL under which a viewer is known. */
    getUrl(viewer: string): string {
        return `${this.server.getUrl()}/as/${viewer}`;
    }

    /** Returns an object's value for checks by tests. */
    getValue(name: string): unknown {
        return this.entries.get(name)?.value;
    }

    getRevision(name: string): number {
        return this.entries.get(name)?.revision ?? 0;
    }

    listNames(prefix: string): string[] {
        return [...this.entries.keys()].filter(name => name.startsWith(prefix));
    }

    /** Makes a change of the hosts visible, at once or after the lag. */
    publishHosts(): void {
        const snapshot = this.hosts.map(host => ({ ...host }));
        if (this.hostListLagMilliseconds === 0) {
            this.shownHosts = snapshot;
            return;
        }
        setTimeout(() => {
            this.shownHosts = snapshot;
        }, this.hostListLagMilliseconds).unref();
    }

    /** Makes every open watch connection silent for good. */
    silenceConnections(): void {
        this.server.silenceConnections();
    }

    countBytes(): number {
        return this.server.countBytes();
    }

    /** Ends the open watches, as an outage does. */
    closeWatches(): void {
        for (const watcher of this.watchers) {
            watcher.response.destroy();
        }
    }

    private addRoutes(): void {
        const app = this.server.app;
        app.use("/as/:viewer", (request, response, next) => {
            void this.applyFaults(request, response, next);
        });
        app.get("/as/:viewer/objects/:name", (request, response) => this.handleGet(request, response));
        app.get("/as/:viewer/objects", (request, response) => this.handleList(request, response));
        app.put("/as/:viewer/objects/:name", (request, response) => this.handlePut(request, response));
        app.delete("/as/:viewer/objects/:name", (request, response) => this.handleDelete(request, response));
        app.get("/as/:viewer/watch", (request, response) => this.handleWatch(request, response));
        app.get("/as/:viewer/hosts", (_request, response) => {
            response.json({ hosts: this.shownHosts });
        });
    }

    private async applyFaults(request: Request, response: Response, next: () => void): Promise<void> {
        if (this.faults.isDown || this.cutViewers.has(String(request.params["viewer"]))) {
            request.socket.destroy();
            return;
        }
        if (this.faults.delayMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, this.faults.delayMilliseconds));
        }
        next();
    }

    private handleGet(request: Request, response: Response): void {
        this.callCounts.reads += 1;
        const name = String(request.params["name"]);
        const entry = this.readPossiblyStale(name);
        if (entry === undefined) {
            response.status(404).json({ error: "not found" });
            return;
        }
        response.json(entry);
    }

    private readPossiblyStale(name: string): StoredEntry | undefined {
        const current = this.entries.get(name);
        if (current === undefined || this.random.pickFraction() >= this.faults.staleReadShare) {
            return current;
        }
        const earlier = this.history.filter(entry => entry.name === name && entry.revision < current.revision);
        return earlier.at(-1) ?? current;
    }

    private handleList(request: Request, response: Response): void {
        this.callCounts.reads += 1;
        const prefix = String(request.query["prefix"] ?? "");
        const isStale = this.random.pickFraction() < this.faults.staleReadShare;
        const bound = isStale ? Math.max(0, this.revision - staleRevisions) : this.revision;
        const objects = [...this.entries.values()]
            .filter(entry => entry.name.startsWith(prefix))
            .map(entry => (isStale ? this.readPossiblyStale(entry.name) ?? entry : entry));
        response.json({ revision: bound, objects });
    }

    private handlePut(request: Request, response: Response): void {
        const name = String(request.params["name"]);
        if (!this.takeWrite(response)) {
            return;
        }
        const current = this.entries.get(name);
        const expected = request.headers["if-match"];
        const mustBeNew = request.headers["if-none-match"] === "*";
        const conflicts = (mustBeNew && current !== undefined) || (expected !== undefined && String(current?.revision ?? 0) !== expected);
        if (conflicts) {
            response.status(412).json({ error: "conflict" });
            return;
        }
        this.revision += 1;
        const entry: StoredEntry = { name, revision: this.revision, value: (request.body as { value: unknown; }).value };
        this.entries.set(name, entry);
        this.history.push(entry);
        if (this.history.length > historyLength) {
            this.history.shift();
        }
        this.writeLog.push({ ...entry, viewer: String(request.params["viewer"]), at: Date.now() });
        this.notifyWatchers({ kind: "changed", revision: entry.revision, object: entry });
        this.answerWrite(request, response, current === undefined ? 201 : 200);
    }

    private handleDelete(request: Request, response: Response): void {
        const name = String(request.params["name"]);
        if (!this.takeWrite(response)) {
            return;
        }
        const current = this.entries.get(name);
        if (current === undefined || String(current.revision) !== request.headers["if-match"]) {
            response.status(412).json({ error: "conflict" });
            return;
        }
        this.revision += 1;
        this.entries.delete(name);
        this.notifyWatchers({ kind: "removed", revision: this.revision, object: current });
        this.answerWrite(request, response, 200);
    }

    private takeWrite(response: Response): boolean {
        this.callCounts.writes += 1;
        this.writesThisSecond += 1;
        if (this.faults.writesPerSecond > 0 && this.writesThisSecond > this.faults.writesPerSecond) {
            response.status(429).json({ error: "too many writes" });
            return false;
        }
        return true;
    }

    private answerWrite(request: Request, response: Response, status: number): void {
        if (this.random.pickFraction() < this.faults.lostAnswerShare) {
            request.socket.destroy();
            return;
        }
        response.status(status).json({ revision: this.revision });
    }

    private handleWatch(request: Request, response: Response): void {
        this.callCounts.watches += 1;
        const after = Number(request.query["after"] ?? 0);
        const oldest = this.history[0]?.revision ?? 1;
        if (this.history.length === historyLength && after + 1 < oldest) {
            response.status(410).end();
            return;
        }
        const watcher: Watcher = { viewer: String(request.params["viewer"]), prefix: String(request.query["prefix"] ?? ""), response };
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.on("error", () => {});
        response.on("close", () => this.watchers.delete(watcher));
        this.watchers.add(watcher);
        for (const entry of this.history) {
            if (entry.revision > after && entry.name.startsWith(watcher.prefix)) {
                this.sendEvent(watcher, { kind: "changed", revision: entry.revision, object: entry });
            }
        }
        this.sendEvent(watcher, { kind: "heartbeat", revision: this.revision });
    }

    private notifyWatchers(event: { kind: string; revision: number; object: StoredEntry; }): void {
        for (const watcher of this.watchers) {
            if (event.object.name.startsWith(watcher.prefix)) {
                this.sendEvent(watcher, event);
            }
        }
    }

    private sendHeartbeats(): void {
        for (const watcher of this.watchers) {
            if (this.faults.isDown || this.cutViewers.has(watcher.viewer)) {
                watcher.response.destroy();
                continue;
            }
            this.sendEvent(watcher, { kind: "heartbeat", revision: this.revision });
        }
    }

    private sendEvent(watcher: Watcher, event: unknown): void {
        if (this.faults.watchesAreSilent || this.faults.isDown || this.cutViewers.has(watcher.viewer)) {
            return;
        }
        watcher.response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
}
