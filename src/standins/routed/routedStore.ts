import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { HeaderNames, Paths, statusPath, StoreQuery } from "../../../platform/wire.js";
import { readJson, sendJson, startOnLoopback, stopServer } from "./loopbackHttp.js";

const statusOk = 200;
const statusBadRequest = 400;
const statusNotFound = 404;
const statusConflict = 409;
const statusGone = 410;
const statusUnavailable = 503;
/** Objects in one page of a listing; small, so that tests meet several pages. */
const pageSize = 3;

/** An object as the store sends it. */
export interface WireObject {
    readonly meta: { readonly name: string; readonly rev: number; readonly created: number; };
    readonly spec: unknown;
    readonly status: unknown;
}

interface StoreEvent {
    readonly kind: string;
    readonly revision: number;
    readonly object: WireObject;
    readonly tombstone: boolean;
}

/** Objects and revision of the store at one moment. */
export interface StoreCopy {
    readonly objects: ReadonlyMap<string, WireObject>;
    readonly revision: number;
}

/** What a write is about. */
interface WritePath {
    readonly kind: string;
    readonly name: string | undefined;
    readonly isStatus: boolean;
}

/** How the store treats calls. */
export enum StoreMood {
    Well = "well",
    /** Every call is refused. */
    Refusing = "refusing",
    /** Calls get no answer. */
    Silent = "silent",
    /** Writes are done and their connections are closed without an answer. */
    LosingAnswers = "losing-answers",
}

/** The platform's object store, by its published protocol, in memory. */
export class RoutedStore {
    mood = StoreMood.Well;
    readonly calls: string[] = [];
    /** JSON that another writer has stored in place of a value, by the string that stands for it here. */
    readonly rawValues = new Map<string, string>();
    private readonly server: Server;
    private readonly objects = new Map<string, WireObject>();
    private events: StoreEvent[] = [];
    private revision = 10;
    private era = 3;
    private oldestRevision = 0;
    private readonly waiting = new Set<() => void>();

    private constructor() {
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    static create(): RoutedStore {
        return new RoutedStore();
    }

    async start(): Promise<string> {
        return startOnLoopback(this.server);
    }

    async stop(): Promise<void> {
        await stopServer(this.server);
    }

    /** Writes an object as an operator or an endpoint does; returns its revision. */
    putObject(kind: string, name: string, spec: unknown, status?: unknown): number {
        const known = this.objects.get(`${kind}/${name}`);
        this.revision += 1;
        const meta = { name, rev: this.revision, created: known?.meta.created ?? this.revision };
        const object: WireObject = { meta, spec, status: status ?? known?.status };
        this.objects.set(`${kind}/${name}`, object);
        this.record({ kind, revision: this.revision, object, tombstone: false });
        return this.revision;
    }

    removeObject(kind: string, name: string): void {
        const known = this.objects.get(`${kind}/${name}`);
        if (known === undefined) {
            return;
        }
        this.revision += 1;
        this.objects.delete(`${kind}/${name}`);
        const object: WireObject = { ...known, meta: { ...known.meta, rev: this.revision } };
        this.record({ kind, revision: this.revision, object, tombstone: true });
    }

    getObject(kind: string, name: string): WireObject | undefined {
        return this.objects.get(`${kind}/${name}`);
    }

    /** Returns a copy of everything stored, from which the store can be restored later. */
    takeCopy(): StoreCopy {
        return { objects: new Map(this.objects), revision: this.revision };
    }

    /** Restores a copy as a drill does: later writes are gone, their revisions are given out again, and the era rises. */
    loadCopy(copy: StoreCopy): void {
        this.objects.clear();
        copy.objects.forEach((object, key) => this.objects.set(key, object));
        this.revision = copy.revision;
        this.era += 1;
        this.events = [];
        this.oldestRevision = copy.revision;
        this.server.closeAllConnections();
    }

    /** Forgets the history: watches that started before get 410. */
    removeHistory(): void {
        this.events = [];
        this.oldestRevision = this.revision;
        this.wakeWatches();
    }

    /** Makes changes that no watch is told of, then forgets the history without ending the watches. */
    applyUnseen(change: () => void): void {
        const waiting = [...this.waiting];
        this.waiting.clear();
        change();
        this.events = [];
        this.oldestRevision = this.revision;
        waiting.forEach(wake => this.waiting.add(wake));
    }

    private record(event: StoreEvent): void {
        this.events.push(event);
        this.wakeWatches();
    }

    private wakeWatches(): void {
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach(wake => wake());
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "", "http://store");
        response.setHeader(HeaderNames.storeEra, this.era);
        const body = await readJson(request);
        const watch = url.searchParams.get(StoreQuery.watch);
        this.calls.push(`${request.method} ${url.pathname}${watch ? " watch" : ""}`);
        if (this.mood === StoreMood.Silent) {
            return;
        }
        if (this.mood === StoreMood.Refusing) {
            sendJson(response, statusUnavailable, { error: "unavailable" });
            return;
        }
        const [kind, name] = url.pathname.slice(Paths.objects.length + 1).split("/").map(decodeURIComponent);
        if (kind === undefined || !url.pathname.startsWith(`${Paths.objects}/`)) {
            sendJson(response, statusNotFound, { error: "no such path" });
            return;
        }
        if (request.method === "GET") {
            await this.serveRead(kind, name, url, watch ?? undefined, response);
            return;
        }
        const [, , part] = url.pathname.slice(Paths.objects.length + 1).split("/");
        this.serveWrite(request, { kind, name, isStatus: part === statusPath }, body, response);
    }

