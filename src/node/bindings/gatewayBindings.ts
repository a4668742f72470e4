import { Container, ResolutionContext } from "inversify";
import { RoomAdmission } from "../../admission/roomAdmission.js";
import { BodyBudget } from "../../common/bodyBudget.js";
import { BodyReader } from "../../common/bodyReader.js";
import { SystemClock } from "../../common/clock.js";
import { JsonEventLog } from "../../common/eventLog.js";
import { LoopDelay } from "../../common/loopDelay.js";
import { SeededRandom } from "../../common/random.js";
import { GatewaySettings } from "../../config/gatewaySettings.js";
import { formatAddress } from "../../config/sectionReader.js";
import { TcpConnectionProbe } from "../../endpoints/connectionProbe.js";
import { TcpEndpointConnector } from "../../endpoints/endpointConnector.js";
import { DirectoryFreshness } from "../../fleet/directoryFreshness.js";
import { EndpointDirectory } from "../../fleet/endpointDirectory.js";
import { EndpointFollower } from "../../fleet/endpointFollower.js";
import { Evacuations } from "../../fleet/evacuations.js";
import { ServicePathTracker } from "../../fleet/servicePathTracker.js";
import { CallForwarder } from "../../gateway/callForwarder.js";
import { CallReader } from "../../gateway/callReader.js";
import { EndpointConnectionPool } from "../../gateway/endpointConnectionPool.js";
import { EndpointCrashCheck } from "../../gateway/endpointCrashCheck.js";
import { HeaderForwarder } from "../../gateway/forwardedHeaders.js";
import { GatewayMetrics } from "../../gateway/gatewayMetrics.js";
import { GatewayServer } from "../../gateway/gatewayServer.js";
import { HedgingPolicy } from "../../gateway/hedgingPolicy.js";
import { PoisonRequestDetector } from "../../gateway/poisonRequestDetector.js";
import { QuarantineFollower } from "../../gateway/quarantineFollower.js";
import { QuarantineTrials } from "../../gateway/quarantineTrials.js";
import { ServicePathProber } from "../../gateway/servicePathProber.js";
import { quarantinePrefix, StoredQuarantines } from "../../gateway/storedQuarantines.js";
import { nodePrefix, NodeRegistry } from "../../gossip/nodeRegistry.js";
import { formatIncarnationKey, PeerTable } from "../../gossip/peerTable.js";
import { WatchScheduler } from "../../gossip/watchScheduler.js";
import { BrittleEndpoints } from "../../placement/brittleEndpoints.js";
import { CallPlacementPolicy } from "../../placement/callPlacementPolicy.js";
import { CombinedAdmission } from "../../placement/combinedAdmission.js";
import { EndpointChooser } from "../../placement/endpointChooser.js";
import { EnginePlacementPolicy } from "../../placement/enginePlacementPolicy.js";
import { EngineSpeeds } from "../../placement/engineSpeeds.js";
import { EvacuationAdmission } from "../../placement/evacuationAdmission.js";
import { HomeRegions } from "../../placement/homeRegions.js";
import { PlacementUpdates } from "../../placement/placementUpdates.js";
import { ServiceWorkTracker } from "../../placement/serviceWorkTracker.js";
import { WarmingEndpoints } from "../../placement/warmingEndpoints.js";
import { ObjectWatcher } from "../../provider/objectWatcher.js";
import { FleetRetryBudget } from "../../quotas/fleetRetryBudget.js";
import { SharedRateLimiter } from "../../quotas/sharedRateLimiter.js";
import { QuarantineLedger } from "../../requests/quarantineLedger.js";
import { ConfigurationFollower } from "../../routes/configurationFollower.js";
import { ConfigurationHolder } from "../../routes/configurationHolder.js";
import { VersionMoves } from "../../versions/versionMoves.js";
import { VersionTraffic } from "../../versions/versionTraffic.js";
import { GatewayKeys as Keys } from "../gatewayKeys.js";
import { addDutyBindings } from "./gatewayDutyBindings.js";
import { addPeerBindings } from "./gatewayPeerBindings.js";

/** Pause after a batch of changes of endpoints, as a share of the time in which a change must be in force: each batch is one call. */
const batchPauseShareOfApplyLimit = 0.1;
/** The same on a node that hears of most changes from a relay before. */
const followerPauseShareOfApplyLimit = 0.5;
/** Poll interval of the node entries; gossip distributes new nodes as well. */
const nodeEntryPollMilliseconds = 1_000;
/** Upper bound of the seed of the random source, which takes 31 bits. */
const seedRange = 2 ** 31;

