import "reflect-metadata";
import { Container } from "inversify";
import { LogEvents } from "../common/logEvents.js";
import { GatewaySettings } from "../config/gatewaySettings.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { DirectoryChangeKind } from "../fleet/endpointDirectory.js";
import { HopTracing, NoTracing } from "../gateway/hopTracing.js";
import { GatewayPeerService } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerServer } from "../peers/peerServer.js";
import { addGatewayBindings } from "./bindings/gatewayBindings.js";
import { GatewayKeys as Keys } from "./gatewayKeys.js";
import { StatusServer } from "./statusServer.js";

/** Interval at which a stopping node looks whether its requests have ended, in milliseconds. */
const drainCheckMilliseconds = 50;
/** Part of the drain limit after which requests that are still open are cut off; the rest is for closing. */
const drainShare = 0.93;

/** Longest time for telling peers the last counts, in milliseconds: a peer that is cut off must not hold up the end of the process. */
const lastNewsMilliseconds = 300;

/** Binds what a kind of deployment brings of its own. */
export type DeploymentBindings = (container: Container, settings: GatewaySettings) => void;

/** The addresses on which a gateway listens. */
export interface GatewayAddresses {
    readonly callers: NetworkAddress;
    readonly readiness: NetworkAddress;
    readonly peers: NetworkAddress;
}

/** A gateway: a node that serves callers by routes, on a store that others run. */
export class GatewayNode {
    private readonly status: StatusServer;
    private readonly peerServer: PeerServer;

    private constructor(readonly settings: GatewaySettings, readonly container: Container) {
        const protocol = container.get(Keys.Protocol);
        this.status = StatusServer.create(protocol.readinessPath, () => this.isReady(), container.get(Keys.Metrics).registry);
        const gossip = container.get(Keys.Gossip);
        this.peerServer = PeerServer.createForRoutes(router => {
            router.service(GatewayPeerService, {
                exchange: request => (request.digest === undefined ? {} : gossip.handleExchange(request.digest)),
                applyState: state => {
                    gossip.applyState(state, "peer");
                    return {};
                },
            });
        }, undefined);
    }

    static create(settings: GatewaySettings, addDeployment: DeploymentBindings, tracing: HopTracing = NoTracing.create()): GatewayNode {
        const container = new Container({ defaultScope: "Singleton" });
        container.bind(Keys.Tracing).toConstantValue(tracing);
        addGatewayBindings(container, settings);
        addDeployment(container, settings);
        return new GatewayNode(settings, container);
    }

    /** Whether the node can serve callers: it knows the configuration and the endpoints, and is not leaving. */
    isReady(): boolean {
        const { container } = this;
        const hasConfiguration = container.get(Keys.Configuration).getTable() !== undefined;
        const hasEndpoints = container.get(Keys.Directory).listAll().length > 0;
        return hasConfiguration && hasEndpoints && !container.get(Keys.Gate).isLeaving;
    }

    /** Starts the listeners and every task. */
    async start(): Promise<GatewayAddresses> {
        const { container, settings } = this;
        this.observeBeliefs();
        const peers = await this.peerServer.start(settings.peersListen);
        const callers = await container.get(Keys.Server).start(settings.callers);
        const readiness = await this.status.startReadiness(settings.readiness);
        if (settings.metrics !== undefined) {
            await this.status.startMetrics(settings.metrics);
        }
        const watches = container.get(Keys.Watches);
        const gossip = container.get(Keys.Gossip);
        watches.configuration.setLateNewsHandler(() => void gossip.publishNow());
        watches.endpoints.setLateNewsHandler(() => void gossip.publishNow());
        void watches.configuration.run();
        void watches.endpoints.run();
        void watches.nodes.run();
        void watches.versions.run();
        void container.get(Keys.Registry).registerNode();
        container.get(Keys.Gossip).setSeeds(settings.seeds);
        void container.get(Keys.Gossip).runRounds();
        void container.get(Keys.Lease).runRounds();
        void container.get(Keys.Duties).run();
        container.get(Keys.Log).log(LogEvents.ProcessStarted, {
            callers: formatAddress(callers),
            readiness: formatAddress(readiness),
            peers: formatAddress(peers),
            incarnation: container.get(Keys.Peers).identity.incarnation,
            processId: process.pid,
        });
        return { callers, readiness, peers };
    }

    /** Takes over changed settings: seeds at once; what a listener or a task was started with stays until the next start. */
    applySettings(settings: GatewaySettings): void {
        this.container.get(Keys.Gossip).setSeeds(settings.seeds);
    }

    /** Stops gracefully: leaves the rotation, finishes what was read, hands the duties on. */
    async stop(): Promise<void> {
        const { container, settings } = this;
        const { timing } = settings;
        const clock = container.get(Keys.Clock);
        const server = container.get(Keys.Server);
        const log = container.get(Keys.Log);
        const stoppedAt = clock.getMonotonicTime();
        log.log(LogEvents.ProcessStopping, { openCalls: server.countOpenCalls() });
        container.get(Keys.Gate).isLeaving = true;
        server.startDraining();
        container.get(Keys.Duties).stop();
        void container.get(Keys.Lease).release().then(() => container.get(Keys.Gossip).publishNow());
        await clock.sleep(timing.listenerGrace);
        server.closeIdle();
        const cutAt = stoppedAt + timing.drainLimit * drainShare;
        while (server.countOpenCalls() > 0 && clock.getMonotonicTime() < cutAt) {
            await clock.sleep(drainCheckMilliseconds);
            server.closeIdle();
        }
        // What it counted last would be missing in the usage reports.
        await Promise.race([container.get(Keys.Gossip).publishNow(), clock.sleep(lastNewsMilliseconds)]);
        log.log(LogEvents.ProcessStopped, { cutOff: server.countOpenCalls() });
        this.stopTasks();
        server.closeAll();
        this.status.stop();
        await container.get(Keys.Tracing).stop();
        await log.flush();
    }

    private stopTasks(): void {
        const { container } = this;
        const watches = container.get(Keys.Watches);
        watches.configuration.stop();
        watches.endpoints.stop();
        watches.nodes.stop();
        watches.versions.stop();
        container.get(Keys.Registry).stop();
        container.get(Keys.Gossip).stop();
        void this.peerServer.stop();
    }

    /** Lets changes of what the node believes reach the parts that act on them. */
    private observeBeliefs(): void {
        const { container } = this;
        const log = container.get(Keys.Log);
        const metrics = container.get(Keys.Metrics);
        const connections = container.get(Keys.Connections);
        container.get(Keys.Configuration).addListener(table => metrics.configurationVersion.set(table.configuration.version));
        container.get(Keys.Directory).addListener(change => {
            const { entry } = change.endpoint;
            if (change.kind === DirectoryChangeKind.Reborn || change.kind === DirectoryChangeKind.Removed) {
                container.get(Keys.Crashes).recordDeath(change.previous ?? change.endpoint);
            }
            if (change.kind === DirectoryChangeKind.Removed || change.previous !== undefined) {
                connections.removeEndpoint(change.previous ?? change.endpoint);
            }
            if (change.kind === DirectoryChangeKind.Draining) {
                connections.closeIdle(change.endpoint);
            }
            log.log(LogEvents.EndpointChanged, {
                endpoint: entry.id,
                service: entry.service,
                failureDomain: entry.failureDomain,
                version: entry.version,
                reclaimable: entry.isReclaimable,
                change: change.kind,
                source: change.source,
            });
        });
    }
}
