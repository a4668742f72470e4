import "reflect-metadata";
import { Container } from "inversify";
import { LogEvents } from "../common/logEvents.js";
import { GatewaySettings } from "../config/gatewaySettings.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { DirectoryChangeKind } from "../fleet/endpointDirectory.js";
import { HopTracing, NoopTracing } from "../gateway/hopTracing.js";
import { PlacementExplainer } from "../gateway/placementExplainer.js";
import { CrashEvidence } from "../gateway/poisonRequestDetector.js";
import { GatewayPeerService } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { PeerServer } from "../peers/peerServer.js";
import { addGatewayBindings } from "./bindings/gatewayBindings.js";
import { GatewayKeys as Keys } from "./gatewayKeys.js";
import { StatusServer } from "./statusServer.js";

/** Interval at which the shutdown polls whether all open calls have ended. */
const drainPollMilliseconds = 50;
/** Share of the drain limit after which calls that are still open are closed; the rest is reserved for the cleanup. */
const drainWaitShare = 0.93;

/** Time for the failures of calls that are cut off to reach their callers, in milliseconds. */
const cutOffMilliseconds = 100;

/** Time limit for sending the final usage counts to peers: an unreachable peer must not delay the end of the process. */
const finalExchangeMilliseconds = 300;

/** Time limit for peers to receive the rest of their answers and to close their sessions, if the drain limit is not near. */
const sessionEndMilliseconds = 1_000;

/** Adds the bindings that are specific to a kind of deployment, such as its store and call protocol. */
export type DeploymentBindings = (container: Container, settings: GatewaySettings) => void;

/** Bound listener addresses of a gateway. */
export interface GatewayAddresses {
    readonly callers: NetworkAddress;
    readonly readiness: NetworkAddress;
    readonly peers: NetworkAddress;
}

/** Starts and stops a gateway: a node that forwards calls by configured routes and reads its state from an external object store. */
export class GatewayNode {
    private readonly status: StatusServer;
    private readonly peerServer: PeerServer;

    private constructor(readonly settings: GatewaySettings, readonly container: Container) {
        const protocol = container.get(Keys.Protocol);
        const explainer = PlacementExplainer.create(
            settings.name,
            container.get(Keys.Configuration),
            container.get(Keys.Chooser),
            container.get(Keys.Clock),
        );
        this.status = StatusServer.create(protocol.readinessPath, () => this.isReady(), container.get(Keys.Metrics).registry, explainer);
        const gossip = container.get(Keys.Gossip);
        this.peerServer = PeerServer.createForRoutes(router => {
            router.service(GatewayPeerService, {
                exchange: request => (request.digest === undefined ? {} : gossip.handleExchange(request.digest)),
                applyState: state => {
                    gossip.applyState(state, "peer");
                    return {};
                },
                forwardCall: (request, context) => container.get(Keys.PeerCallServer).serveCall(request, context.signal),
            });
        }, undefined);
    }

    /** Creates a gateway. `addDeployment` binds the keys that depend on the kind of deployment. */
    static create(settings: GatewaySettings, addDeployment: DeploymentBindings, tracing: HopTracing = NoopTracing.create()): GatewayNode {
        const container = new Container({ defaultScope: "Singleton" });
        container.bind(Keys.Tracing).toConstantValue(tracing);
        addGatewayBindings(container, settings);
        addDeployment(container, settings);
        return new GatewayNode(settings, container);
    }

    /** Returns whether the gateway can serve callers: it has a configuration and at least one endpoint, and is not shutting down. */
    isReady(): boolean {
        const { container } = this;
        const hasConfiguration = container.get(Keys.Configuration).getTable() !== undefined;
        const hasEndpoints = container.get(Keys.Directory).listAll().length > 0;
        return hasConfiguration && hasEndpoints && !container.get(Keys.ShutdownState).isLeaving;
    }

    /** Starts the listeners and background tasks, and returns the bound addresses. */
    async start(): Promise<GatewayAddresses> {
        const { container, settings } = this;
        this.observeStateChanges();
        container.get(Keys.LoopDelay).start();
        const peers = await this.peerServer.start(settings.peersListen);
        const callers = await container.get(Keys.Server).start(settings.callers);
        const readiness = await this.status.startReadiness(settings.readiness);
        if (settings.metrics !== undefined) {
            await this.status.startMetrics(settings.metrics);
        }
        const watches = container.get(Keys.Watches);
        const gossip = container.get(Keys.Gossip);
        gossip.setSilenceHandler(() => {
            container.get(Keys.Store).renewConnections();
            container.get(Keys.Connections).recordSilence("a peer");
        });
        watches.configuration.setRelistHandler(() => void gossip.publishNow());
        watches.endpoints.setRelistHandler(() => void gossip.publishNow());
        void watches.configuration.run();
        void watches.endpoints.run();
        void watches.nodes.run();
        void watches.versions.run();
        void watches.quarantines.run();
        void watches.evacuations?.run();
        void container.get(Keys.Registry).registerNode();
        container.get(Keys.Gossip).setSeeds(settings.seeds);
        void container.get(Keys.Gossip).runRounds();
        void container.get(Keys.Lease).runRounds();
        void container.get(Keys.Duties).run();
        void container.get(Keys.PathProber).run();
        container.get(Keys.Log).log(LogEvents.ProcessStarted, {
            callers: formatAddress(callers),
            readiness: formatAddress(readiness),
            peers: formatAddress(peers),
            incarnation: container.get(Keys.Peers).identity.incarnation,
            processId: process.pid,
            processor: this.settings.limits.processor,
        });
        return { callers, readiness, peers };
    }