/** Adds the bindings of a gateway that are the same in every kind of deployment. */
export function addGatewayBindings(container: Container, settings: GatewaySettings): void {
    addFoundationBindings(container, settings);
    addClusterStateBindings(container, settings);
    addPlacementBindings(container, settings);
    addPeerBindings(container, settings);
    addDutyBindings(container, settings);
    addDataPathBindings(container, settings);
}

function addFoundationBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.Settings).toConstantValue(settings);
    container.bind(Keys.Clock).toDynamicValue(() => SystemClock.create());
    container.bind(Keys.LoopDelay).toDynamicValue(context => LoopDelay.create(context.get(Keys.Clock)));
    container.bind(Keys.Random).toDynamicValue(() => SeededRandom.create((Date.now() ^ process.pid) % seedRange));
    container.bind(Keys.Log).toDynamicValue(() => JsonEventLog.create(settings.name));
    container.bind(Keys.Metrics).toDynamicValue(() => GatewayMetrics.create());
    container.bind(Keys.ShutdownState).toConstantValue({ isLeaving: false });
}

/** Binds the node's view of configuration, endpoints, versions and peers, and the watches that update it. */
function addClusterStateBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.Configuration).toDynamicValue(() => ConfigurationHolder.create());
    container.bind(Keys.ConfigurationFollower).toDynamicValue(context =>
        ConfigurationFollower.create(context.get(Keys.Configuration), context.get(Keys.ConfigurationDecoder), context.get(Keys.Log))
    );
    container.bind(Keys.Directory).toDynamicValue(context => {
        const directory = EndpointDirectory.create(context.get(Keys.Clock));
        const configuration = context.get(Keys.Configuration);
        directory.setMemoryTokensSource(service => configuration.findService(service)?.engine?.memoryTokens ?? 0);
        return directory;
    });
    container.bind(Keys.Evacuations).toDynamicValue(context =>
        Evacuations.create(context.get(Keys.EvacuationPrefix), context.get(Keys.Log))
    );
    container.bind(Keys.EndpointFollower).toDynamicValue(context =>
        EndpointFollower.create(
            context.get(Keys.Directory),
            context.get(Keys.EndpointDecoder),
            context.get(Keys.Clock),
            context.get(Keys.Log),
        )
    );
    container.bind(Keys.Peers).toDynamicValue(context => {
        const clock = context.get(Keys.Clock);
        const identity = {
            name: settings.name,
            failureDomain: settings.failureDomain,
            address: formatAddress(settings.peersListen),
            incarnation: clock.getWallTime(),
            processor: settings.limits.processor,
        };
        return PeerTable.create(identity, clock, settings.timing.peerSilence);
    });
    container.bind(Keys.WatchPacing).toDynamicValue(context =>
        WatchScheduler.create(
            context.get(Keys.Peers),
            context.get(Keys.RelayPlan),
            context.get(Keys.StoreFollower),
            context.get(Keys.Clock),
            settings.timing.applyLimit,
        )
    );
    container.bind(Keys.Registry).toDynamicValue(context =>
        NodeRegistry.create(
            context.get(Keys.Store),
            context.get(Keys.Peers),
            context.get(Keys.Clock),
            context.get(Keys.Log),
            () => context.get(Keys.FleetRetryBudget).markFirstProcess(),
        )
    );
    container.bind(Keys.Versions).toDynamicValue(context =>
        VersionMoves.create(
            context.get(Keys.VersionMoveDecoder),
            context.get(Keys.Peers).identity,
            context.get(Keys.Clock),
            context.get(Keys.Log),
        )
    );
    container.bind(Keys.VersionTraffic).toDynamicValue(context =>
        VersionTraffic.create(context.get(Keys.Versions), context.get(Keys.Random), settings.versions.trialShare)
    );
    container.bind(Keys.Watches).toDynamicValue(context => {
        const store = context.get(Keys.Store);
        const clock = context.get(Keys.Clock);
        const log = context.get(Keys.Log);
        const configurationPrefix = `${context.get(Keys.ConfigurationDecoder).objectName.split("/")[0]}/`;
        const endpointFollower = context.get(Keys.EndpointFollower);
        const endpoints = ObjectWatcher.create(store, context.get(Keys.EndpointDecoder).prefix, endpointFollower, clock, log);
        endpointFollower.setOutageSource(() => endpoints.getOutageEndedAt());
        const plan = context.get(Keys.RelayPlan);
        const storeFollower = context.get(Keys.StoreFollower);
        const nodes = ObjectWatcher.create(store, nodePrefix, context.get(Keys.Registry), clock, log);
        endpoints.setBatchPauseSource(() =>
            settings.timing.applyLimit * (storeFollower.isFollowing() ? followerPauseShareOfApplyLimit : batchPauseShareOfApplyLimit)
        );
        nodes.setBatchPauseSource(() => nodeEntryPollMilliseconds);
        const quarantineFollower = QuarantineFollower.create(
            context.get(Keys.PoisonRequestDetector),
            context.get(Keys.Ledger),
            context.get(Keys.StoredQuarantines),
            context.get(Keys.QuarantineTrials),
            clock,
            log,
        );
        const watches = {
            configuration: ObjectWatcher.create(store, configurationPrefix, context.get(Keys.ConfigurationFollower), clock, log),
            endpoints,
            nodes,
            versions: ObjectWatcher.create(store, context.get(Keys.VersionMoveDecoder).prefix, context.get(Keys.Versions), clock, log),
            quarantines: ObjectWatcher.create(store, quarantinePrefix, quarantineFollower, clock, log),
            evacuations: settings.timing.evacuationLimit === undefined
                ? undefined
                : ObjectWatcher.create(store, context.get(Keys.EvacuationPrefix), context.get(Keys.Evacuations), clock, log),
        };
        const urgentWatches = [watches.configuration, endpoints, watches.evacuations].filter(watch => watch !== undefined);
        storeFollower.setOwnSource(() => Math.min(...urgentWatches.map(watch => watch.getConfirmedAt())));
        storeFollower.setAppliedSource(() => ({
            configuration: context.get(Keys.Configuration).getVersion(),
            directory: endpointFollower.getRevision(),
            evacuations: context.get(Keys.Evacuations).getRevision(),
        }));
        // The endpoints' entries are read on every node: a busy relay may tell of a drained endpoint too late.
        for (const watch of [watches.configuration, watches.evacuations]) {
            watch?.setSuspensionSource(() => storeFollower.isFollowing());
        }
        for (const watch of [watches.nodes, watches.versions, watches.quarantines]) {
            watch.setSuspensionSource(() => plan.isFollowingReader());
        }
        return watches;
    });
}

