import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { RouteKind } from "../routes/types.js";
import { finishMarginMilliseconds, MoveSchedule } from "../versions/moveSchedule.js";
import { MoveStage, VersionMoveStatus, VersionMoveStatusStore, VersionSide } from "../versions/types.js";
import { VersionMove, VersionMoves } from "../versions/versionMoves.js";
import { DutyLease } from "./dutyLease.js";
import { Duty } from "./dutyRunner.js";

/** Fewest attempts at the new version from which its health can be judged. */
const minimumNewVersionAttempts = 3;

/** Dependencies of the version move duty. */
export interface VersionMoveDutyDependencies {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly lease: DutyLease;
    readonly moves: VersionMoves;
    readonly accounts: VersionMoveStatusStore;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly schedule: MoveSchedule;
}

/** Advances each version move through its stages, and completes it or rolls it back by its deadline with a stored account. */
export class VersionMoveDuty implements Duty {
    private constructor(private readonly dependencies: VersionMoveDutyDependencies) {}

    static create(dependencies: VersionMoveDutyDependencies): VersionMoveDuty {
        return new VersionMoveDuty(dependencies);
    }

    /** Stores a new account for each running move whose stage changes, and again those that a restored store has lost. */
    async runRound(): Promise<void> {
        for (const move of this.dependencies.moves.listWithLostStatus()) {
            if (move.account !== undefined) {
                await this.writeStatus(move, move.account);
            }
        }
        for (const move of this.dependencies.moves.listRunning()) {
            await this.runMove(move);
        }
    }

    private async runMove(move: VersionMove): Promise<void> {
        const account = this.createAccount(move);
        if (account.stage !== move.account?.stage) {
            await this.writeStatus(move, account);
        }
    }

    private async writeStatus(move: VersionMove, account: VersionMoveStatus): Promise<void> {
        if (this.dependencies.lease.getCredentials() === undefined) {
            return;
        }
        const fields = { duty: "version move", service: move.order.service, target: account.target, stage: account.stage };
        const written = await this.dependencies.accounts.writeStatus(move.object, account);
        if (written.err) {
            // After an unknown outcome the next round writes again; its condition fails if the first write took effect.
            const { outcome, failure } = written.val;
            this.dependencies.log.log(LogEvents.DutyFailed, { ...fields, outcome, cause: failure.text });
            return;
        }
        this.dependencies.moves.recordStatus(move, { ...move.object, revision: written.val }, account);
        this.dependencies.log.log(LogEvents.DutyDone, { ...fields, revision: written.val, reason: account.reason });
    }

    /** Returns the account that a move should have now; its stage differs from the stored one when the move must advance. */
    private createAccount(move: VersionMove): VersionMoveStatus {
        const { target } = move.order;
        const { deadline } = move;
        if (move.finding !== undefined) {
            return { target, deadline, stage: MoveStage.RolledBack, reason: move.finding };
        }
        const timeLeft = deadline - this.dependencies.clock.getWallTime();
        const exposed = move.evidence.computeCounts(VersionSide.New).trials;
        if (timeLeft > finishMarginMilliseconds) {
            const stage = this.computeStage(move, timeLeft, exposed);
            return { target, deadline, stage, reason: `${exposed} attempts show no fault` };
        }
        const hasEndpoints = this.dependencies.directory.listEndpoints(move.order.service)
            .some(endpoint => endpoint.isUsable() && endpoint.entry.version === target);
        if (!hasEndpoints || exposed < minimumNewVersionAttempts) {
            const reason = hasEndpoints ? `only ${exposed} attempts by the deadline` : "no endpoint of the new version by the deadline";
            return { target, deadline, stage: MoveStage.RolledBack, reason };
        }
        return { target, deadline, stage: MoveStage.Done, reason: `${exposed} attempts show no fault` };
    }

    /** Returns the stage of a move whose deadline is not near. */
    private computeStage(move: VersionMove, timeLeft: number, exposed: number): MoveStage {
        const { evidence } = move;
        const nonResumableRoutes = this.listNonResumableRoutes(move.order.service);
        const boundStreams = nonResumableRoutes.reduce((sum, route) => {
            const counts = [VersionSide.Old, VersionSide.New].map(side => evidence.computeCounts(side, route).trials);
            return sum + counts.reduce((total, count) => total + count, 0);
        }, 0);
        const planned = this.dependencies.schedule.computeStage({
            duration: move.order.duration,
            timeLeft,
            attempts: evidence.computeCounts(VersionSide.Old).trials + exposed,
            exposedAttempts: exposed,
            nonResumableStreams: boundStreams,
        });
        // The new version does not get all requests before enough attempts have shown that it works.
        return exposed < minimumNewVersionAttempts ? MoveStage.Trial : planned;
    }

    /** Lists the routes to a service whose streams cannot be resumed at another endpoint. */
    private listNonResumableRoutes(service: string): string[] {
        const routes = this.dependencies.configuration.getTable()?.configuration.routes ?? [];
        return routes
            .filter(route => route.kind === RouteKind.Stream && !route.isResumable && route.shares.some(share => share.service === service))
            .map(route => route.name);
    }
}
