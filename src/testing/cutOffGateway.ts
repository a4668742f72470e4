import { HeaderNames } from "../../platform/wire.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { RoutedPlatform } from "../standins/routed/routedPlatform.js";
import { CuttableConnector, PathCut } from "./cuttableConnector.js";
import { pickFreePort } from "./daemons.js";
import { CallerView, RoutedGateway, waitUntil } from "./routedGateway.js";
import { FaultProxy } from "./soak/faultProxy.js";

/** Time limit of all calls, in milliseconds. */
const timeLimitMilliseconds = 6_000;

/** A gateway that has lost its paths to all endpoints, and hands its calls to a peer over a link that can fail. */
export class CutOffGateway {
    private constructor(
        readonly platform: RoutedPlatform,
        readonly connector: CuttableConnector,
        readonly peer: RoutedGateway,
        readonly gateway: RoutedGateway,
        readonly link: FaultProxy,
    ) {}

    /** Starts a platform and both gateways. */
    static async start(): Promise<CutOffGateway> {
        const platform = RoutedPlatform.create();
        await platform.start();
        platform.publishTimeLimit(timeLimitMilliseconds);
        const connector = await CuttableConnector.start(platform.listWorkers().map(worker => worker.getAddress()));
        const peer = await RoutedGateway.start(platform, { name: "peer", peersPort: await pickFreePort() });
        const seeds = peer.getPeerAddress();
        const gateway = await RoutedGateway.start(platform, { name: "cut-off", peersPort: await pickFreePort(), seeds, connector });
        const link = await FaultProxy.start(peer.getPeerAddress());
        const started = new CutOffGateway(platform, connector, peer, gateway, link);
        await started.cutPaths();
        return started;
    }

    async stop(): Promise<void> {
        await Promise.all([this.gateway.stop(), this.peer.stop()]);
        await this.platform.stop();
        await this.connector.stop();
        await this.link.stop();
    }

    /** Sends one call to the gateway that is cut off. */
    sendCall(path: string): Promise<CallerView> {
        const options = path.startsWith("/lookup") ? {} : { method: "POST", body: path };
        return this.gateway.sendCall(path, { ...options, headers: { [HeaderNames.deadline]: String(timeLimitMilliseconds) } });
    }

    private async cutPaths(): Promise<void> {
        const { container } = this.gateway.node;
        const peers = container.get(Keys.Peers);
        await waitUntil(() => peers.listReachablePeers().length === 1);
        peers.listReachablePeers().forEach(known => (known.address = this.link.getAddress()));
        this.connector.setCut(PathCut.Reset);
        await Promise.all(["/lookup/first", "/notice/first"].map(path => this.sendCall(path)));
        await waitUntil(() => container.get(Keys.ServicePaths).listUnreachableServices().length === 2);
    }
}