    private async serveRead(
        kind: string,
        name: string | undefined,
        url: URL,
        watch: string | undefined,
        response: ServerResponse,
    ): Promise<void> {
        if (name !== undefined) {
            const object = this.getObject(kind, name);
            sendJson(response, object === undefined ? statusNotFound : statusOk, object ?? { error: "none" }, this.rawValues);
            return;
        }
        if (watch !== undefined) {
            await this.serveWatch(kind, Number(watch), Number(url.searchParams.get(StoreQuery.wait) ?? 0), response);
            return;
        }
        const after = url.searchParams.get(StoreQuery.continueAfter) ?? "";
        const names = [...this.objects.keys()].filter(key => key.startsWith(`${kind}/`)).map(key => key.slice(kind.length + 1)).sort();
        const rest = names.filter(item => item > after);
        const items = rest.slice(0, pageSize).map(item => this.getObject(kind, item));
        sendJson(response, statusOk, { items, "has-more": rest.length > pageSize, "as-of": this.revision }, this.rawValues);
    }

    private async serveWatch(kind: string, after: number, wait: number, response: ServerResponse): Promise<void> {
        if (after < this.oldestRevision || after > this.revision) {
            sendJson(response, statusGone, { error: "history is gone" });
            return;
        }
        const listEvents = () => this.events.filter(event => event.kind === kind && event.revision > after);
        const endsAt = performance.now() + wait;
        while (listEvents().length === 0 && performance.now() < endsAt && after >= this.oldestRevision && !response.destroyed) {
            await this.waitForEvent(endsAt - performance.now(), response);
        }
        const events = listEvents().map(({ object, tombstone }) => ({ object, tombstone }));
        sendJson(response, statusOk, { events, "as-of": after < this.oldestRevision ? after : this.revision }, this.rawValues);
    }

    private waitForEvent(milliseconds: number, response: ServerResponse): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                response.off("close", wake);
                resolve();
            };
            const timer = setTimeout(wake, milliseconds);
            this.waiting.add(wake);
            response.once("close", wake);
        });
    }

    private serveWrite(request: IncomingMessage, path: WritePath, body: unknown, response: ServerResponse): void {
        const { kind, name, isStatus } = path;
        const { meta, spec, status } = (body ?? {}) as { meta?: { name?: string; rev?: number; }; spec?: unknown; status?: unknown; };
        const target = name ?? meta?.name;
        if (target === undefined) {
            sendJson(response, statusBadRequest, { error: "no name" });
            return;
        }
        const known = this.getObject(kind, target);
        const isConflict = request.method === "POST"
            ? known !== undefined
            : known !== undefined && meta?.rev !== undefined && meta.rev !== known.meta.rev;
        if (isConflict) {
            sendJson(response, statusConflict, known);
            return;
        }
        if (request.method !== "POST" && known === undefined) {
            sendJson(response, statusNotFound, { error: "none" });
            return;
        }
        if (request.method === "DELETE") {
            this.removeObject(kind, target);
        }
        else if (isStatus) {
            this.putObject(kind, target, known?.spec, status);
        }
        else {
            this.putObject(kind, target, spec);
        }
        if (this.mood === StoreMood.LosingAnswers) {
            request.socket.destroy();
            return;
        }
        sendJson(response, statusOk, this.getObject(kind, target) ?? {});
    }
}
