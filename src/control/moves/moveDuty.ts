import { Clock } from "../../common/clock.js";
import { createIdentifier } from "../../common/identifiers.js";
import { Logger } from "../../common/logging.js";
import { millisecondsPerHour } from "../../common/units.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { movePrefix } from "../../config/objectNames.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { ObjectStore, writeObject } from "../../provider/objectStore.js";
import { StoredObject } from "../../provider/types.js";
import { EndpointRegistry } from "../../requests/endpointRegistry.js";
import { LeaseManager } from "../commands/leaseManager.js";
import { SharedObjectChange, SharedObjects } from "../sharedObjects.js";
import { clockDifferenceLimitMilliseconds, ClockMonitor } from "./clockMonitor.js";
import { grantTermMilliseconds, MoveController } from "./moveController.js";
import { createEndedRecord, createShareStep, MoveReason, MoveRecord, MoveState, parseMoveRecord } from "./moveRecord.js";

const roundIntervalMilliseconds = 500;
/** Attempts at the new version required in the first stage. */
const firstStageTrials = 8;
/** Bounds of the first share: the minimum for services with much traffic, the maximum for those with little. */
const minimumFirstShare = 0.01;
const maximumFirstShare = 0.2;
/** Fraction of the requests expected until the deadline in which the first stage has to finish. */
const firstStageRequestFraction = 0.25;
/** Growth factor of the share in each step, and the last share before completion. */
const shareGrowth = 3;
const finalStageShare = 0.5;
/** Attempts at the new version required in each later stage. */
const stageTrials = 12;
/** Attempts at the new version required in total before the move is completed. */
const completionTrials = 50;
/** Attempts among these whose times could be compared with the old version's: without them a slow version looks like a sound one. */
const completionComparedTrials = 25;
/** Evidence against the new version, as a share of the rollback bound, from which the share is not increased. */
const stepEvidenceLimit = 0.4;
/** Time after the end of a move within which every reachable failure domain confirms it. */
const endConfirmationMilliseconds = 4_000;
/** Grant sequence numbers available to one holder; a higher fencing number yields higher sequence numbers. */
const sequenceNumbersPerHolder = 1_000_000n;

/** Dependencies of the move duty. */
export interface MoveDutyDependencies {
    readonly store: ObjectStore;
    readonly objects: SharedObjects;
    readonly keeper: MoveController;
    readonly lease: LeaseManager;
    readonly configuration: ConfigurationSet;
    readonly registry: EndpointRegistry;
    readonly directory: MemberDirectory;
    readonly clockMonitor: ClockMonitor;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Time in milliseconds after which a write to the platform has either taken effect or never will. */
    readonly writeOutcomeDelay: number;
}

/**
 * Runs the fleet's version moves while this node holds the fleet's lease: starts declared moves, increases the new version's share
 * as evidence allows, and completes each move or rolls it back before its deadline.
 */
export class MoveDuty {
    private readonly stopping = new AbortController();
    private readonly trialsAtStageStart = new Map<string, number>();
    private readonly pendingWrites = new Set<string>();
    private grantCount = 0n;
    private grantFencing = 0;

    private constructor(private readonly dependencies: MoveDutyDependencies) {}

