import { Container } from "inversify";
import { GatewaySettings } from "../../config/gatewaySettings.js";
import { GatewayMetrics } from "../../gateway/gatewayMetrics.js";
import { ConnectPeerCallClient } from "../../gateway/peerCallClient.js";
import { PeerCallServer } from "../../gateway/peerCallServer.js";
import { PeerForwarder } from "../../gateway/peerForwarder.js";
import { GatewayPeerService } from "../../generated/corianderward/gateway/v1/gateway_pb.js";
import { FleetSummaryAggregator } from "../../gossip/fleetSummaryAggregator.js";
import { GatewayDigestHandler } from "../../gossip/gatewayDigestHandler.js";
import { ConnectGossipClient, exchangeTimeoutMilliseconds } from "../../gossip/gossipClient.js";
import { GossipExchange } from "../../gossip/gossipExchange.js";
import { PeerLoadTracker } from "../../gossip/peerLoadTracker.js";
import { RelaySelector } from "../../gossip/relaySelector.js";
import { StoreFollower } from "../../gossip/storeFollower.js";
import { PeerSessions } from "../../peers/peerSessions.js";
import { GatewayKeys as Keys } from "../gatewayKeys.js";

/** Binds the gossip exchange, its content and the relay plan. */
export function addPeerBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.GossipLink).toDynamicValue(context => {
        return ConnectGossipClient.create(createPeerSessions(context.get(Keys.Metrics), exchangeTimeoutMilliseconds));
    });
    addPeerCallBindings(container, settings);
    container.bind(Keys.RelayPlan).toDynamicValue(context => RelaySelector.create(context.get(Keys.Peers)));
    container.bind(Keys.StoreFollower).toDynamicValue(context =>
        StoreFollower.create(context.get(Keys.RelayPlan), context.get(Keys.Clock), settings.timing.applyLimit)
    );
    container.bind(Keys.SharedLoads).toDynamicValue(context =>
        PeerLoadTracker.create(context.get(Keys.Directory), context.get(Keys.Clock))
    );
    container.bind(Keys.FleetSums).toDynamicValue(context =>
        FleetSummaryAggregator.create({
            clock: context.get(Keys.Clock),
            table: context.get(Keys.Peers),
            plan: context.get(Keys.RelayPlan),
            caps: context.get(Keys.SharedRateLimiter),
            work: context.get(Keys.ServiceWorkTracker),
            loads: context.get(Keys.SharedLoads),
        })
    );
    container.bind(Keys.Gossip).toDynamicValue(context => {
        const watches = context.get(Keys.Watches);
        const shutdownState = context.get(Keys.ShutdownState);
        const content = GatewayDigestHandler.create({
            clock: context.get(Keys.Clock),
            log: context.get(Keys.Log),
            store: context.get(Keys.Store),
            table: context.get(Keys.Peers),
            configuration: context.get(Keys.Configuration),
            configurationFollower: context.get(Keys.ConfigurationFollower),
            directory: context.get(Keys.Directory),
            paths: context.get(Keys.ServicePaths),
            endpointFollower: context.get(Keys.EndpointFollower),
            watches: [watches.configuration, watches.endpoints],
            news: context.get(Keys.PlacementUpdates),
            caps: context.get(Keys.SharedRateLimiter),
            allowance: context.get(Keys.FleetRetryBudget),
            usage: context.get(Keys.Usage),
            usageLedger: context.get(Keys.UsageLedger),
            work: context.get(Keys.ServiceWorkTracker),
            engineSpeeds: context.get(Keys.EngineSpeeds),
            lease: context.get(Keys.Lease),
            ledger: context.get(Keys.Ledger),
            trials: context.get(Keys.QuarantineTrials),
            poisonRequestDetector: context.get(Keys.PoisonRequestDetector),
            versions: context.get(Keys.Versions),
            evacuations: context.get(Keys.Evacuations),
            plan: context.get(Keys.RelayPlan),
            storeFollower: context.get(Keys.StoreFollower),
            loads: context.get(Keys.SharedLoads),
            sums: context.get(Keys.FleetSums),
            loopDelay: context.get(Keys.LoopDelay),
            getIsLeaving: () => shutdownState.isLeaving,
        });
        return GossipExchange.create(
            context.get(Keys.Peers),
            context.get(Keys.GossipLink),
            content,
            context.get(Keys.RelayPlan),
            context.get(Keys.Clock),
            settings.timing.gossipInterval,
            context.get(Keys.Log),
        );
    });
}

/** Binds the hand-over of calls between nodes, in both directions. */
function addPeerCallBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.PeerCallClient).toDynamicValue(context =>
        ConnectPeerCallClient.create(createPeerSessions(context.get(Keys.Metrics), settings.timing.connectTimeout))
    );
    container.bind(Keys.PeerForwarder).toDynamicValue(context =>
        PeerForwarder.create(
            context.get(Keys.PeerCallClient),
            context.get(Keys.Peers),
            context.get(Keys.Random),
            context.get(Keys.HomeRegions),
        )
    );
    container.bind(Keys.PeerCallServer).toDynamicValue(context => {
        const shutdownState = context.get(Keys.ShutdownState);
        return PeerCallServer.create({
            clock: context.get(Keys.Clock),
            log: context.get(Keys.Log),
            configuration: context.get(Keys.Configuration),
            reader: context.get(Keys.Reader),
            bodies: context.get(Keys.Bodies).budget,
            forwarder: context.get(Keys.Forwarder),
            getIsLeaving: () => shutdownState.isLeaving,
        });
    });
}

function createPeerSessions(metrics: GatewayMetrics, connectTimeout: number): PeerSessions<typeof GatewayPeerService> {
    return PeerSessions.create(GatewayPeerService, undefined, {
        recordUnresponsivePeer: () => metrics.peerExchanges.inc({ outcome: "silence" }),
        recordSessionError: () => metrics.peerExchanges.inc({ outcome: "session-error" }),
    }, connectTimeout);
}
