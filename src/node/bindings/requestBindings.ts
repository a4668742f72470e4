import { Container } from "inversify";
import { NodeSettings } from "../../config/types.js";
import { TcpConnectionProbe } from "../../endpoints/connectionProbe.js";
import { TcpEndpointConnector } from "../../endpoints/endpointConnector.js";
import { HttpModelEndpointClient } from "../../endpoints/httpModelEndpoint.js";
import { HttpPlainEndpointClient } from "../../endpoints/plainEndpoint.js";
import { UrgentNotifier } from "../../peers/types.js";
import { AdmissionQueue } from "../../requests/commands/admissionQueue.js";
import { ClaimStore } from "../../requests/commands/claimStore.js";
import { DraftStore } from "../../requests/commands/draftStore.js";
import { EndpointProbe } from "../../requests/commands/endpointProbe.js";
import { LoadObserver } from "../../requests/commands/loadObserver.js";
import { ModelRequestRunner } from "../../requests/commands/modelRequestRunner.js";
import { PlainCallRunner } from "../../requests/commands/plainCallRunner.js";
import { RequestHandover } from "../../requests/commands/requestHandover.js";
import { ShadowRequestRunner } from "../../requests/commands/shadowRequestRunner.js";
import { StreamMover } from "../../requests/commands/streamMover.js";
import { TeamLimiter } from "../../requests/commands/teamLimiter.js";
import { EndpointRegistry } from "../../requests/endpointRegistry.js";
import { PrefixIndex } from "../../requests/prefixIndex.js";
import { QuarantineLedger } from "../../requests/quarantineLedger.js";
import { WeightedSelector } from "../../requests/queries/endpointSelector.js";
import { RequestService } from "../../requests/requestService.js";
import { RequestTable } from "../../requests/requestTable.js";
import { RetryBudget } from "../../requests/retryBudget.js";
import { SuspectLocks } from "../../requests/suspectLocks.js";
import { Keys } from "../keys.js";
import { PeerRequests } from "../peerRequests.js";

/** Binds the components that queue, route, run and record requests. */
export function addRequestBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.ModelClient).toDynamicValue(() => HttpModelEndpointClient.create());
    container.bind(Keys.PlainClient).toDynamicValue(() =>
        HttpPlainEndpointClient.create(TcpConnectionProbe.create(TcpEndpointConnector.create(), settings.timing.connectTimeout))
    );
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
        return EndpointProbe.create(
            context.get(Keys.ModelClient),
            context.get(Keys.Registry),
            context.get(Keys.Ledger),
            notifier,
            context.get(Keys.Clock),
        );
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
            suspectLocks: SuspectLocks.create(),
            budget: context.get(Keys.Budget),
            prefixIndex: context.get(Keys.PrefixIndex),
            versions: context.get(Keys.MoveController),
            observer: context.get(Keys.MoveController),
            shadowRunner: ShadowRequestRunner.create(
                context.get(Keys.ModelClient),
                context.get(Keys.Registry),
                context.get(Keys.Selector),
                context.get(Keys.MoveController),
                context.get(Keys.MoveController),
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
            versions: context.get(Keys.MoveController),
            observer: context.get(Keys.MoveController),
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
    container.bind(Keys.RequestHandover).toDynamicValue(context =>
        RequestHandover.create(
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
