// Stand-ins of the platform's store and cloud API, by PROTOCOL.md, in memory on loopback.
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const pageSize = 500;

/** Listens on a free loopback port; returns the address. */
export async function listen(server) {
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${server.address().port}`;
}

async function readJson(request) {
    let text = "";
    for await (const chunk of request) {
        text += chunk;
    }
    return text === "" ? {} : JSON.parse(text);
}

function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/** The platform's metadata store. */
export class Store {
    objects = new Map();
    events = [];
    revision = 100;
    waiting = new Set();
    /** Time that an answer takes, in milliseconds. */
    answerTime = 4;
    /** Called for each call with its method, path and body; returning a promise delays the call, `"drop"` answers nothing. */
    interceptCall = undefined;

    async start() {
        this.server = createServer((request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
        this.address = await listen(this.server);
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    get(kind, name) {
        return this.objects.get(`${kind}/${name}`);
    }

    put(kind, name, change) {
        const known = this.get(kind, name);
        const spec = change.spec === undefined ? known?.spec : change.spec;
        const status = change.status === undefined ? known?.status : change.status;
        if (known !== undefined && JSON.stringify([known.spec, known.status]) === JSON.stringify([spec, status])) {
            return known;
        }
        this.revision += 1;
        const object = {
            meta: { name, rev: this.revision, created: known?.meta.created ?? this.revision, finalizers: [], deleting: false },
            spec,
            status: status ?? {},
        };
        this.objects.set(`${kind}/${name}`, object);
        this.publish({ kind, revision: this.revision, object, tombstone: false });
        return object;
    }

    remove(kind, name) {
        const known = this.get(kind, name);
        if (known === undefined) {
            return;
        }
        this.objects.delete(`${kind}/${name}`);
        this.revision += 1;
        this.publish({ kind, revision: this.revision, object: { ...known, meta: { ...known.meta, rev: this.revision } }, tombstone: true });
    }

    publish(event) {
        this.events.push(event);
        [...this.waiting].forEach(wake => wake());
    }

    async serve(request, response) {
        const url = new URL(request.url, "http://store");
        const [, , , kind, name, part] = url.pathname.split("/").map(decodeURIComponent);
        const body = request.method === "GET" ? {} : await readJson(request);
        await sleep(this.answerTime);
        const verdict = await this.interceptCall?.({ method: request.method, kind, name, part, body });
        if (verdict === "drop") {
            return;
        }
        if (request.method === "GET") {
            return name === undefined ? this.list(kind, url.searchParams, response) : this.read(kind, name, response);
        }
        const rev = body.meta?.rev ?? (url.searchParams.has("rev") ? Number(url.searchParams.get("rev")) : undefined);
        const target = name ?? body.meta?.name;
        const known = this.get(kind, target);
        if (request.method === "POST") {
            return known !== undefined ? send(response, 409, known) : send(response, 201, this.put(kind, target, { spec: body.spec }));
        }
        if (known === undefined) {
            return send(response, 404, { error: "no such object" });
        }
        if (rev !== undefined && rev !== known.meta.rev) {
            return send(response, 409, known);
        }
        if (request.method === "PUT") {
            return send(response, 200, this.put(kind, target, part === "status" ? { status: body.status } : { spec: body.spec }));
        }
        this.remove(kind, target);
        return send(response, 200, {});
    }

    read(kind, name, response) {
        const object = this.get(kind, name);
        return object === undefined ? send(response, 404, { error: "no such object" }) : send(response, 200, object);
    }

    async list(kind, query, response) {
        if (query.has("watch")) {
            return this.watch(kind, Number(query.get("watch")), Number(query.get("wait-ms") ?? 0), response);
        }
        const after = query.get("since-rev") ?? "";
        const all = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
            .sort((left, right) => (left.meta.name < right.meta.name ? -1 : 1)).filter(object => object.meta.name > after);
        send(response, 200, { items: all.slice(0, pageSize), "has-more": all.length > pageSize, "as-of": this.revision });
    }

    async watch(kind, revision, wait, response) {
        const find = () => this.events.filter(event => event.kind === kind && event.revision > revision);
        if (find().length === 0 && wait > 0) {
            await new Promise(resolve => {
                const wake = () => {
                    if (find().length > 0) {
                        finish();
                    }
                };
                const finish = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(finish, wait);
                this.waiting.add(wake);
                response.once("close", finish);
            });
        }
        const events = find().map(({ object, tombstone }) => ({ object, tombstone }));
        send(response, 200, { events, "as-of": this.revision });
    }
}

/** The platform's API for singleton duties; checks fences and records every call. */
export class Cloud {
    calls = [];
    fences = new Map();

    async start() {
        this.server = createServer((request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
        this.address = await listen(this.server);
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    async serve(request, response) {
        const body = await readJson(request);
        const fence = Number(request.headers["fence-token"]);
        const subject = request.url === "/usage" ? "usage" : `scale ${body.service} ${body.zone}`;
        const isAccepted = fence >= (this.fences.get(subject) ?? 0);
        this.calls.push({ at: Date.now(), subject, holder: request.headers["duty-holder"], fence, body, isAccepted });
        if (!isAccepted) {
            return send(response, 409, { error: "a higher fence was seen" });
        }
        this.fences.set(subject, fence);
        return send(response, 200, {});
    }
}
