import { Server as HttpServer } from "node:http";
import { AddressInfo, Server } from "node:net";

/** Starts a server and returns the bound address; port 0 binds to a free port. Rejects when the address cannot be bound. */
export async function startListening(
    server: Server,
    address: { readonly host: string; readonly port: number; },
    backlog?: number,
): Promise<{ host: string; port: number; }> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, backlog, resolve);
    });
    const bound = server.address() as AddressInfo;
    return { host: bound.address, port: bound.port };
}

/**
 * Stops listening and leaves all connections open. The runtime's own method for HTTP servers also destroys each connection whose response has
 * been ended, even if it has not been sent completely.
 */
export function stopListening(server: HttpServer): void {
    Server.prototype.close.call(server);
}
