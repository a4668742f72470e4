import { Container, ResolutionContext } from "inversify";
import { leasePrefix } from "../../config/objectNames.js";
import { NodeSettings } from "../../config/types.js";
import { ConfigurationConsumer } from "../../control/commands/configurationConsumer.js";
import { DomainDuty } from "../../control/commands/domainDuty.js";
import { HostListSynchronizer } from "../../control/commands/hostListSynchronizer.js";
import { LeaseManager } from "../../control/commands/leaseManager.js";
import { OrderSender } from "../../control/commands/orderSender.js";
import { QuarantineReplicator } from "../../control/commands/quarantineReplicator.js";
import { SharedObjectReplicator } from "../../control/commands/sharedObjectReplicator.js";
import { ClockMonitor } from "../../control/moves/clockMonitor.js";
import { MoveController } from "../../control/moves/moveController.js";
import { MoveDuty } from "../../control/moves/moveDuty.js";
import { MoveOperations } from "../../control/moves/moveOperations.js";
import { SharedObjects } from "../../control/sharedObjects.js";
import { UrgentNotifier } from "../../peers/types.js";
import { Keys } from "../keys.js";

/** Time after which a store write of unknown outcome can no longer take effect, in multiples of the platform timeout. */
const writeSettleTimeoutMultiple = 2;

/** Binds shared objects, version moves, leases and duties. */
export function addControlBindings(container: Container, settings: NodeSettings): void {
    container.bind(Keys.HostListSynchronizer).toDynamicValue(context =>
        HostListSynchronizer.create(
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
    container.bind(Keys.SharedObjectReplicator).toDynamicValue(context =>
        SharedObjectReplicator.create(
            context.get(Keys.ObjectStore),
            context.get(Keys.Objects),
            context.get(Keys.Directory),
            context.get(Keys.PeerLink),
            context.get(Keys.HostListSynchronizer),
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
        objects.addConsumer(context.get(Keys.MoveController));
        objects.addConsumer(context.get(Keys.QuarantineReplicator));
        return objects;
    });
    container.bind(Keys.ConfigurationConsumer).toDynamicValue(context =>
        ConfigurationConsumer.create(context.get(Keys.Configuration), context.get(Keys.Metrics))
    );
    container.bind(Keys.QuarantineReplicator).toDynamicValue(context =>
        QuarantineReplicator.create(context.get(Keys.ObjectStore), context.get(Keys.Ledger), context.get(Keys.Clock))
    );
    container.bind(Keys.ClockMonitor).toDynamicValue(context => ClockMonitor.create(context.get(Keys.Clock)));
    container.bind(Keys.MoveController).toDynamicValue(context => {
        const notifier: UrgentNotifier = { sendUrgentDigest: () => context.get(Keys.Exchange).sendUrgentDigest() };
        return MoveController.create(
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
            keeper: context.get(Keys.MoveController),
            lease: context.get(Keys.FleetLease),
            configuration: context.get(Keys.Configuration),
            registry: context.get(Keys.Registry),
            directory: context.get(Keys.Directory),
            clockMonitor: context.get(Keys.ClockMonitor),
            clock: context.get(Keys.Clock),
            logger: context.get(Keys.Logger),
            writeOutcomeDelay: settings.timing.platformTimeout * writeSettleTimeoutMultiple,
        })
    );
    container.bind(Keys.MoveOperations).toDynamicValue(context =>
        MoveOperations.create(
            context.get(Keys.ObjectStore),
            context.get(Keys.Objects),
            context.get(Keys.Configuration),
            context.get(Keys.Clock),
            context.get(Keys.MoveDuty).getDeadlineMargin(),
        )
    );
}

function createLease(context: ResolutionContext, settings: NodeSettings, name: string): LeaseManager {
    return LeaseManager.create(
        context.get(Keys.ObjectStore),
        context.get(Keys.Clock),
        context.get(Keys.Directory).identity,
        leasePrefix + name,
        settings.timing.leaseTerm,
        {
            recordAcquisition: (lease, fencing) => {
                context.get(Keys.Logger).info("lease taken", { lease, fencing });
                context.get(Keys.Metrics).leaseHeld.set({ lease }, 1);
            },
        },
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
            moves: context.get(Keys.MoveController),
            registry: context.get(Keys.Registry),
            directory: context.get(Keys.Directory),
            drafts: context.get(Keys.Drafts),
            service: context.get(Keys.Service),
        });
    });
}
