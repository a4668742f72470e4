import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createServer } from "node:net";
import { test } from "node:test";
import { startListening } from "../common/listening.js";
import { TcpEndpointConnector } from "./endpointConnector.js";

/** Code of the keep-alive timer in the system's table of connections. */
const keepAliveTimer = "02";

/** Returns the code of the timer that runs on the connection to a port of loopback, from the system's table. */
function readTimer(port: number): string | undefined {
    const remoteAddress = `0100007F:${port.toString(16).toUpperCase().padStart(4, "0")}`;
    const rows = readFileSync("/proc/net/tcp", "utf8").split("\n").map(row => row.trim().split(/\s+/));
    return rows.find(row => row[2] === remoteAddress)?.[5]?.split(":")[0];
}

// Guards against connections on which the system sends no probes, so that one whose host is gone stays open for good.
test("the system probes a connection to an endpoint that is idle", async context => {
    const server = createServer();
    const address = await startListening(server, { host: "127.0.0.1", port: 0 });
    const socket = TcpEndpointConnector.create().openConnection(address);
    context.after(() => {
        socket.destroy();
        server.close();
    });
    await new Promise(resolve => socket.once("connect", resolve));
    assert.equal(readTimer(address.port), keepAliveTimer);
});
