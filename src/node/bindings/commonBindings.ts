import { Container } from "inversify";
import { SystemClock } from "../../common/clock.js";
import { createJsonLogger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { SeededRandom } from "../../common/random.js";
import { Tracing } from "../../common/tracing.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { NodeSettings } from "../../config/types.js";
import { ConnectPeerLink } from "../../peers/connectPeerLink.js";
import { ExchangeLoop } from "../../peers/exchangeLoop.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { TlsMaterial } from "../../peers/tlsMaterial.js";
import { HttpCloudClient } from "../../provider/cloudClient.js";
import { HttpHostListClient } from "../../provider/hostListClient.js";
import { HttpObjectStore } from "../../provider/httpObjectStore.js";
import { HttpWeightStore } from "../../provider/weightStore.js";
import { Keys } from "../keys.js";
import { NodeDigests } from "../nodeDigests.js";

/** Binds the clock, random source, logger, metrics, tracing and configuration. */
export function addCommonBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.Clock).toDynamicValue(() => SystemClock.create());
    container.bind(Keys.Random).toDynamicValue(() => SeededRandom.create(Date.now() % 2 ** 31));
    container.bind(Keys.Logger).toDynamicValue(() => createJsonLogger(settings.logLevel, settings.name));
    container.bind(Keys.Metrics).toDynamicValue(() => Metrics.create());
    container.bind(Keys.Tracing).toDynamicValue(() =>
        Tracing.create({ node: settings.name, sampleRatio: settings.traceSampleRatio, collectorUrl: settings.collectorUrl })
    );
    container.bind(Keys.Configuration).toDynamicValue(() => ConfigurationSet.create());
}

/** Binds the clients of the platform services. */
export function addPlatformBindings(container: Container, settings: NodeSettings): void {
    const timeout = settings.timing.platformTimeout;
    container.bind(Keys.ObjectStore).toDynamicValue(context =>
        HttpObjectStore.create(
            { url: settings.objectsUrl, token: settings.platformToken, timeout, watchSilence: settings.timing.watchSilence },
            context.get(Keys.Metrics),
        )
    );
    container.bind(Keys.HostList).toDynamicValue(context =>
        HttpHostListClient.create(
            settings.hostListUrl,
            timeout,
            fault => context.get(Keys.Logger).warn("host entry is faulty", { fault }),
        )
    );
    container.bind(Keys.WeightStore).toDynamicValue(() =>
        settings.weightStoreUrl === undefined ? undefined : HttpWeightStore.create(settings.weightStoreUrl, timeout)
    );
    container.bind(Keys.Cloud).toDynamicValue(
        () => (settings.cloudUrl === undefined ? undefined : HttpCloudClient.create(settings.cloudUrl, timeout)),
    );
}

/** Binds the peer connections, the member directory and the digest exchange. */
export function addPeerBindings(container: Container, settings: NodeSettings): void {
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
            clocks: context.get(Keys.ClockMonitor),
            registry: context.get(Keys.Registry),
            ledger: context.get(Keys.Ledger),
            limiter: context.get(Keys.Limiter),
            store: context.get(Keys.ObjectStore),
            moves: context.get(Keys.MoveController),
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
