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

/**
 * Fewest attempts at the new version, compared with the old one, from which its health can be judged. A bad version is assumed to be slow in
 * about half of its attempts, so fewer show too often nothing.
 */
const minimumComparedAttempts = 6;
/** Compared attempts from which the tests have had enough to reach their bound if the new version is bad. */
const decisiveComparedAttempts = 30;
/** Evidence against the new version, as a share of that for a rollback, from which fewer attempts do not show that it is sound. */
const doubtfulEvidenceShare = 0.4;

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
        const { trials: exposed, timed: compared } = move.evidence.computeCounts(VersionSide.New);
        const timeLeft = deadline - this.dependencies.clock.getWallTime();
        if (timeLeft > finishMarginMilliseconds) {
            const stage = this.computeStage(move, timeLeft);
            return { target, deadline, stage, reason: `${exposed} attempts show no fault` };
        }
        const doubt = this.describeDoubt(move, exposed, compared);
        return doubt === undefined
            ? { target, deadline, stage: MoveStage.Done, reason: `${exposed} attempts show no fault, ${compared} of them compared` }
            : { target, deadline, stage: MoveStage.RolledBack, reason: doubt };
    }

    /** Returns why the new version cannot be taken for sound at the deadline; undefined if it can. */
    private describeDoubt(move: VersionMove, exposed: number, compared: number): string | undefined {
        const hasEndpoints = this.dependencies.directory.listEndpoints(move.order.service)
            .some(endpoint => endpoint.isUsable() && endpoint.entry.version === move.order.target);
        if (!hasEndpoints) {
            return "no endpoint of the new version by the deadline";
        }
        if (compared < minimumComparedAttempts) {
            return `only ${compared} of ${exposed} attempts could be compared by the deadline`;
        }
        return isDoubtful(move)
            ? `${compared} of ${exposed} attempts were compared and speak against it (${
                Math.round(move.judge.getEvidence() * 100)
            } % of the bound)`
            : undefined;
    }

    /** Returns the stage of a move whose deadline is not near. */
    private computeStage(move: VersionMove, timeLeft: number): MoveStage {
        const { evidence } = move;
        const { trials: exposed, timed: compared } = evidence.computeCounts(VersionSide.New);
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
        // The new version does not get all requests before enough attempts, compared with the old one, have shown that it works.
        const isInTrial = (move.account?.stage ?? MoveStage.Trial) === MoveStage.Trial;
        return compared < minimumComparedAttempts || (isInTrial && isDoubtful(move)) ? MoveStage.Trial : planned;
    }

    /** Lists the routes to a service whose streams cannot be resumed at another endpoint. */
    private listNonResumableRoutes(service: string): string[] {
        const routes = this.dependencies.configuration.getTable()?.configuration.routes ?? [];
        return routes
            .filter(route => route.kind === RouteKind.Stream && !route.isResumable && route.shares.some(share => share.service === service))
            .map(route => route.name);
    }
}

/** Returns whether the few attempts that could be compared speak against the new version. */
function isDoubtful({ evidence, judge }: VersionMove): boolean {
    const { timed: compared } = evidence.computeCounts(VersionSide.New);
    return compared < decisiveComparedAttempts && judge.getEvidence() >= doubtfulEvidenceShare;
}
