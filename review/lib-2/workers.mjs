// Stand-ins of workers, by PROTOCOL.md: plain calls, and event streams with increasing ids.
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { listen } from "./platform.mjs";

/** A worker that registers itself in the store and records what it is sent. */
export class Worker {
    arrivals = [];
    state = "ready";
    seq = 0;
    born = Date.now();
    slots = 64;
    version = "v1";
    workTime = 20;
    eventCount = 4;
    eventPause = 5;
    running = 0;
    /** Retry-After that the worker sends with each request that it turns away, in seconds; undefined while it turns away none. */
    refusalPause = undefined;
    /** Whether the answers of an engine have neither a length nor chunks and end with their channels. */
    isUnframed = false;
    /** Returns the number of events of the answer to a request. */
    countEvents = () => this.eventCount;
    /** Returns the time from the first event of a request to the crash that it causes, in milliseconds; undefined for harmless requests. */
    findCrashTime = () => undefined;
    /** Called when the process has crashed. */
    handleCrash = () => {};
    hasCrashed = false;
    /** Whether the worker is partitioned from the store, so that its reports are lost. */
    isCutFromStore = false;

    constructor(id, service, zone, isEngine) {
        Object.assign(this, { id, service, zone, isEngine });
    }

    async start(store, beatInterval = 1_200) {
        this.store = store;
        this.server = createServer({ keepAliveTimeout: 5_000 }, (request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
        this.sockets = new Set();
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        this.address = await listen(this.server);
        this.writeEntry();
        this.beat = setInterval(() => this.reportLife(beatInterval), beatInterval);
    }

    /** Ends the process: its connections are reset, and its address refuses new ones. */
    crash() {
        if (this.hasCrashed) {
            return;
        }
        this.hasCrashed = true;
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.handleCrash();
    }

    /** Ends the process after its planned drain: the system closes its connections in order. */
    exit() {
        this.hasCrashed = true;
        this.stopBeats();
        this.server.close();
        this.sockets.forEach(socket => socket.end());
        this.store.remove("servers", this.id);
    }

    stopBeats() {
        clearInterval(this.beat);
    }

    stop() {
        this.stopBeats();
        this.server.closeAllConnections();
        this.server.close();
    }

    /** The platform removes the entry after three intervals without a report. */
    reportLife(beatInterval) {
        const now = Date.now();
        if (!this.isCutFromStore && !this.hasCrashed) {
            this.reportedAt = now;
            this.writeEntry();
        }
        else if (now - this.reportedAt > 3 * beatInterval) {
            this.store.remove("servers", this.id);
        }
    }

    /** The platform changes the stored entry only when more than `seq` changes. */
    writeEntry() {
        this.seq += 1;
        const known = this.store.get("servers", this.id)?.spec;
        const { service, address, zone, version, slots, state, born } = this;
        const spec = { service, addr: address, zone, version, slots, state, "cold-left-ms": 0, born };
        if (known === undefined || JSON.stringify({ ...known, seq: 0 }) !== JSON.stringify({ ...spec, seq: 0 })) {
            this.store.put("servers", this.id, { spec: { ...spec, seq: this.seq } });
        }
    }

    async serve(request, response) {
        const at = Date.now();
        let body = "";
        for await (const chunk of request) {
            body += chunk;
        }
        const { headers, method, url } = request;
        const id = headers["attempt-id"];
        if (url === "/healthz") {
            response.writeHead(200, { "instance-id": this.id, "server-load": this.formatLoad() });
            return response.end();
        }
        const arrival = { at, id, worker: this.id, method, url, headers, body, hasRun: false };
        this.arrivals.push(arrival);
        const common = { "attempt-id": id ?? "", "server-load": this.formatLoad() };
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            response.writeHead(421, { ...common, "not-run": "1", "content-length": 0 });
            return response.end();
        }
        if (this.running >= this.slots || this.refusalPause !== undefined) {
            const pause = this.refusalPause === undefined ? {} : { "retry-after": String(this.refusalPause) };
            arrival.pause = this.refusalPause;
            response.writeHead(503, { ...common, ...pause, "not-run": "1", "content-length": 0 });
            return response.end();
        }
        arrival.hasRun = true;
        this.running += 1;
        response.once("close", () => (this.running -= 1));
        await sleep(this.workTime);
        if (!this.isEngine) {
            const text = `answer to ${id}`;
            response.writeHead(200, { ...common, "server-seal": `seal-${id}`, "content-length": text.length });
            return response.end(text);
        }
        const isLeaving = this.state === "draining" ? { "server-leaving": "1" } : {};
        const head = { ...common, ...isLeaving, "content-type": "text/event-stream", "server-seal": `seal-${id}`, "weight-versions": "1" };
        if (this.isUnframed) {
            // Without chunks the runtime announces the end of the channel.
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        response.writeHead(200, head);
        const eventCount = this.countEvents(arrival);
        const crashTime = this.findCrashTime(arrival);
        if (crashTime !== undefined) {
            setTimeout(() => this.crash(), crashTime);
        }
        for (let event = Number(headers["last-event-id"] ?? 0) + 1; event <= eventCount && !response.destroyed; event += 1) {
            response.write(`id: ${event}\ndata: piece ${event}\n\n`);
            await sleep(this.eventPause);
        }
        return response.end();
    }

    formatLoad() {
        return `${this.running},0,${this.slots}`;
    }
}
