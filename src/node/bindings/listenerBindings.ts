import { Container } from "inversify";
import { CallerServer } from "../../callers/callerServer.js";
import { AcceptanceGate } from "../../callers/types.js";
import { BodyBudget, computeBodyCapacity } from "../../common/bodyBudget.js";
import { observeBodyBudget } from "../../common/bodyMetrics.js";
import { BodyReader } from "../../common/bodyReader.js";
import { NodeSettings } from "../../config/types.js";
import { OperatorServer } from "../../operators/operatorServer.js";
import { ReadinessSource } from "../../operators/types.js";
import { PeerServer } from "../../peers/peerServer.js";
import { Keys } from "../keys.js";
import { NodeGate } from "../nodeGate.js";
import { NodePeerHandler } from "../nodePeerHandler.js";

/** Binds the servers for callers, peers and operators, and the gate that controls them. */
export function addListenerBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.Gate).toDynamicValue(context =>
        NodeGate.create(context.get(Keys.Configuration), context.get(Keys.HostListSynchronizer))
    );
    container.bind(Keys.PeerHandler).toDynamicValue(context =>
        NodePeerHandler.create({
            clock: context.get(Keys.Clock),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            digests: context.get(Keys.Digests),
            replicator: context.get(Keys.SharedObjectReplicator),
            service: context.get(Keys.Service),
            table: context.get(Keys.Table),
            plainCalls: context.get(Keys.PlainCalls),
            gate: context.get(Keys.Gate) as AcceptanceGate,
            notifier: context.get(Keys.Exchange),
        })
    );
    container.bind(Keys.PeerServer).toDynamicValue(context => PeerServer.create(context.get(Keys.PeerHandler), context.get(Keys.Tls)));
    container.bind(Keys.Bodies).toDynamicValue(context => {
        const budget = BodyBudget.create(computeBodyCapacity(settings.limits.memoryBytes));
        observeBodyBudget(context.get(Keys.Metrics).registry, budget);
        return BodyReader.create(budget, context.get(Keys.Clock));
    });
    container.bind(Keys.CallerServer).toDynamicValue(context =>
        CallerServer.create({
            clock: context.get(Keys.Clock),
            logger: context.get(Keys.Logger),
            metrics: context.get(Keys.Metrics),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            limits: settings.limits,
            bodies: context.get(Keys.Bodies),
            limiter: context.get(Keys.Limiter),
            service: context.get(Keys.Service),
            requestTable: context.get(Keys.Table),
            drafts: context.get(Keys.Drafts),
            plainCalls: context.get(Keys.PlainCalls),
            remoteRequests: context.get(Keys.PeerRequests),
            gate: context.get(Keys.Gate),
        })
    );
    container.bind(Keys.OperatorServer).toDynamicValue(context =>
        OperatorServer.create({
            clock: context.get(Keys.Clock),
            metrics: context.get(Keys.Metrics),
            configuration: context.get(Keys.Configuration),
            directory: context.get(Keys.Directory),
            link: context.get(Keys.PeerLink),
            store: context.get(Keys.ObjectStore),
            registry: context.get(Keys.Registry),
            admission: context.get(Keys.Admission),
            table: context.get(Keys.Table),
            readiness: context.get(Keys.Gate) as ReadinessSource,
            moves: context.get(Keys.MoveController),
            moveOperations: context.get(Keys.MoveOperations),
            clocks: context.get(Keys.ClockMonitor),
            operatorTokenHash: settings.operatorTokenHash,
        })
    );
}
