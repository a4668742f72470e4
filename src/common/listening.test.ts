import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RawConnection } from "../testing/rawConnection.js";
import { startListening, stopListening } from "./listening.js";

/** Size of a response that fits in no buffer between a server and a caller that does not read, in bytes. */
const largeResponseBytes = 30_000_000;

// Guards against a stop that closes connections as idle whose callers still read the last response.
test("a response that has been ended and is still being sent is sent completely by a server that stops listening", async () => {
    const server = createServer((_request, response) => response.end(Buffer.alloc(largeResponseBytes)));
    const { port } = await startListening(server, { host: "127.0.0.1", port: 0 });
    const connection = await RawConnection.open(port);
    connection.socket.pause();
    connection.send("GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    await sleep(100);
    stopListening(server);
    connection.socket.resume();
    await connection.closed;
    assert.equal(connection.read().split("\r\n\r\n")[1]?.length, largeResponseBytes);
});