function createDirectoryFreshness(context: ResolutionContext, applyLimit: number): DirectoryFreshness {
    const clock = context.get(Keys.Clock);
    const follower = context.get(Keys.StoreFollower);
    const peers = context.get(Keys.Peers);
    const { endpoints } = context.get(Keys.Watches);
    const source = {
        getAge: () => Math.min(follower.getAge(), clock.getMonotonicTime() - endpoints.getConfirmedAt()),
        isReadable: () => endpoints.isSynchronized() || peers.listReachablePeers().some(peer => peer.isStoreReachable),
        renew: () => endpoints.renewWatch(),
    };
    return DirectoryFreshness.create(source, clock, context.get(Keys.Log), applyLimit);
}

function createRoomAdmission(context: ResolutionContext): RoomAdmission {
    const { serviceRoom } = context.get(Keys.Metrics);
    const peers = context.get(Keys.Peers);
    const work = context.get(Keys.ServiceWorkTracker);
    return RoomAdmission.create({
        clock: context.get(Keys.Clock),
        log: context.get(Keys.Log),
        speeds: context.get(Keys.EngineSpeeds),
        getWork: service => work.computeParts(service),
        getNodeCount: () => peers.countServingNodes(),
        reportRoom: (service, { asked, room, drainTime, isShort }) => {
            serviceRoom.set({ service, figure: "asked" }, asked);
            serviceRoom.set({ service, figure: "room" }, room);
            serviceRoom.set({ service, figure: "drain-time" }, drainTime);
            serviceRoom.set({ service, figure: "short" }, isShort ? 1 : 0);
        },
    });
}

function addPlacementBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.PlacementUpdates).toDynamicValue(() => PlacementUpdates.create());
    container.bind(Keys.ServiceWorkTracker).toDynamicValue(context => {
        const configuration = context.get(Keys.Configuration);
        const tracker = ServiceWorkTracker.create(context.get(Keys.Clock), settings.engines, context.get(Keys.EngineSpeeds));
        tracker.setSlotsSource(service => configuration.findService(service)?.engine?.slots ?? 1);
        return tracker;
    });
    container.bind(Keys.EngineSpeeds).toDynamicValue(context => {
        const metrics = context.get(Keys.Metrics);
        return EngineSpeeds.create(
            settings.engines,
            context.get(Keys.Log),
            (service, speed) => metrics.enginePromptSpeed.set({ service }, speed),
        );
    });
    container.bind(Keys.EnginePlacement).toDynamicValue(context => {
        const clock = context.get(Keys.Clock);
        const evacuations = context.get(Keys.Evacuations);
        return EnginePlacementPolicy.create(settings.engines, settings.failureDomain, () => clock.getMonotonicTime(), {
            isCopySource: endpoint => !evacuations.isEvacuated(endpoint.entry.failureDomain),
            speeds: context.get(Keys.EngineSpeeds),
        });
    });
    container.bind(Keys.CallPlacement).toDynamicValue(context => {
        const clock = context.get(Keys.Clock);
        return CallPlacementPolicy.create(settings.calls, settings.failureDomain, () => clock.getMonotonicTime());
    });
    container.bind(Keys.Chooser).toDynamicValue(context => {
        const configuration = context.get(Keys.Configuration);
        const peers = context.get(Keys.Peers);
        const engines = context.get(Keys.EnginePlacement);
        const calls = context.get(Keys.CallPlacement);
        return EndpointChooser.create(
            context.get(Keys.Directory),
            context.get(Keys.Clock),
            context.get(Keys.Random),
            service => (configuration.findService(service)?.engine === undefined ? calls : engines),
            service => Math.floor((configuration.findService(service)?.connectionLimit ?? 1) / peers.countServingNodes()),
            context.get(Keys.VersionTraffic),
            CombinedAdmission.create([
                context.get(Keys.HomeRegions),
                EvacuationAdmission.create(context.get(Keys.Evacuations)),
                context.get(Keys.BrittleEndpoints),
                context.get(Keys.WarmingEndpoints),
            ]),
            settings.admission.isByRoom ? createRoomAdmission(context) : undefined,
        );
    });
    container.bind(Keys.BrittleEndpoints).toDynamicValue(context => {
        const peers = context.get(Keys.Peers);
        return BrittleEndpoints.create(() => peers.countServingNodes());
    });
    container.bind(Keys.HomeRegions).toDynamicValue(() => {
        const regions = new Map(settings.regions.map(({ failureDomain, region }) => [failureDomain, region]));
        return HomeRegions.create(settings.failureDomain, regions);
    });
    container.bind(Keys.WarmingEndpoints).toDynamicValue(context => {
        const configuration = context.get(Keys.Configuration);
        const peers = context.get(Keys.Peers);
        const metrics = context.get(Keys.Metrics);
        return WarmingEndpoints.create({
            clock: context.get(Keys.Clock),
            random: context.get(Keys.Random),
            log: context.get(Keys.Log),
            settings: settings.warmUp,
            membership: { name: settings.name, listPeerNames: () => peers.listSenderNames() },
            findTraits: service => configuration.findService(service)?.warmUp,
            countRequest: (service, outcome) => metrics.warmUpRequests.inc({ service, outcome }),
        });
    });
}

function addDataPathBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.SharedRateLimiter).toDynamicValue(context => SharedRateLimiter.create(context.get(Keys.Clock), settings.caps));
    container.bind(Keys.FleetRetryBudget).toDynamicValue(context => FleetRetryBudget.create(context.get(Keys.Clock), settings.retries));
    container.bind(Keys.Hedging).toDynamicValue(context => HedgingPolicy.create(settings.hedging, context.get(Keys.Clock)));
    container.bind(Keys.Ledger).toDynamicValue(context => QuarantineLedger.create(context.get(Keys.Clock), settings.timing.quarantineTerm));
    container.bind(Keys.PoisonRequestDetector).toDynamicValue(context => {
        const versions = context.get(Keys.Versions);
        return PoisonRequestDetector.create(
            context.get(Keys.Ledger),
            context.get(Keys.StoredQuarantines),
            context.get(Keys.QuarantineTrials),
            context.get(Keys.CrashCheck),
            context.get(Keys.Clock),
            context.get(Keys.Log),
            entry => versions.isReplaced(entry),
        );
    });
    container.bind(Keys.Connector).toDynamicValue(() => TcpEndpointConnector.create());
    container.bind(Keys.Probe).toDynamicValue(context =>
        TcpConnectionProbe.create(context.get(Keys.Connector), settings.timing.connectTimeout)
    );
    container.bind(Keys.ServicePaths).toDynamicValue(context =>
        ServicePathTracker.create(context.get(Keys.Directory), context.get(Keys.Log))
    );
    container.bind(Keys.PathProber).toDynamicValue(context =>
        ServicePathProber.create(
            context.get(Keys.ServicePaths),
            context.get(Keys.Directory),
            context.get(Keys.Probe),
            context.get(Keys.Clock),
            context.get(Keys.Random),
            context.get(Keys.Evacuations),
        )
    );
    container.bind(Keys.CrashCheck).toDynamicValue(context =>
        EndpointCrashCheck.create(
            context.get(Keys.Probe),
            context.get(Keys.Directory),
            context.get(Keys.Clock),
            context.get(Keys.Random),
        )
    );
    container.bind(Keys.StoredQuarantines).toDynamicValue(context => {
        const holder = formatIncarnationKey(context.get(Keys.Peers).identity);
        return StoredQuarantines.create(context.get(Keys.Store), context.get(Keys.Clock), context.get(Keys.Log), holder);
    });
    container.bind(Keys.QuarantineTrials).toDynamicValue(context =>
        QuarantineTrials.create(context.get(Keys.StoredQuarantines), context.get(Keys.Clock), context.get(Keys.Log))
    );
    container.bind(Keys.Connections).toDynamicValue(context =>
        EndpointConnectionPool.create(context.get(Keys.Connector), context.get(Keys.Clock), context.get(Keys.Log))
    );
    container.bind(Keys.DirectoryFreshness).toDynamicValue(context => createDirectoryFreshness(context, settings.timing.applyLimit));
    container.bind(Keys.Forwarder).toDynamicValue(context => {
        const protocol = context.get(Keys.Protocol);
        return CallForwarder.create({
            clock: context.get(Keys.Clock),
            log: context.get(Keys.Log),
            protocol,
            headers: HeaderForwarder.create(protocol),
            connections: context.get(Keys.Connections),
            directory: context.get(Keys.Directory),
            callPlacement: context.get(Keys.CallPlacement),
            chooser: context.get(Keys.Chooser),
            retryBudget: context.get(Keys.FleetRetryBudget),
            freshness: context.get(Keys.DirectoryFreshness),
            hedging: context.get(Keys.Hedging),
            metrics: context.get(Keys.Metrics),
            usage: context.get(Keys.Usage),
            poisonRequestDetector: context.get(Keys.PoisonRequestDetector),
            crashCheck: context.get(Keys.CrashCheck),
            paths: context.get(Keys.ServicePaths),
            brittleEndpoints: context.get(Keys.BrittleEndpoints),
            warmingEndpoints: context.get(Keys.WarmingEndpoints),
            engineSpeeds: context.get(Keys.EngineSpeeds),
            pathProber: context.get(Keys.PathProber),
            placementUpdates: context.get(Keys.PlacementUpdates),
            work: context.get(Keys.ServiceWorkTracker),
            versions: context.get(Keys.Versions),
            evacuations: context.get(Keys.Evacuations),
            timing: settings.timing,
            peers: context.get(Keys.PeerForwarder),
            configuration: context.get(Keys.Configuration),
        });
    });
    container.bind(Keys.Reader).toDynamicValue(context =>
        CallReader.create(
            context.get(Keys.Protocol),
            context.get(Keys.Clock),
            context.get(Keys.Random),
            context.get(Keys.Tracing),
        )
    );
    container.bind(Keys.Bodies).toDynamicValue(context => {
        const budget = BodyBudget.create(settings.limits.bodyMemory);
        context.get(Keys.Metrics).observeBodies(budget);
        return BodyReader.create(budget, context.get(Keys.Clock));
    });
    container.bind(Keys.Server).toDynamicValue(context => {
        const protocol = context.get(Keys.Protocol);
        const clock = context.get(Keys.Clock);
        return GatewayServer.create({
            clock,
            loopDelay: context.get(Keys.LoopDelay),
            log: context.get(Keys.Log),
            metrics: context.get(Keys.Metrics),
            configuration: context.get(Keys.Configuration),
            reader: context.get(Keys.Reader),
            bodies: context.get(Keys.Bodies),
            forwarder: context.get(Keys.Forwarder),
            caps: context.get(Keys.SharedRateLimiter),
            connectionLimit: settings.limits.callerConnections,
            retryAfterHeader: protocol.retryAfter,
            attemptIdHeader: protocol.attemptId,
        });
    });
}
