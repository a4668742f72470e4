import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { RouteKind } from "../routes/types.js";
import { MoveSchedule, settleMarginMilliseconds } from "../versions/moveSchedule.js";
import { MoveAccount, MoveAccountStore, MoveStage, VersionSide } from "../versions/types.js";
import { VersionMove, VersionMoves } from "../versions/versionMoves.js";
import { DutyLease } from "./dutyLease.js";
import { Duty } from "./dutyRunner.js";

/** Attempts at the new version without which nothing is known of it. */
const leastAttempts = 3;

/** What the duty works with. */
export interface VersionMoveDutyParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly lease: DutyLease;
    readonly moves: VersionMoves;
    readonly accounts: MoveAccountStore;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly schedule: MoveSchedule;
}

/** Carries version moves out: takes each through its stages, and ends it by its deadline with a true account. */
export class VersionMoveDuty implements Duty {
    private constructor(private readonly parts: VersionMoveDutyParts) {}

    static create(parts: VersionMoveDutyParts): VersionMoveDuty {
        return new VersionMoveDuty(parts);
    }

    async runRound(): Promise<void> {
        for (const move of this.parts.moves.listRunning()) {
            await this.runMove(move);
        }
    }

    private async runMove(move: VersionMove): Promise<void> {
        const account = this.createAccount(move);
        if (account.stage === move.account?.stage || this.parts.lease.getCredentials() === undefined) {
            return;
        }
        const fields = { duty: "version move", service: move.order.service, target: account.target, stage: account.stage };
        const written = await this.parts.accounts.writeAccount(move.object, account);
        if (written.err) {
            // After a lost answer the next round writes again; if the first one took effect, its condition fails.
            const { outcome, failure } = written.val;
            this.parts.log.log(LogEvents.DutyFailed, { ...fields, outcome, cause: failure.text });
            return;
        }
        this.parts.moves.recordAccount(move, { ...move.object, revision: written.val }, account);
        this.parts.log.log(LogEvents.DutyDone, { ...fields, revision: written.val, reason: account.reason });
    }

    private createAccount(move: VersionMove): MoveAccount {
        const { target } = move.order;
        const { deadline } = move;
        if (move.finding !== undefined) {
            return { target, deadline, stage: MoveStage.RolledBack, reason: move.finding };
        }
        const timeLeft = deadline - this.parts.clock.getWallTime();
        const exposed = move.evidence.computeCounts(VersionSide.New).trials;
        if (timeLeft > settleMarginMilliseconds) {
            const stage = this.computeStage(move, timeLeft, exposed);
            return { target, deadline, stage, reason: `${exposed} attempts show no fault` };
        }
        const hasEndpoints = this.parts.directory.listEndpoints(move.order.service)
            .some(endpoint => endpoint.isUsable() && endpoint.entry.version === target);
        if (!hasEndpoints || exposed < leastAttempts) {
            const reason = hasEndpoints ? `only ${exposed} attempts by the deadline` : "no endpoint of the new version by the deadline";
            return { target, deadline, stage: MoveStage.RolledBack, reason };
        }
        return { target, deadline, stage: MoveStage.Done, reason: `${exposed} attempts show no fault` };
    }

    private computeStage(move: VersionMove, timeLeft: number, exposed: number): MoveStage {
        const { evidence } = move;
        const boundRoutes = this.listBoundRoutes(move.order.service);
        const boundStreams = boundRoutes.reduce((sum, route) => {
            const counts = [VersionSide.Old, VersionSide.New].map(side => evidence.computeCounts(side, route).trials);
            return sum + counts.reduce((total, count) => total + count, 0);
        }, 0);
        const planned = this.parts.schedule.computeStage({
            duration: move.order.duration,
            timeLeft,
            attempts: evidence.computeCounts(VersionSide.Old).trials + exposed,
            exposed,
            boundStreams,
        });
        // Without any sign of the new version requests are not sent to it alone.
        return exposed < leastAttempts ? MoveStage.Trial : planned;
    }

    private listBoundRoutes(service: string): string[] {
        const routes = this.parts.configuration.getTable()?.configuration.routes ?? [];
        return routes
            .filter(route => route.kind === RouteKind.Stream && !route.isResumable && route.shares.some(share => share.service === service))
            .map(route => route.name);
    }
}
