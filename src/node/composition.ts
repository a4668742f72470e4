import "reflect-metadata";
import { Container, ResolutionContext, ServiceIdentifier } from "inversify";
import { CallerServer } from "../callers/callerServer.js";
import { AcceptanceGate } from "../callers/types.js";
import { Clock, SystemClock } from "../common/clock.js";
import { createJsonLogger, Logger } from "../common/logging.js";
import { Metrics } from "../common/metrics.js";
import { RandomSource, SeededRandom } from "../common/random.js";
import { Tracing } from "../common/tracing.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { leasePrefix } from "../config/objectNames.js";
import { NodeSettings } from "../config/types.js";
import { ConfigurationConsumer } from "../control/commands/configurationConsumer.js";
import { DomainDuty } from "../control/commands/domainDuty.js";
import { HostListKeeper } from "../control/commands/hostListKeeper.js";
import { LeaseKeeper } from "../control/commands/leaseKeeper.js";
import { OrderSender } from "../control/commands/orderSender.js";
import { QuarantineKeeper } from "../control/commands/quarantineKeeper.js";
import { SharedObjectKeeper } from "../control/commands/sharedObjectKeeper.js";
import { ClockMonitor } from "../control/moves/clockMonitor.js";
import { MoveDuty } from "../control/moves/moveDuty.js";
import { MoveKeeper } from "../control/moves/moveKeeper.js";
import { MoveOperations } from "../control/moves/moveOperations.js";
import { SharedObjects } from "../control/sharedObjects.js";
import { HttpModelEndpointClient } from "../endpoints/httpModelEndpoint.js";
import { ModelEndpointClient } from "../endpoints/modelEndpoint.js";
import { HttpPlainEndpointClient, PlainEndpointClient } from "../endpoints/plainEndpoint.js";
import { OperatorServer } from "../operators/operatorServer.js";
import { ReadinessSource } from "../operators/types.js";
import { ConnectPeerLink } from "../peers/connectPeerLink.js";
import { ExchangeLoop } from "../peers/exchangeLoop.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { PeerServer } from "../peers/peerServer.js";
import { TlsMaterial } from "../peers/tlsMaterial.js";
import { PeerHandler, PeerLink, UrgentNotifier } from "../peers/types.js";
import { Cloud, HttpCloud } from "../platform/cloud.js";
import { HostList, HttpHostList } from "../platform/hostList.js";
import { HttpObjectStore } from "../platform/httpObjectStore.js";
import { ObjectStore } from "../platform/objectStore.js";
import { HttpWeightStore, WeightStore } from "../platform/weightStore.js";
import { AdmissionQueue } from "../requests/commands/admissionQueue.js";
import { ClaimStore } from "../requests/commands/claimStore.js";
import { DraftStore } from "../requests/commands/draftStore.js";
import { EndpointProbe } from "../requests/commands/endpointProbe.js";
import { HandOver } from "../requests/commands/handOver.js";
import { LoadObserver } from "../requests/commands/loadObserver.js";
import { ModelRequestRunner } from "../requests/commands/modelRequestRunner.js";
import { PlainCallRunner } from "../requests/commands/plainCallRunner.js";
import { ShadowRunner } from "../requests/commands/shadowRunner.js";
import { StreamMover } from "../requests/commands/streamMover.js";
import { TeamLimiter } from "../requests/commands/teamLimiter.js";
import { EndpointRegistry } from "../requests/endpointRegistry.js";
import { PrefixIndex } from "../requests/prefixIndex.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { EndpointSelector, WeightedSelector } from "../requests/queries/endpointSelector.js";
import { RequestService } from "../requests/requestService.js";
import { RequestTable } from "../requests/requestTable.js";
import { RetryBudget } from "../requests/retryBudget.js";
import { SuspectLanes } from "../requests/suspectLanes.js";
import { NodeDigests } from "./nodeDigests.js";
import { NodeGate } from "./nodeGate.js";
import { NodePeerHandler } from "./nodePeerHandler.js";
import { PeerRequests } from "./peerRequests.js";

