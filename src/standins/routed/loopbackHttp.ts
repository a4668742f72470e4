import { IncomingMessage, Server as HttpServer, ServerResponse } from "node:http";
import { Server } from "node:net";
import { startListening } from "../../common/listening.js";
import { formatAddress } from "../../config/sectionReader.js";

/** Starts a server on a free port of loopback; returns its address as text. */
export async function startOnLoopback(server: Server): Promise<string> {
    return formatAddress(await startListening(server, { host: "127.0.0.1", port: 0 }));
}

/** Ends every connection and stops listening. */
export async function stopServer(server: HttpServer): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
}

/** Reads a whole body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}

/** Reads a JSON body; undefined when there is none. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
    const text = await readText(request);
    return text === "" ? undefined : JSON.parse(text);
}

/** Sends a JSON body. A string that `rawValues` names is sent as the JSON given there, which may be more than the runtime can write. */
export function sendJson(response: ServerResponse, status: number, body: unknown, rawValues?: ReadonlyMap<string, string>): void {
    let text = JSON.stringify(body);
    rawValues?.forEach((raw, name) => (text = text.replaceAll(JSON.stringify(name), raw)));
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
}
