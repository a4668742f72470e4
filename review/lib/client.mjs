// A caller of the gateway: HTTP/1.1 over a channel that is kept for many requests.
import { Agent, request as openRequest } from "node:http";

export const commonHeaders = { "Host": "desk.example", "Authorization": "Bearer key-of-shops" };

/** A client with one kept channel. */
export class Client {
    agent = new Agent({ keepAlive: true, maxSockets: 1 });

    constructor(port) {
        this.port = port;
    }

    /** Sends one request; resolves with what the client saw of it, and never rejects. `limit` is the longest wait in milliseconds. */
    send({ id, method = "POST", path, body = "{}", deadline, limit = deadline }) {
        const sentAt = performance.now();
        const seen = { id, status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false, end: "", milliseconds: 0, answeredAt: undefined };
        return new Promise(resolve => {
            const chunks = [];
            let timer;
            const finish = end => {
                if (seen.end !== "") {
                    return;
                }
                clearTimeout(timer);
                seen.end = end;
                seen.body = Buffer.concat(chunks);
                seen.milliseconds = Math.round(performance.now() - sentAt);
                resolve(seen);
            };
            const isBodied = method === "POST";
            const request = openRequest({
                host: "127.0.0.1",
                port: this.port,
                method,
                path,
                agent: this.agent,
                headers: {
                    ...commonHeaders,
                    "Attempt-Id": id,
                    "Deadline-Ms": String(deadline),
                    ...(isBodied ? { "Content-Length": Buffer.byteLength(body) } : {}),
                },
            }, response => {
                seen.status = response.statusCode;
                seen.headers = response.headers;
                response.on("data", chunk => chunks.push(chunk));
                response.on("end", () => {
                    seen.isWhole = response.complete;
                    finish(response.complete ? "answered" : "broken off");
                });
                response.on("error", () => finish("broken off"));
                response.on("close", () => finish(response.complete ? "answered" : "broken off"));
            });
            request.on("error", error => finish(`closed (${error.code ?? error.message})`));
            timer = setTimeout(() => {
                finish("no answer");
                request.destroy();
            }, limit);
            request.end(isBodied ? body : undefined);
        });
    }

    close() {
        this.agent.destroy();
    }
}