/** Longest time in which a write takes effect or never does, in multiples of the platform timeout. */
const writeSettleFactor = 2;

function createKey<T>(name: string): ServiceIdentifier<T> {
    return Symbol.for(`corianderward.${name}`);
}

/** The names under which the parts of a node are bound. */
export const Keys = {
    Settings: createKey<NodeSettings>("Settings"),
    Clock: createKey<Clock>("Clock"),
    Random: createKey<RandomSource>("Random"),
    Logger: createKey<Logger>("Logger"),
    Metrics: createKey<Metrics>("Metrics"),
    Tracing: createKey<Tracing>("Tracing"),
    Configuration: createKey<ConfigurationSet>("Configuration"),
    ObjectStore: createKey<ObjectStore>("ObjectStore"),
    HostList: createKey<HostList>("HostList"),
    Cloud: createKey<Cloud | undefined>("Cloud"),
    Tls: createKey<TlsMaterial | undefined>("Tls"),
    PeerLink: createKey<PeerLink>("PeerLink"),
    Directory: createKey<MemberDirectory>("Directory"),
    Registry: createKey<EndpointRegistry>("Registry"),
    Ledger: createKey<QuarantineLedger>("Ledger"),
    Limiter: createKey<TeamLimiter>("Limiter"),
    Digests: createKey<NodeDigests>("Digests"),
    Exchange: createKey<ExchangeLoop>("Exchange"),
    HostListKeeper: createKey<HostListKeeper>("HostListKeeper"),
    SharedObjectKeeper: createKey<SharedObjectKeeper>("SharedObjectKeeper"),
    ModelClient: createKey<ModelEndpointClient>("ModelClient"),
    PlainClient: createKey<PlainEndpointClient>("PlainClient"),
    PrefixIndex: createKey<PrefixIndex>("PrefixIndex"),
    Selector: createKey<EndpointSelector>("Selector"),
    Admission: createKey<AdmissionQueue>("Admission"),
    Probe: createKey<EndpointProbe>("Probe"),
    Budget: createKey<RetryBudget>("Budget"),
    Claims: createKey<ClaimStore>("Claims"),
    Drafts: createKey<DraftStore>("Drafts"),
    Table: createKey<RequestTable>("Table"),
    WeightStore: createKey<WeightStore | undefined>("WeightStore"),
    Objects: createKey<SharedObjects>("Objects"),
    ConfigurationConsumer: createKey<ConfigurationConsumer>("ConfigurationConsumer"),
    QuarantineKeeper: createKey<QuarantineKeeper>("QuarantineKeeper"),
    Clocks: createKey<ClockMonitor>("Clocks"),
    Moves: createKey<MoveKeeper>("Moves"),
    MoveDuty: createKey<MoveDuty>("MoveDuty"),
    MoveOperations: createKey<MoveOperations>("MoveOperations"),
    DomainLease: createKey<LeaseKeeper>("DomainLease"),
    FleetLease: createKey<LeaseKeeper>("FleetLease"),
    DomainDuty: createKey<DomainDuty>("DomainDuty"),
    ModelRunner: createKey<ModelRequestRunner>("ModelRunner"),
    PlainCalls: createKey<PlainCallRunner>("PlainCalls"),
    Service: createKey<RequestService>("Service"),
    PeerRequests: createKey<PeerRequests>("PeerRequests"),
    LoadObserver: createKey<LoadObserver>("LoadObserver"),
    StreamMover: createKey<StreamMover>("StreamMover"),
    HandOver: createKey<HandOver>("HandOver"),
    Gate: createKey<NodeGate>("Gate"),
    PeerHandler: createKey<PeerHandler>("PeerHandler"),
    PeerServer: createKey<PeerServer>("PeerServer"),
    CallerServer: createKey<CallerServer>("CallerServer"),
    OperatorServer: createKey<OperatorServer>("OperatorServer"),
};

