import { AddressInfo, Server } from "node:net";

/** Starts a server on an address; returns the one it got, whose port is a free one when 0 was asked for. */
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
