import { Container, ServiceIdentifier } from "inversify";
import { CallerServer } from "../callers/callerServer.js";
import { BodyReader } from "../common/bodyReader.js";
import { Clock } from "../common/clock.js";
import { Logger } from "../common/logging.js";
import { Metrics } from "../common/metrics.js";
import { RandomSource } from "../common/random.js";
import { Tracing } from "../common/tracing.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { NodeSettings } from "../config/types.js";
import { ConfigurationConsumer } from "../control/commands/configurationConsumer.js";
import { DomainDuty } from "../control/commands/domainDuty.js";
import { HostListSynchronizer } from "../control/commands/hostListSynchronizer.js";
import { LeaseManager } from "../control/commands/leaseManager.js";
import { QuarantineReplicator } from "../control/commands/quarantineReplicator.js";
import { SharedObjectReplicator } from "../control/commands/sharedObjectReplicator.js";
import { ClockMonitor } from "../control/moves/clockMonitor.js";
import { MoveController } from "../control/moves/moveController.js";
import { MoveDuty } from "../control/moves/moveDuty.js";
import { MoveOperations } from "../control/moves/moveOperations.js";
import { SharedObjects } from "../control/sharedObjects.js";
import { ModelEndpointClient } from "../endpoints/modelEndpoint.js";
import { PlainEndpointClient } from "../endpoints/plainEndpoint.js";
import { OperatorServer } from "../operators/operatorServer.js";
import { ExchangeLoop } from "../peers/exchangeLoop.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { PeerServer } from "../peers/peerServer.js";
import { TlsMaterial } from "../peers/tlsMaterial.js";
import { PeerHandler, PeerLink } from "../peers/types.js";
import { CloudClient } from "../provider/cloudClient.js";
import { HostListClient } from "../provider/hostListClient.js";
import { ObjectStore } from "../provider/objectStore.js";
import { WeightStore } from "../provider/weightStore.js";
import { AdmissionQueue } from "../requests/commands/admissionQueue.js";
import { ClaimStore } from "../requests/commands/claimStore.js";
import { DraftStore } from "../requests/commands/draftStore.js";
import { EndpointProbe } from "../requests/commands/endpointProbe.js";
import { LoadObserver } from "../requests/commands/loadObserver.js";
import { ModelRequestRunner } from "../requests/commands/modelRequestRunner.js";
import { PlainCallRunner } from "../requests/commands/plainCallRunner.js";
import { RequestHandover } from "../requests/commands/requestHandover.js";
import { StreamMover } from "../requests/commands/streamMover.js";
import { TeamLimiter } from "../requests/commands/teamLimiter.js";
import { EndpointRegistry } from "../requests/endpointRegistry.js";
import { PrefixIndex } from "../requests/prefixIndex.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { EndpointSelector } from "../requests/queries/endpointSelector.js";
import { RequestService } from "../requests/requestService.js";
import { RequestTable } from "../requests/requestTable.js";
import { RetryBudget } from "../requests/retryBudget.js";
import { NodeDigests } from "./nodeDigests.js";
import { NodeGate } from "./nodeGate.js";
import { PeerRequests } from "./peerRequests.js";

function createKey<T>(name: string): ServiceIdentifier<T> {
    return Symbol.for(`corianderward.${name}`);
}

/** Dependency injection keys of a node. */
export const Keys = {
    Settings: createKey<NodeSettings>("Settings"),
    Clock: createKey<Clock>("Clock"),
    Random: createKey<RandomSource>("Random"),
    Logger: createKey<Logger>("Logger"),
    Metrics: createKey<Metrics>("Metrics"),
    Tracing: createKey<Tracing>("Tracing"),
    Configuration: createKey<ConfigurationSet>("Configuration"),
    ObjectStore: createKey<ObjectStore>("ObjectStore"),
    HostList: createKey<HostListClient>("HostList"),
    Cloud: createKey<CloudClient | undefined>("Cloud"),
    Tls: createKey<TlsMaterial | undefined>("Tls"),
    PeerLink: createKey<PeerLink>("PeerLink"),
    Directory: createKey<MemberDirectory>("Directory"),
    Registry: createKey<EndpointRegistry>("Registry"),
    Ledger: createKey<QuarantineLedger>("Ledger"),
    Limiter: createKey<TeamLimiter>("Limiter"),
    Digests: createKey<NodeDigests>("Digests"),
    Exchange: createKey<ExchangeLoop>("Exchange"),
    HostListSynchronizer: createKey<HostListSynchronizer>("HostListSynchronizer"),
    SharedObjectReplicator: createKey<SharedObjectReplicator>("SharedObjectReplicator"),
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
    QuarantineReplicator: createKey<QuarantineReplicator>("QuarantineReplicator"),
    ClockMonitor: createKey<ClockMonitor>("ClockMonitor"),
    MoveController: createKey<MoveController>("MoveController"),
    MoveDuty: createKey<MoveDuty>("MoveDuty"),
    MoveOperations: createKey<MoveOperations>("MoveOperations"),
    DomainLease: createKey<LeaseManager>("DomainLease"),
    FleetLease: createKey<LeaseManager>("FleetLease"),
    DomainDuty: createKey<DomainDuty>("DomainDuty"),
    ModelRunner: createKey<ModelRequestRunner>("ModelRunner"),
    PlainCalls: createKey<PlainCallRunner>("PlainCalls"),
    Service: createKey<RequestService>("Service"),
    PeerRequests: createKey<PeerRequests>("PeerRequests"),
    LoadObserver: createKey<LoadObserver>("LoadObserver"),
    StreamMover: createKey<StreamMover>("StreamMover"),
    RequestHandover: createKey<RequestHandover>("RequestHandover"),
    Gate: createKey<NodeGate>("Gate"),
    PeerHandler: createKey<PeerHandler>("PeerHandler"),
    PeerServer: createKey<PeerServer>("PeerServer"),
    Bodies: createKey<BodyReader>("Bodies"),
    CallerServer: createKey<CallerServer>("CallerServer"),
    OperatorServer: createKey<OperatorServer>("OperatorServer"),
};

/** Replaces the binding of `key` by a constant value. */
export function replaceBinding<T>(container: Container, key: ServiceIdentifier<T>, value: T): void {
    container.unbind(key);
    container.bind(key).toConstantValue(value);
}