    /** Applies the changed gossip seeds at once. All other settings require a restart, since listeners and tasks have read them at startup. */
    applySettings(settings: GatewaySettings): void {
        this.container.get(Keys.Gossip).setSeeds(settings.seeds);
    }

    /** Shuts down gracefully: ends readiness, releases the duty lease, and waits for open calls before it closes their connections. */
    async stop(): Promise<void> {
        const { container, settings } = this;
        const { timing } = settings;
        const clock = container.get(Keys.Clock);
        const server = container.get(Keys.Server);
        const log = container.get(Keys.Log);
        const stoppedAt = clock.getMonotonicTime();
        log.log(LogEvents.ProcessStopping, { openCalls: server.countOpenCalls() });
        container.get(Keys.ShutdownState).isLeaving = true;
        const forcedCloseAt = stoppedAt + timing.drainLimit * drainWaitShare;
        server.startDraining(forcedCloseAt);
        container.get(Keys.Duties).stop();
        void container.get(Keys.Lease).release().then(() => container.get(Keys.Gossip).publishNow());
        await clock.sleep(timing.listenerGrace);
        server.closeIdle();
        const countOpenCalls = () => server.countOpenCalls() + this.peerServer.countOpenCalls(GatewayPeerService.method.forwardCall);
        while (countOpenCalls() > 0 && clock.getMonotonicTime() < forcedCloseAt) {
            await clock.sleep(drainPollMilliseconds);
        }
        const cutOff = countOpenCalls();
        if (cutOff > 0) {
            server.endCalls();
            await clock.sleep(cutOffMilliseconds);
        }
        const timeLeft = forcedCloseAt - clock.getMonotonicTime();
        const sessionLimit = Math.max(finalExchangeMilliseconds, Math.min(sessionEndMilliseconds, timeLeft));
        await Promise.all([
            // Without this exchange the most recent counts would be missing from the usage reports.
            Promise.race([container.get(Keys.Gossip).publishNow(), clock.sleep(finalExchangeMilliseconds)]),
            Promise.race([this.peerServer.finishSessions(), clock.sleep(sessionLimit)]),
        ]);
        log.log(LogEvents.ProcessStopped, { cutOff });
        this.stopTasks();
        server.closeAll();
        this.status.stop();
        await container.get(Keys.Tracing).stop();
        await log.flush();
    }

    private stopTasks(): void {
        const { container } = this;
        const watches = container.get(Keys.Watches);
        container.get(Keys.LoopDelay).stop();
        watches.configuration.stop();
        watches.endpoints.stop();
        watches.nodes.stop();
        watches.versions.stop();
        watches.quarantines.stop();
        watches.evacuations?.stop();
        container.get(Keys.StoredQuarantines).stop();
        container.get(Keys.Registry).stop();
        container.get(Keys.PathProber).stop();
        container.get(Keys.Gossip).stop();
        container.get(Keys.PeerCallClient).stop();
        void this.peerServer.stop();
    }

    /** Updates metrics, connections, the poison request detector and the log when the configuration or the endpoint directory changes. */
    private observeStateChanges(): void {
        const { container } = this;
        const log = container.get(Keys.Log);
        const metrics = container.get(Keys.Metrics);
        const connections = container.get(Keys.Connections);
        container.get(Keys.PoisonRequestDetector).setCrashHandler(() => void container.get(Keys.Gossip).publishNow());
        metrics.observeStoreAge(() => container.get(Keys.StoreFollower).getAge());
        const evacuations = container.get(Keys.Evacuations);
        evacuations.addListener(({ failureDomain, isEvacuated }) => {
            metrics.evacuatedDomains.set(evacuations.count());
            if (isEvacuated) {
                this.leaveDomain(failureDomain);
            }
        });
        container.get(Keys.Configuration).addListener(table => metrics.configurationVersion.set(table.configuration.version));
        container.get(Keys.ConfigurationFollower).setKnowledgeSource(() => this.describeKnowledge());
        container.get(Keys.Directory).addListener(change => {
            const { entry } = change.endpoint;
            if (change.kind === DirectoryChangeKind.Restarted || change.kind === DirectoryChangeKind.Removed) {
                const evidence = change.kind === DirectoryChangeKind.Restarted ? CrashEvidence.Restarted : CrashEvidence.EntryRemoved;
                container.get(Keys.PoisonRequestDetector).recordCrash(change.previous ?? change.endpoint, evidence);
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
                ...this.describeKnowledge(),
            });
        });
    }

    /** Returns how old the node's knowledge of the store and its own watch of the endpoints are, and how late its event loop is, in milliseconds. */
    private describeKnowledge() {
        const { container } = this;
        const watchAge = container.get(Keys.Clock).getMonotonicTime() - container.get(Keys.Watches).endpoints.getConfirmedAt();
        return {
            storeAge: formatAge(container.get(Keys.StoreFollower).getAge()),
            watchAge: formatAge(watchAge),
            loopDelay: Math.round(container.get(Keys.LoopDelay).getDelay()),
        };
    }

    /** Closes the connections to the endpoints of an evacuated failure domain, but for those that carry requests. */
    private leaveDomain(failureDomain: string): void {
        const connections = this.container.get(Keys.Connections);
        for (const endpoint of this.container.get(Keys.Directory).listAll()) {
            if (endpoint.entry.failureDomain === failureDomain) {
                connections.closeUnused(endpoint);
            }
        }
    }
}

/** Returns an age in whole milliseconds; undefined before there is one. */
function formatAge(age: number): number | undefined {
    return Number.isFinite(age) ? Math.round(age) : undefined;
}
