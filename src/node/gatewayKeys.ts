import { ServiceIdentifier } from "inversify";
import { BodyReader } from "../common/bodyReader.js";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LoopDelay } from "../common/loopDelay.js";
import { RandomSource } from "../common/random.js";
import { GatewaySettings } from "../config/gatewaySettings.js";
import { DutyLease } from "../duties/dutyLease.js";
import { DutyRunner } from "../duties/dutyRunner.js";
import { DutyApi } from "../duties/types.js";
import { ConnectionProbe } from "../endpoints/connectionProbe.js";
import { EndpointConnector } from "../endpoints/endpointConnector.js";
import { DirectoryFreshness } from "../fleet/directoryFreshness.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { EndpointDecoder, EndpointFollower } from "../fleet/endpointFollower.js";
import { Evacuations } from "../fleet/evacuations.js";
import { ServicePathTracker } from "../fleet/servicePathTracker.js";
import { CallForwarder } from "../gateway/callForwarder.js";
import { CallProtocol } from "../gateway/callProtocol.js";
import { CallReader } from "../gateway/callReader.js";
import { EndpointConnectionPool } from "../gateway/endpointConnectionPool.js";
import { EndpointCrashCheck } from "../gateway/endpointCrashCheck.js";
import { GatewayMetrics } from "../gateway/gatewayMetrics.js";
import { GatewayServer } from "../gateway/gatewayServer.js";
import { HedgingPolicy } from "../gateway/hedgingPolicy.js";
import { HopTracing } from "../gateway/hopTracing.js";
import { PeerCallClient } from "../gateway/peerCallClient.js";
import { PeerCallServer } from "../gateway/peerCallServer.js";
import { PeerForwarder } from "../gateway/peerForwarder.js";
import { PoisonRequestDetector } from "../gateway/poisonRequestDetector.js";
import { QuarantineTrials } from "../gateway/quarantineTrials.js";
import { ServicePathProber } from "../gateway/servicePathProber.js";
import { StoredQuarantines } from "../gateway/storedQuarantines.js";
import { FleetSummaryAggregator } from "../gossip/fleetSummaryAggregator.js";
import { GossipClient } from "../gossip/gossipClient.js";
import { GossipExchange } from "../gossip/gossipExchange.js";
import { NodeRegistry } from "../gossip/nodeRegistry.js";
import { PeerLoadTracker } from "../gossip/peerLoadTracker.js";
import { PeerTable } from "../gossip/peerTable.js";
import { RelaySelector } from "../gossip/relaySelector.js";
import { StoreFollower } from "../gossip/storeFollower.js";
import { WatchScheduler } from "../gossip/watchScheduler.js";
import { BrittleEndpoints } from "../placement/brittleEndpoints.js";
import { CallPlacementPolicy } from "../placement/callPlacementPolicy.js";
import { EndpointChooser } from "../placement/endpointChooser.js";
import { EnginePlacementPolicy } from "../placement/enginePlacementPolicy.js";
import { EngineSpeeds } from "../placement/engineSpeeds.js";
import { HomeRegions } from "../placement/homeRegions.js";
import { PlacementUpdates } from "../placement/placementUpdates.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { WarmingEndpoints } from "../placement/warmingEndpoints.js";
import { ObjectStore } from "../provider/objectStore.js";
import { ObjectWatcher } from "../provider/objectWatcher.js";
import { FleetRetryBudget } from "../quotas/fleetRetryBudget.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { ConfigurationDecoder, ConfigurationFollower } from "../routes/configurationFollower.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { VersionMoveDecoder, VersionMoveStatusStore } from "../versions/types.js";
import { VersionMoves } from "../versions/versionMoves.js";
import { VersionTraffic } from "../versions/versionTraffic.js";

function createKey<T>(name: string): ServiceIdentifier<T> {
    return Symbol.for(`corianderward.gateway.${name}`);
}

/** Followers of the object store prefixes that a gateway watches. */
export interface GatewayWatches {
    readonly configuration: ObjectWatcher;
    readonly endpoints: ObjectWatcher;
    readonly nodes: ObjectWatcher;
    readonly versions: ObjectWatcher;
    readonly quarantines: ObjectWatcher;
    /** Undefined if operators order no evacuations. */
    readonly evacuations: ObjectWatcher | undefined;
}

