import { Container } from "inversify";
import { GatewaySettings } from "../../config/gatewaySettings.js";
import { DutyLease } from "../../duties/dutyLease.js";
import { Duty, DutyRunner } from "../../duties/dutyRunner.js";
import { FleetDuty } from "../../duties/fleetDuty.js";
import { UsageDuty } from "../../duties/usageDuty.js";
import { VersionMoveDuty } from "../../duties/versionMoveDuty.js";
import { UsageCounter } from "../../usage/usageCounter.js";
import { UsageLedger } from "../../usage/usageLedger.js";
import { MoveSchedule } from "../../versions/moveSchedule.js";
import { GatewayKeys as Keys } from "../gatewayKeys.js";

/** Binds usage accounting, the duty lease, and the duties that its holder runs for all nodes. */
export function addDutyBindings(container: Container, settings: GatewaySettings): void {
    container.bind(Keys.Usage).toDynamicValue(context => UsageCounter.create(context.get(Keys.Clock), settings.usage.windowLength));
    container.bind(Keys.UsageLedger).toDynamicValue(() => UsageLedger.create());
    container.bind(Keys.Lease).toDynamicValue(context =>
        DutyLease.create(
            context.get(Keys.Store),
            context.get(Keys.Clock),
            context.get(Keys.Peers).identity,
            settings.timing.leaseTerm,
            context.get(Keys.Peers),
            context.get(Keys.Log),
        )
    );
    container.bind(Keys.Duties).toDynamicValue(context => {
        const api = context.get(Keys.DutyApi);
        const lease = context.get(Keys.Lease);
        const clock = context.get(Keys.Clock);
        const log = context.get(Keys.Log);
        const duties: Duty[] = [
            VersionMoveDuty.create({
                clock,
                log,
                lease,
                moves: context.get(Keys.Versions),
                accounts: context.get(Keys.MoveAccounts),
                configuration: context.get(Keys.Configuration),
                directory: context.get(Keys.Directory),
                schedule: MoveSchedule.create(settings.versions.exposure),
            }),
        ];
        if (api !== undefined) {
            duties.push(
                UsageDuty.create({
                    store: context.get(Keys.Store),
                    api,
                    clock,
                    log,
                    lease,
                    table: context.get(Keys.Peers),
                    counter: context.get(Keys.Usage),
                    ledger: context.get(Keys.UsageLedger),
                    dueTime: settings.usage.dueTime,
                }),
                FleetDuty.create({
                    api,
                    clock,
                    log,
                    lease,
                    configuration: context.get(Keys.Configuration),
                    directory: context.get(Keys.Directory),
                    work: context.get(Keys.ServiceWorkTracker),
                    versions: context.get(Keys.VersionTraffic),
                    evacuations: context.get(Keys.Evacuations),
                    settings: settings.fleet,
                    metrics: context.get(Keys.Metrics),
                }),
            );
        }
        return DutyRunner.create(lease, duties, clock, log);
    });
}
