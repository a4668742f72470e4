// Stand-in of clients, by PROTOCOL.md: kept channels, and retries on new channels within the deadline.
import { Agent, request as sendHttpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const promises = new Set([408, 421, 429, 503]);
const finalStatuses = new Set([400, 401, 404, 413, 431]);

/** A client host; all its new channels go to the node that the entry picks by its hash. */
export class Client {
    sequence = 0;

    constructor(name, hash, zone, entry, records) {
        Object.assign(this, { name, hash, zone, entry, records });
        this.agents = new Map();
    }

    close() {
        this.agents.forEach(agent => agent.destroy());
    }

    /** Sends one request with its retries; resolves with the record of the last attempt. */
    async send({ host, path, method = "POST", key, headers = {}, body = "{}", deadline, retries = 1, isIdempotent = false }) {
        const endsAt = Date.now() + deadline;
        let record;
        for (let retry = 0; retry <= retries; retry += 1) {
            const timeLeft = endsAt - Date.now();
            if (timeLeft < 50) {
                return record;
            }
            record = await this.sendOnce({ host, path, method, key, headers, body, timeLeft, retry });
            const { status, retryAfter } = record;
            const mayRetry = promises.has(status) || (isIdempotent && !finalStatuses.has(status)) || record.isRefusedConnection;
            if ((status >= 200 && status < 300) || !mayRetry) {
                return record;
            }
            await sleep(Math.min((retryAfter ?? 0) * 1_000, (endsAt - Date.now()) / 3));
        }
        return record;
    }

    sendOnce({ host, path, method, key, headers, body, timeLeft, retry }) {
        const gateway = this.entry.pick(this.zone, this.hash, retry);
        this.sequence += 1;
        const id = `${this.name}-${this.sequence}`;
        const record = { id, client: this.name, gateway: gateway.name, path, sentAt: Date.now(), status: 0, body: "", isWhole: false };
        this.records.push(record);
        const agent = this.findAgent(gateway, retry);
        return new Promise(resolve => {
            const finish = () => {
                record.endedAt ??= Date.now();
                clearTimeout(timer);
                resolve(record);
            };
            const request = sendHttpRequest({
                host: "127.0.0.1",
                port: gateway.front,
                path,
                method,
                agent,
                headers: {
                    host,
                    "attempt-id": id,
                    "deadline-ms": String(Math.floor(timeLeft)),
                    authorization: `Bearer ${key}`,
                    ...(body === "" ? {} : { "content-length": Buffer.byteLength(body) }),
                    ...headers,
                },
            });
            const timer = setTimeout(() => request.destroy(), timeLeft);
            request.once("error", error => {
                record.error = error.code ?? error.message;
                record.isRefusedConnection = error.code === "ECONNREFUSED";
                finish();
            });
            request.once("response", response => {
                record.status = response.statusCode;
                record.seal = response.headers["server-seal"];
                record.retryAfter = response.headers["retry-after"] === undefined ? undefined : Number(response.headers["retry-after"]);
                response.on("data", chunk => (record.body += chunk));
                response.once("error", finish);
                response.once("close", () => {
                    record.isWhole = response.complete;
                    finish();
                });
            });
            request.end(body);
        });
    }

    /** Returns the agent of the kept channels to a node; a retry opens a new channel. */
    findAgent(gateway, retry) {
        if (retry > 0) {
            return new Agent({ keepAlive: false });
        }
        const known = this.agents.get(gateway) ?? new Agent({ keepAlive: true, timeout: 10_000 });
        this.agents.set(gateway, known);
        return known;
    }
}