/** Dependency injection keys of a gateway. */
export const GatewayKeys = {
    Settings: createKey<GatewaySettings>("Settings"),
    Clock: createKey<Clock>("Clock"),
    Random: createKey<RandomSource>("Random"),
    Log: createKey<EventLog>("Log"),
    Tracing: createKey<HopTracing>("Tracing"),
    Metrics: createKey<GatewayMetrics>("Metrics"),
    // Bound by each kind of deployment.
    Store: createKey<ObjectStore>("Store"),
    DutyApi: createKey<DutyApi | undefined>("DutyApi"),
    Protocol: createKey<CallProtocol>("Protocol"),
    ConfigurationDecoder: createKey<ConfigurationDecoder>("ConfigurationDecoder"),
    EndpointDecoder: createKey<EndpointDecoder>("EndpointDecoder"),
    VersionMoveDecoder: createKey<VersionMoveDecoder>("VersionMoveDecoder"),
    EvacuationPrefix: createKey<string>("EvacuationPrefix"),
    MoveAccounts: createKey<VersionMoveStatusStore>("MoveAccounts"),
    // Bound the same way in every kind of deployment.
    Versions: createKey<VersionMoves>("Versions"),
    VersionTraffic: createKey<VersionTraffic>("VersionTraffic"),
    Configuration: createKey<ConfigurationHolder>("Configuration"),
    ConfigurationFollower: createKey<ConfigurationFollower>("ConfigurationFollower"),
    Directory: createKey<EndpointDirectory>("Directory"),
    Evacuations: createKey<Evacuations>("Evacuations"),
    EndpointFollower: createKey<EndpointFollower>("EndpointFollower"),
    Watches: createKey<GatewayWatches>("Watches"),
    WatchPacing: createKey<WatchScheduler>("WatchPacing"),
    Peers: createKey<PeerTable>("Peers"),
    RelayPlan: createKey<RelaySelector>("RelayPlan"),
    StoreFollower: createKey<StoreFollower>("StoreFollower"),
    DirectoryFreshness: createKey<DirectoryFreshness>("DirectoryFreshness"),
    SharedLoads: createKey<PeerLoadTracker>("SharedLoads"),
    FleetSums: createKey<FleetSummaryAggregator>("FleetSums"),
    Registry: createKey<NodeRegistry>("Registry"),
    GossipLink: createKey<GossipClient>("GossipLink"),
    Gossip: createKey<GossipExchange>("Gossip"),
    SharedRateLimiter: createKey<SharedRateLimiter>("SharedRateLimiter"),
    FleetRetryBudget: createKey<FleetRetryBudget>("FleetRetryBudget"),
    Hedging: createKey<HedgingPolicy>("Hedging"),
    Ledger: createKey<QuarantineLedger>("Ledger"),
    Usage: createKey<UsageCounter>("Usage"),
    UsageLedger: createKey<UsageLedger>("UsageLedger"),
    ServiceWorkTracker: createKey<ServiceWorkTracker>("ServiceWorkTracker"),
    PlacementUpdates: createKey<PlacementUpdates>("PlacementUpdates"),
    EngineSpeeds: createKey<EngineSpeeds>("EngineSpeeds"),
    EnginePlacement: createKey<EnginePlacementPolicy>("EnginePlacement"),
    CallPlacement: createKey<CallPlacementPolicy>("CallPlacement"),
    BrittleEndpoints: createKey<BrittleEndpoints>("BrittleEndpoints"),
    HomeRegions: createKey<HomeRegions>("HomeRegions"),
    WarmingEndpoints: createKey<WarmingEndpoints>("WarmingEndpoints"),
    Chooser: createKey<EndpointChooser>("Chooser"),
    StoredQuarantines: createKey<StoredQuarantines>("StoredQuarantines"),
    QuarantineTrials: createKey<QuarantineTrials>("QuarantineTrials"),
    Connector: createKey<EndpointConnector>("Connector"),
    Probe: createKey<ConnectionProbe>("Probe"),
    ServicePaths: createKey<ServicePathTracker>("ServicePaths"),
    PathProber: createKey<ServicePathProber>("PathProber"),
    CrashCheck: createKey<EndpointCrashCheck>("CrashCheck"),
    PoisonRequestDetector: createKey<PoisonRequestDetector>("PoisonRequestDetector"),
    Connections: createKey<EndpointConnectionPool>("Connections"),
    Forwarder: createKey<CallForwarder>("Forwarder"),
    Reader: createKey<CallReader>("Reader"),
    Bodies: createKey<BodyReader>("Bodies"),
    PeerCallClient: createKey<PeerCallClient>("PeerCallClient"),
    PeerForwarder: createKey<PeerForwarder>("PeerForwarder"),
    PeerCallServer: createKey<PeerCallServer>("PeerCallServer"),
    LoopDelay: createKey<LoopDelay>("LoopDelay"),
    Server: createKey<GatewayServer>("Server"),
    Lease: createKey<DutyLease>("Lease"),
    Duties: createKey<DutyRunner>("Duties"),
    ShutdownState: createKey<{ isLeaving: boolean; }>("ShutdownState"),
};
