import { Socket } from "node:net";
import { formatAddress, parseAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { EndpointConnector, TcpEndpointConnector } from "../endpoints/endpointConnector.js";
import { FaultProxy, LinkMood } from "./soak/faultProxy.js";

/** How a node's network paths to all endpoints fail. */
export enum PathCut {
    None = "none",
    /** Open connections go silent, and new ones are never established. */
    Silent = "silent",
    /** Open connections live on, and new ones are never established. */
    NewSilent = "new-silent",
    /** Open connections are reset, and new ones refused. */
    Reset = "reset",
    /** Open connections live on, and new ones are refused. */
    NewRefused = "new-refused",
}

/** A port of loopback on which nothing listens. */
const closedAddress: NetworkAddress = { host: "127.0.0.1", port: 9 };

/** What happens to open connections; with the other cuts they live on. */
const moods: ReadonlyMap<PathCut, LinkMood> = new Map([
    [PathCut.None, LinkMood.Well],
    [PathCut.Silent, LinkMood.OpenOnesSilent],
    [PathCut.Reset, LinkMood.Resetting],
]);

/** Connects one node to endpoints through proxies, so that its paths can be cut while other nodes keep theirs. */
export class CuttableConnector implements EndpointConnector {
    /** Number of connections opened while the paths were not cut. */
    openedConnections = 0;
    private readonly cuts = new Map<string, PathCut>();
    private readonly connector = TcpEndpointConnector.create();
    private readonly proxies = new Map<string, FaultProxy>();

    private constructor() {}

    /** Starts a proxy for each endpoint address. */
    static async start(addresses: readonly string[]): Promise<CuttableConnector> {
        const connector = new CuttableConnector();
        for (const address of addresses) {
            connector.proxies.set(address, await FaultProxy.start(address));
        }
        return connector;
    }

    /** Cuts the paths to the endpoints at some addresses, to all of them unless told otherwise. */
    setCut(cut: PathCut, addresses: readonly string[] = [...this.proxies.keys()]): void {
        for (const address of addresses) {
            this.cuts.set(address, cut);
            const mood = moods.get(cut);
            if (mood !== undefined) {
                this.proxies.get(address)?.setMood(mood);
            }
        }
    }

    openConnection(address: NetworkAddress): Socket {
        const cut = this.cuts.get(formatAddress(address)) ?? PathCut.None;
        if (cut === PathCut.Silent || cut === PathCut.NewSilent) {
            // The address is never resolved, so the socket stays in the state of a connection that gets no answer.
            return new Socket().connect({ host: "cut.invalid", port: address.port, lookup: () => {} });
        }
        if (cut !== PathCut.None) {
            return this.connector.openConnection(closedAddress);
        }
        this.openedConnections += 1;
        const proxy = this.proxies.get(formatAddress(address));
        const target = proxy === undefined ? undefined : parseAddress(proxy.getAddress());
        return this.connector.openConnection(target ?? address);
    }

    async stop(): Promise<void> {
        await Promise.all([...this.proxies.values()].map(proxy => proxy.stop()));
    }
}