/** Binds every part of a node. Tests and benches replace single bindings before the node is created. */
export function createNodeContainer(settings: NodeSettings): Container {
    const container = new Container({ defaultScope: "Singleton" });
    container.bind(Keys.Settings).toConstantValue(settings);
    addCommonBindings(container, settings);
    addPlatformBindings(container, settings);
    addPeerBindings(container, settings);
    addRequestBindings(container, settings);
    addControlBindings(container, settings);
    addListenerBindings(container, settings);
    return container;
}

/** Replaces the binding of a part by a value. */
export function replaceBinding<T>(container: Container, key: ServiceIdentifier<T>, value: T): void {
    container.unbind(key);
    container.bind(key).toConstantValue(value);
}

function addCommonBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.Clock).toDynamicValue(() => SystemClock.create());
    container.bind(Keys.Random).toDynamicValue(() => SeededRandom.create(Date.now() % 2 ** 31));
    container.bind(Keys.Logger).toDynamicValue(() => createJsonLogger(settings.logLevel, settings.name));
    container.bind(Keys.Metrics).toDynamicValue(() => Metrics.create());
    container.bind(Keys.Tracing).toDynamicValue(() =>
        Tracing.create({ node: settings.name, sampleRatio: settings.traceSampleRatio, collectorUrl: settings.collectorUrl })
    );
    container.bind(Keys.Configuration).toDynamicValue(() => ConfigurationSet.create());
}

function addPlatformBindings(container: Container, settings: NodeSettings): void {
    const timeout = settings.timing.platformTimeout;
    container.bind(Keys.ObjectStore).toDynamicValue(context =>
        HttpObjectStore.create(
            { url: settings.objectsUrl, token: settings.platformToken, timeout, watchSilence: settings.timing.watchSilence },
            context.get(Keys.Metrics),
        )
    );
    container.bind(Keys.HostList).toDynamicValue(() => HttpHostList.create(settings.hostListUrl, timeout));
    container.bind(Keys.WeightStore).toDynamicValue(() =>
        settings.weightStoreUrl === undefined ? undefined : HttpWeightStore.create(settings.weightStoreUrl, timeout)
    );
    container.bind(Keys.Cloud).toDynamicValue(
        () => (settings.cloudUrl === undefined ? undefined : HttpCloud.create(settings.cloudUrl, timeout)),
    );
}

function addPeerBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.Tls).toDynamicValue(context =>
        settings.tls === undefined ? undefined : TlsMaterial.create(settings.tls, context.get(Keys.Logger))
    );
    container.bind(Keys.PeerLink).toDynamicValue(context => ConnectPeerLink.create(context.get(Keys.Tls), context.get(Keys.Metrics)));
    container.bind(Keys.Directory).toDynamicValue(context => {
        const clock = context.get(Keys.Clock);
        const identity = {
            name: settings.name,
            failureDomain: settings.failureDomain,
            region: settings.region,
            incarnation: clock.getWallTime(),
        };
        return MemberDirectory.create(identity, clock, settings.timing.peerSilence, context.get(Keys.Logger));
    });
    container.bind(Keys.Digests).toDynamicValue(context =>
        NodeDigests.create({
            clock: context.get(Keys.Clock),
            random: context.get(Keys.Random),
            directory: context.get(Keys.Directory),
            objects: context.get(Keys.Objects),
            clocks: context.get(Keys.Clocks),
            registry: context.get(Keys.Registry),
            ledger: context.get(Keys.Ledger),
            limiter: context.get(Keys.Limiter),
            store: context.get(Keys.ObjectStore),
            moves: context.get(Keys.Moves),
        })
    );
    container.bind(Keys.Exchange).toDynamicValue(context =>
        ExchangeLoop.create(
            context.get(Keys.Directory),
            context.get(Keys.PeerLink),
            context.get(Keys.Digests),
            context.get(Keys.Clock),
            context.get(Keys.Random),
            settings.timing.exchangeInterval,
        )
    );
}

function addRequestBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.ModelClient).toDynamicValue(() => HttpModelEndpointClient.create());
    container.bind(Keys.PlainClient).toDynamicValue(() => HttpPlainEndpointClient.create());
    container.bind(Keys.Registry).toDynamicValue(context =>
        EndpointRegistry.create(
            context.get(Keys.Clock),
            context.get(Keys.Metrics),
            context.get(Keys.Logger),
            settings.limits.endpointConcurrency,
        )
    );
    container.bind(Keys.Ledger).toDynamicValue(context => QuarantineLedger.create(context.get(Keys.Clock), settings.timing.quarantineTerm));
    container.bind(Keys.Limiter).toDynamicValue(context => TeamLimiter.create(context.get(Keys.Clock)));
    container.bind(Keys.PrefixIndex).toDynamicValue(() => PrefixIndex.create());
    container.bind(Keys.Selector).toDynamicValue(context =>
        WeightedSelector.create(context.get(Keys.Registry), context.get(Keys.PrefixIndex), settings)
    );
    container.bind(Keys.Admission).toDynamicValue(context =>
        AdmissionQueue.create(context.get(Keys.Clock), context.get(Keys.Registry), context.get(Keys.Selector), context.get(Keys.Metrics))
    );
    container.bind(Keys.Probe).toDynamicValue(context => {
        const notifier: UrgentNotifier = { sendUrgentDigest: () => context.get(Keys.Exchange).sendUrgentDigest() };
        return EndpointProbe.create(context.get(Keys.ModelClient), context.get(Keys.Registry), context.get(Keys.Ledger), notifier);
    });
    container.bind(Keys.Budget).toDynamicValue(() => RetryBudget.create());
    container.bind(Keys.Claims).toDynamicValue(context =>
        ClaimStore.create(context.get(Keys.ObjectStore), context.get(Keys.Clock), context.get(Keys.Metrics), context.get(Keys.Logger))
    );
    container.bind(Keys.Drafts).toDynamicValue(context =>
        DraftStore.create(context.get(Keys.ObjectStore), context.get(Keys.Clock), settings.failureDomain)
    );
    container.bind(Keys.Table).toDynamicValue(context => RequestTable.create(context.get(Keys.Clock)));
    container.bind(Keys.StreamMover).toDynamicValue(context => StreamMover.create(context.get(Keys.Clock)));
    addRunnerBindings(container, settings);
}

function addRunnerBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.PeerRequests).toDynamicValue(context =>
        PeerRequests.create(context.get(Keys.Directory), context.get(Keys.PeerLink), context.get(Keys.Clock), context.get(Keys.Tracing))
    );
    container.bind(Keys.ModelRunner).toDynamicValue(context =>
        ModelRequestRunner.create({
            clock: context.get(Keys.Clock),
            metrics: context.get(Keys.Metrics),
            logger: context.get(Keys.Logger),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            registry: context.get(Keys.Registry),
            admission: context.get(Keys.Admission),
            client: context.get(Keys.ModelClient),
            probe: context.get(Keys.Probe),
            ledger: context.get(Keys.Ledger),
            lanes: SuspectLanes.create(),
            budget: context.get(Keys.Budget),
            prefixIndex: context.get(Keys.PrefixIndex),
            versions: context.get(Keys.Moves),
            observer: context.get(Keys.Moves),
            shadows: ShadowRunner.create(
                context.get(Keys.ModelClient),
                context.get(Keys.Registry),
                context.get(Keys.Selector),
                context.get(Keys.Moves),
                context.get(Keys.Moves),
                context.get(Keys.Clock),
                context.get(Keys.Metrics),
                settings.timing.connectTimeout,
            ),
            connectTimeout: settings.timing.connectTimeout,
        })
    );
    container.bind(Keys.PlainCalls).toDynamicValue(context =>
        PlainCallRunner.create({
            clock: context.get(Keys.Clock),
            metrics: context.get(Keys.Metrics),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            registry: context.get(Keys.Registry),
            admission: context.get(Keys.Admission),
            client: context.get(Keys.PlainClient),
            probe: context.get(Keys.Probe),
            ledger: context.get(Keys.Ledger),
            budget: context.get(Keys.Budget),
            claims: context.get(Keys.Claims),
            forwarder: context.get(Keys.PeerRequests),
            versions: context.get(Keys.Moves),
            observer: context.get(Keys.Moves),
            connectTimeout: settings.timing.connectTimeout,
            answerBytes: settings.limits.answerBytes,
        })
    );
    container.bind(Keys.Service).toDynamicValue(context =>
        RequestService.create({
            clock: context.get(Keys.Clock),
            metrics: context.get(Keys.Metrics),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            table: context.get(Keys.Table),
            runner: context.get(Keys.ModelRunner),
            drafts: context.get(Keys.Drafts),
            owner: context.get(Keys.Directory).identity,
        })
    );
    container.bind(Keys.HandOver).toDynamicValue(context =>
        HandOver.create(
            context.get(Keys.Table),
            context.get(Keys.Directory),
            context.get(Keys.PeerLink),
            context.get(Keys.Metrics),
            context.get(Keys.Logger),
        )
    );
    container.bind(Keys.LoadObserver).toDynamicValue(context =>
        LoadObserver.create(
            context.get(Keys.ModelClient),
            context.get(Keys.Registry),
            context.get(Keys.PrefixIndex),
            context.get(Keys.Directory),
            context.get(Keys.Clock),
            settings.timing.loadInterval,
        )
    );
}

function addControlBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.HostListKeeper).toDynamicValue(context =>
        HostListKeeper.create(
            context.get(Keys.HostList),
            context.get(Keys.Cloud),
            context.get(Keys.Registry),
            context.get(Keys.Directory),
            settings.peers,
            context.get(Keys.Clock),
            context.get(Keys.Logger),
            settings.timing.hostListInterval,
        )
    );
    container.bind(Keys.SharedObjectKeeper).toDynamicValue(context =>
        SharedObjectKeeper.create(
            context.get(Keys.ObjectStore),
            context.get(Keys.Objects),
            context.get(Keys.Directory),
            context.get(Keys.PeerLink),
            context.get(Keys.HostListKeeper),
            context.get(Keys.Exchange),
            context.get(Keys.Clock),
            context.get(Keys.Metrics),
            context.get(Keys.Logger),
        )
    );
    addMoveBindings(container, settings);
    addDutyBindings(container, settings);
}

function addMoveBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.Objects).toDynamicValue(context => {
        const clock = context.get(Keys.Clock);
        const objects = SharedObjects.create(() => clock.getMonotonicTime());
        objects.addConsumer(context.get(Keys.ConfigurationConsumer));
        objects.addConsumer(context.get(Keys.Moves));
        objects.addConsumer(context.get(Keys.QuarantineKeeper));
        return objects;
    });
    container.bind(Keys.ConfigurationConsumer).toDynamicValue(context =>
        ConfigurationConsumer.create(context.get(Keys.Configuration), context.get(Keys.Metrics))
    );
    container.bind(Keys.QuarantineKeeper).toDynamicValue(context =>
        QuarantineKeeper.create(context.get(Keys.ObjectStore), context.get(Keys.Ledger), context.get(Keys.Clock))
    );
    container.bind(Keys.Clocks).toDynamicValue(context => ClockMonitor.create(context.get(Keys.Clock)));
    container.bind(Keys.Moves).toDynamicValue(context => {
        const notifier: UrgentNotifier = { sendUrgentDigest: () => context.get(Keys.Exchange).sendUrgentDigest() };
        return MoveKeeper.create(
            context.get(Keys.Directory).identity,
            context.get(Keys.Clock),
            context.get(Keys.Random),
            notifier,
            context.get(Keys.Metrics),
            context.get(Keys.Logger),
        );
    });
    container.bind(Keys.MoveDuty).toDynamicValue(context =>
        MoveDuty.create({
            store: context.get(Keys.ObjectStore),
            objects: context.get(Keys.Objects),
            keeper: context.get(Keys.Moves),
            lease: context.get(Keys.FleetLease),
            configuration: context.get(Keys.Configuration),
            registry: context.get(Keys.Registry),
            directory: context.get(Keys.Directory),
            clocks: context.get(Keys.Clocks),
            clock: context.get(Keys.Clock),
            logger: context.get(Keys.Logger),
            writeSettleTime: settings.timing.platformTimeout * writeSettleFactor,
        })
    );
    container.bind(Keys.MoveOperations).toDynamicValue(context =>
        MoveOperations.create(
            context.get(Keys.ObjectStore),
            context.get(Keys.Objects),
            context.get(Keys.Configuration),
            context.get(Keys.Clock),
            context.get(Keys.MoveDuty).getMargin(),
        )
    );
}

