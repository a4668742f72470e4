import { ServiceIdentifier } from "inversify";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { RandomSource } from "../common/random.js";
import { GatewaySettings } from "../config/gatewaySettings.js";
import { DutyLease } from "../duties/dutyLease.js";
import { DutyRunner } from "../duties/dutyRunner.js";
import { DutyApi } from "../duties/types.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { EndpointDecoder, EndpointFollower } from "../fleet/endpointFollower.js";
import { CallForwarder } from "../gateway/callForwarder.js";
import { CallProtocol } from "../gateway/callProtocol.js";
import { CrashWatch } from "../gateway/crashWatch.js";
import { EndpointConnections } from "../gateway/endpointConnections.js";
import { GatewayMetrics } from "../gateway/gatewayMetrics.js";
import { GatewayServer } from "../gateway/gatewayServer.js";
import { HopTracing } from "../gateway/hopTracing.js";
import { FleetSums } from "../gossip/fleetSums.js";
import { GossipExchange } from "../gossip/gossipExchange.js";
import { GossipLink } from "../gossip/gossipLink.js";
import { NodeRegistry } from "../gossip/nodeRegistry.js";
import { PeerTable } from "../gossip/peerTable.js";
import { RelayPlan } from "../gossip/relayPlan.js";
import { SharedLoads } from "../gossip/sharedLoads.js";
import { WatchPacing } from "../gossip/watchPacing.js";
import { CallPlacement } from "../placement/callPlacement.js";
import { EndpointChooser } from "../placement/endpointChooser.js";
import { EnginePlacement } from "../placement/enginePlacement.js";
import { PlacementNews } from "../placement/placementNews.js";
import { WorkMeter } from "../placement/workMeter.js";
import { ObjectFollower } from "../provider/objectFollower.js";
import { ObjectStore } from "../provider/objectStore.js";
import { RetryAllowance } from "../quotas/retryAllowance.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { ConfigurationDecoder, ConfigurationFollower } from "../routes/configurationFollower.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { MoveAccountStore, VersionMoveDecoder } from "../versions/types.js";
import { VersionMoves } from "../versions/versionMoves.js";
import { VersionTraffic } from "../versions/versionTraffic.js";

function createKey<T>(name: string): ServiceIdentifier<T> {
    return Symbol.for(`corianderward.gateway.${name}`);
}

/** Followers of the object store prefixes that a gateway watches. */
export interface GatewayWatches {
    readonly configuration: ObjectFollower;
    readonly endpoints: ObjectFollower;
    readonly nodes: ObjectFollower;
    readonly versions: ObjectFollower;
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
    MoveAccounts: createKey<MoveAccountStore>("MoveAccounts"),
    // Bound the same way in every kind of deployment.
    Versions: createKey<VersionMoves>("Versions"),
    VersionTraffic: createKey<VersionTraffic>("VersionTraffic"),
    Configuration: createKey<ConfigurationHolder>("Configuration"),
    ConfigurationFollower: createKey<ConfigurationFollower>("ConfigurationFollower"),
    Directory: createKey<EndpointDirectory>("Directory"),
    EndpointFollower: createKey<EndpointFollower>("EndpointFollower"),
    Watches: createKey<GatewayWatches>("Watches"),
    Pacing: createKey<WatchPacing>("WatchPacing"),
    Peers: createKey<PeerTable>("Peers"),
    RelayPlan: createKey<RelayPlan>("RelayPlan"),
    SharedLoads: createKey<SharedLoads>("SharedLoads"),
    FleetSums: createKey<FleetSums>("FleetSums"),
    Registry: createKey<NodeRegistry>("Registry"),
    GossipLink: createKey<GossipLink>("GossipLink"),
    Gossip: createKey<GossipExchange>("Gossip"),
    SharedRateLimiter: createKey<SharedRateLimiter>("SharedRateLimiter"),
    FleetRetryBudget: createKey<RetryAllowance>("FleetRetryBudget"),
    Ledger: createKey<QuarantineLedger>("Ledger"),
    Usage: createKey<UsageCounter>("Usage"),
    UsageLedger: createKey<UsageLedger>("UsageLedger"),
    ServiceWorkTracker: createKey<WorkMeter>("ServiceWorkTracker"),
    PlacementUpdates: createKey<PlacementNews>("PlacementUpdates"),
    EnginePlacement: createKey<EnginePlacement>("EnginePlacement"),
    CallPlacement: createKey<CallPlacement>("CallPlacement"),
    Chooser: createKey<EndpointChooser>("Chooser"),
    PoisonRequestDetector: createKey<CrashWatch>("PoisonRequestDetector"),
    Connections: createKey<EndpointConnections>("Connections"),
    Forwarder: createKey<CallForwarder>("Forwarder"),
    Server: createKey<GatewayServer>("Server"),
    Lease: createKey<DutyLease>("Lease"),
    Duties: createKey<DutyRunner>("Duties"),
    ShutdownState: createKey<{ isLeaving: boolean; }>("ShutdownState"),
};