    static create(dependencies: MoveDutyDependencies): MoveDuty {
        return new MoveDuty(dependencies);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.runRound();
            await this.dependencies.clock.sleep(roundIntervalMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns the time before the deadline, in milliseconds, from which a move that is not completed is rolled back. */
    getDeadlineMargin(): number {
        return this.dependencies.writeOutcomeDelay + clockDifferenceLimitMilliseconds;
    }

    /** Renews the grants, then reads and processes every move once; does nothing without the lease. */
    async runRound(): Promise<void> {
        if (this.dependencies.lease.getGrant() === undefined) {
            return;
        }
        // Grants are renewed from memory, so that they don't expire while the platform is slow.
        this.renewGrants();
        const listed = await this.dependencies.store.listObjects(movePrefix);
        if (listed.err) {
            return;
        }
        for (const object of listed.val.objects) {
            this.dependencies.objects.applyObject(object);
        }
        await this.startDeclaredMoves(listed.val.objects);
        for (const object of listed.val.objects) {
            const record = parseMoveRecord(object);
            if (record !== undefined && this.isCurrent(object, record)) {
                await this.runMove(record, object.revision);
            }
        }
    }

    /** Returns whether the object is at least as new as the local copy: no decision may rest on a stale read. */
    private isCurrent(object: StoredObject, record: MoveRecord): boolean {
        return object.revision >= this.dependencies.keeper.getRevision(record.service);
    }

    private renewGrants(): void {
        for (const record of this.dependencies.keeper.listRecords()) {
            if (record.state === MoveState.Running && record.fencing === this.dependencies.lease.getGrant()?.fencing) {
                this.grantShare(record);
            }
        }
    }

    private grantShare(record: MoveRecord): void {
        const grant = this.dependencies.lease.getGrant();
        if (grant === undefined || !this.dependencies.clockMonitor.isWithinBounds()) {
            return;
        }
        if (grant.fencing !== this.grantFencing) {
            this.grantFencing = grant.fencing;
            this.grantCount = 0n;
        }
        this.grantCount += 1n;
        const sequence = BigInt(grant.fencing) * sequenceNumbersPerHolder + this.grantCount;
        const untilDeadline = record.deadline - this.dependencies.clock.getWallTime();
        const term = Math.min(grantTermMilliseconds, grant.remaining, Math.max(0, untilDeadline));
        this.dependencies.keeper.grantShare(record.service, sequence, record.share, term);
    }

    /** Starts the moves that the configuration declares and that have no record yet. */
    private async startDeclaredMoves(existing: readonly StoredObject[]): Promise<void> {
        const { configuration, clock } = this.dependencies;
        for (const object of configuration.listObjects()) {
            for (const move of object.configuration.moves) {
                const current = existing.find(candidate => candidate.name === movePrefix + move.service);
                const record = current === undefined ? undefined : parseMoveRecord(current);
                const hasRecord = record !== undefined && record.to === move.to && record.deadline === move.deadline;
                const service = configuration.findService(move.service);
                const isTooLate = move.deadline - clock.getWallTime() < this.getDeadlineMargin();
                if (hasRecord || isTooLate || service === undefined || service.version === move.to || record?.state === MoveState.Running) {
                    continue;
                }
                await this.createMove(service.name, service.version, move.to, move.deadline, current);
            }
        }
    }

    private async createMove(
        service: string,
        from: string,
        to: string,
        deadline: number,
        current: StoredObject | undefined,
    ): Promise<void> {
        const record = createMoveRecord(service, from, to, deadline, this.dependencies.clock.getWallTime());
        const name = movePrefix + service;
        const written = await writeObject(this.dependencies.store, name, record, current);
        if (written.ok) {
            this.dependencies.objects.applyObject({ name, revision: written.val, value: record });
        }
    }

    private async runMove(record: MoveRecord, revision: number): Promise<void> {
        if (record.state !== MoveState.Running) {
            await this.recordUnconfirmedDomains(record, revision);
            return;
        }
        const { keeper, clock } = this.dependencies;
        const rollback = keeper.findRollback(record.service);
        if (rollback !== undefined) {
            await this.endMove(record, revision, MoveState.TakenBack, rollback.reason, rollback.detail);
            return;
        }
        if (clock.getWallTime() >= record.deadline - this.getDeadlineMargin()) {
            const { trials, timed } = keeper.computeEvidence(record.service, record.to);
            const detail = `${trials} of ${completionTrials} attempts seen, ${timed} of ${completionComparedTrials} compared`;
            await this.endMove(record, revision, MoveState.TakenBack, MoveReason.Deadline, detail);
            return;
        }
        await this.advanceMove(record, revision);
    }

    private async advanceMove(record: MoveRecord, revision: number): Promise<void> {
        const { keeper } = this.dependencies;
        const counts = keeper.computeEvidence(record.service, record.to);
        const isBelowEvidenceLimit = keeper.getEvidence(record.service) < stepEvidenceLimit;
        const isSeenEnough = counts.trials >= completionTrials && counts.timed >= completionComparedTrials;
        if (isBelowEvidenceLimit && record.share >= finalStageShare && isSeenEnough) {
            await this.endMove(
                record,
                revision,
                MoveState.Completed,
                MoveReason.Evidence,
                `${counts.trials} attempts, ${counts.failures} failures`,
            );
            return;
        }
        const next = this.computeNextShare(record, counts.trials, isBelowEvidenceLimit);
        if (next > record.share || record.fencing !== this.dependencies.lease.getGrant()?.fencing) {
            const stepped = next > record.share
                ? createShareStep(record, next, this.dependencies.clock.getWallTime(), counts.trials, counts.failures)
                : record;
            await this.writeRecord(stepped, revision);
        }
    }

    private computeNextShare(record: MoveRecord, trials: number, isBelowEvidenceLimit: boolean): number {
        if (!this.isLoadedInEveryDomain(record)) {
            return record.share;
        }
        if (record.share === 0) {
            this.trialsAtStageStart.set(record.id, trials);
            return this.computeFirstShare(record);
        }
        // A new lease holder has no count from the start of the stage, so it counts from now.
        const stageStart = this.trialsAtStageStart.get(record.id) ?? trials;
        this.trialsAtStageStart.set(record.id, stageStart);
        const needed = record.steps.length <= 2 ? firstStageTrials : stageTrials;
        if (!isBelowEvidenceLimit || trials - stageStart < needed) {
            return record.share;
        }
        this.trialsAtStageStart.set(record.id, trials);
        return Math.min(
            1,
            record.share * shareGrowth >= finalStageShare ? Math.max(finalStageShare, record.share) : record.share * shareGrowth,
        );
    }

    /** Computes the first share: small for services with much traffic, larger where the first stage would take too long. */
    private computeFirstShare(record: MoveRecord): number {
        const service = this.dependencies.configuration.findService(record.service);
        const hours = (record.deadline - this.dependencies.clock.getWallTime()) / millisecondsPerHour;
        const expected = Math.max(1, (service?.requestsPerHour ?? 1) * hours);
        return Math.min(maximumFirstShare, Math.max(minimumFirstShare, firstStageTrials / (expected * firstStageRequestFraction)));
    }

    /** Returns whether the new version is loaded on at least one endpoint in every failure domain of its group. */
    private isLoadedInEveryDomain(record: MoveRecord): boolean {
        const { configuration, registry } = this.dependencies;
        const service = configuration.findService(record.service);
        const declared = service?.versions.find(version => version.name === record.to);
        if (service === undefined || declared === undefined) {
            return false;
        }
        const reporting = registry.listGroup(declared.group ?? service.group).filter(entry =>
            registry.isEligible(entry) && (entry.load?.models.length ?? 0) > 0
        );
        const domains = new Set(reporting.map(entry => entry.description.failureDomain));
        for (const entry of reporting) {
            if (entry.load?.models.includes(declared.model) === true) {
                domains.delete(entry.description.failureDomain);
            }
        }
        return domains.size === 0;
    }

    private async endMove(
        record: MoveRecord,
        revision: number,
        state: MoveState.Completed | MoveState.TakenBack,
        reason: MoveReason,
        detail: string,
    ): Promise<void> {
        const counts = this.dependencies.keeper.computeEvidence(record.service, record.to);
        const ended = createEndedRecord(
            record,
            state,
            reason,
            detail,
            this.dependencies.clock.getWallTime(),
            counts.trials,
            counts.failures,
        );
        await this.writeRecord(ended, revision);
    }

    /** Records, once the confirmation time after the end has passed, the failure domains that have not confirmed it. */
    private async recordUnconfirmedDomains(record: MoveRecord, revision: number): Promise<void> {
        const { clock, directory } = this.dependencies;
        if (record.is_accounted || clock.getWallTime() - (record.ended_at ?? 0) < endConfirmationMilliseconds) {
            return;
        }
        const confirmed = new Set([directory.identity.failureDomain]);
        for (const member of directory.listMembers()) {
            if (directory.isReachable(member) && (member.revisions.get(movePrefix + record.service) ?? 0) >= revision) {
                confirmed.add(member.failureDomain);
            }
        }
        const unconfirmed = directory.listOtherDomains().filter(domain => !confirmed.has(domain));
        await this.writeRecord({ ...record, unconfirmed_domains: unconfirmed, is_accounted: true }, revision);
    }

    /** Writes a record under the lease; skips it while another write of the same service's move is pending. */
    private async writeRecord(record: MoveRecord, revision: number): Promise<void> {
        const grant = this.dependencies.lease.getGrant();
        if (grant === undefined || this.pendingWrites.has(record.service)) {
            return;
        }
        this.pendingWrites.add(record.service);
        const name = movePrefix + record.service;
        const value = { ...record, fencing: grant.fencing };
        const written = await this.dependencies.store.replaceObject(name, value, revision);
        this.pendingWrites.delete(record.service);
        if (written.ok) {
            const change = this.dependencies.objects.applyObject({ name, revision: written.val, value });
            if (change === SharedObjectChange.Applied && value.state === MoveState.Running) {
                this.grantShare(value);
            }
        }
        // The next round reads the record again and so resolves an unknown outcome.
    }
}

/** Creates the record of a move that begins now. */
export function createMoveRecord(service: string, from: string, to: string, deadline: number, now: number): MoveRecord {
    return {
        id: createIdentifier(),
        service,
        from,
        to,
        started_at: now,
        deadline,
        state: MoveState.Running,
        share: 0,
        reason: MoveReason.Started,
        detail: "",
        steps: [{ at: now, share: 0, reason: MoveReason.Started, trials: 0, failures: 0 }],
        fencing: 0,
        unconfirmed_domains: [],
        is_accounted: false,
    };
}