function createLease(context: ResolutionContext, settings: NodeSettings, name: string): LeaseKeeper {
    return LeaseKeeper.create(
        context.get(Keys.ObjectStore),
        context.get(Keys.Clock),
        context.get(Keys.Directory).identity,
        leasePrefix + name,
        settings.timing.leaseTerm,
        context.get(Keys.Metrics),
        context.get(Keys.Logger),
    );
}

function addDutyBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.FleetLease).toDynamicValue(context => createLease(context, settings, "fleet"));
    container.bind(Keys.DomainLease).toDynamicValue(context => createLease(context, settings, `domain-${settings.failureDomain}`));
    container.bind(Keys.DomainDuty).toDynamicValue(context => {
        const checksFencing = (group: string) => settings.groups.find(entry => entry.name === group)?.checksFencing ?? false;
        const client = context.get(Keys.ModelClient);
        return DomainDuty.create({
            clock: context.get(Keys.Clock),
            logger: context.get(Keys.Logger),
            lease: context.get(Keys.DomainLease),
            orders: OrderSender.create(client, context.get(Keys.DomainLease), context.get(Keys.Clock), checksFencing),
            client,
            store: context.get(Keys.ObjectStore),
            weightStore: context.get(Keys.WeightStore),
            configuration: context.get(Keys.Configuration),
            moves: context.get(Keys.Moves),
            registry: context.get(Keys.Registry),
            directory: context.get(Keys.Directory),
            drafts: context.get(Keys.Drafts),
            service: context.get(Keys.Service),
        });
    });
}

function addListenerBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.Gate).toDynamicValue(context => NodeGate.create(context.get(Keys.Configuration), context.get(Keys.HostListKeeper)));
    container.bind(Keys.PeerHandler).toDynamicValue(context =>
        NodePeerHandler.create({
            clock: context.get(Keys.Clock),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            digests: context.get(Keys.Digests),
            keeper: context.get(Keys.SharedObjectKeeper),
            service: context.get(Keys.Service),
            table: context.get(Keys.Table),
            plainCalls: context.get(Keys.PlainCalls),
            gate: context.get(Keys.Gate) as AcceptanceGate,
            notifier: context.get(Keys.Exchange),
        })
    );
    container.bind(Keys.PeerServer).toDynamicValue(context => PeerServer.create(context.get(Keys.PeerHandler), context.get(Keys.Tls)));
    container.bind(Keys.CallerServer).toDynamicValue(context =>
        CallerServer.create({
            clock: context.get(Keys.Clock),
            metrics: context.get(Keys.Metrics),
            tracing: context.get(Keys.Tracing),
            configuration: context.get(Keys.Configuration),
            limits: settings.limits,
            limiter: context.get(Keys.Limiter),
            service: context.get(Keys.Service),
            table: context.get(Keys.Table),
            drafts: context.get(Keys.Drafts),
            plainCalls: context.get(Keys.PlainCalls),
            remote: context.get(Keys.PeerRequests),
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
            moves: context.get(Keys.Moves),
            moveOperations: context.get(Keys.MoveOperations),
            clocks: context.get(Keys.Clocks),
            operatorTokenHash: settings.operatorTokenHash,
        })
    );
}
