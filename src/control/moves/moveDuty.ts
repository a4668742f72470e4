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
import { LeaseKeeper } from "../commands/leaseKeeper.js";
import { SharedObjectChange, SharedObjects } from "../sharedObjects.js";
import { clockDifferenceLimitMilliseconds, ClockMonitor } from "./clockMonitor.js";
import { grantTermMilliseconds, MoveKeeper } from "./moveKeeper.js";
import { createEndedRecord, createShareStep, MoveReason, MoveRecord, MoveState, parseMoveRecord } from "./moveRecord.js";

const roundMilliseconds = 500;
/** Requests that are to reach the new version while its share is still at its smallest. */
const firstStageTrials = 8;
/** The smallest share, for services with much traffic, and the largest first share, for those with little. */
const leastFirstShare = 0.01;
const mostFirstShare = 0.2;
/** Part of the requests expected until the deadline that the first stage may use up. */
const firstStagePart = 0.25;
/** Factor from one share to the next, and the share from which the next step completes the move. */
const shareGrowth = 3;
const lastShare = 0.5;
/** Attempts at the new version before each further step. */
const stageTrials = 12;
/** Attempts at the new version before the move is completed. */
const completionTrials = 50;
/** Evidence against the version, as a share of the bound, above which no step is taken. */
const cautionEvidence = 0.4;
/** Time after the end within which every reachable domain confirms it, in milliseconds. */
const accountMilliseconds = 4_000;
/** Sequence numbers of one holder. */
const sequenceSpan = 1_000_000n;

/** The parts of a node that running moves needs. */
export interface MoveDutyParts {
    readonly store: ObjectStore;
    readonly objects: SharedObjects;
    readonly keeper: MoveKeeper;
    readonly lease: LeaseKeeper;
    readonly configuration: ConfigurationSet;
    readonly registry: EndpointRegistry;
    readonly directory: MemberDirectory;
    readonly clocks: ClockMonitor;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Longest time in which a write to the platform takes effect or never does, in milliseconds. */
    readonly writeSettleTime: number;
}

/** Runs the fleet's moves while this node holds the fleet's lease: raises shares by evidence, completes, takes back. */
export class MoveDuty {
    private readonly stopping = new AbortController();
    private readonly stageStarts = new Map<string, number>();
    private readonly stepping = new Set<string>();
    private counter = 0n;
    private lastFencing = 0;

    private constructor(private readonly parts: MoveDutyParts) {}

    static create(parts: MoveDutyParts): MoveDuty {
        return new MoveDuty(parts);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.runRound();
            await this.parts.clock.sleep(roundMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns the time before a deadline at which a move must be completed, in milliseconds. */
    getMargin(): number {
        return this.parts.writeSettleTime + clockDifferenceLimitMilliseconds;
    }

    /** Looks at every move once. */
    async runRound(): Promise<void> {
        if (this.parts.lease.getGrant() === undefined) {
            return;
        }
        // Grants are renewed from memory, so that a slow platform does not end them.
        this.renewGrants();
        const listed = await this.parts.store.listObjects(movePrefix);
        if (listed.err) {
            return;
        }
        for (const object of listed.val.objects) {
            this.parts.objects.applyObject(object);
        }
        await this.startDeclaredMoves(listed.val.objects);
        for (const object of listed.val.objects) {
            const record = parseMoveRecord(object);
            if (record !== undefined && this.isCurrent(object, record)) {
                await this.runMove(record, object.revision);
            }
        }
    }

    /** A stale list must not lead to a decision. */
    private isCurrent(object: StoredObject, record: MoveRecord): boolean {
        return object.revision >= this.parts.keeper.getRevision(record.service);
    }

    private renewGrants(): void {
        for (const record of this.parts.keeper.listRecords()) {
            if (record.state === MoveState.Running && record.fencing === this.parts.lease.getGrant()?.fencing) {
                this.grantShare(record);
            }
        }
    }

    private grantShare(record: MoveRecord): void {
        const grant = this.parts.lease.getGrant();
        if (grant === undefined || !this.parts.clocks.isWithinBounds()) {
            return;
        }
        if (grant.fencing !== this.lastFencing) {
            this.lastFencing = grant.fencing;
            this.counter = 0n;
        }
        this.counter += 1n;
        const sequence = BigInt(grant.fencing) * sequenceSpan + this.counter;
        const untilDeadline = record.deadline - this.parts.clock.getWallTime();
        const term = Math.min(grantTermMilliseconds, grant.remaining, Math.max(0, untilDeadline));
        this.parts.keeper.grantShare(record.service, sequence, record.share, term);
    }

    /** Starts the moves that the configuration declares and that have not been run. */
    private async startDeclaredMoves(existing: readonly StoredObject[]): Promise<void> {
        const { configuration, clock } = this.parts;
        for (const object of configuration.listObjects()) {
            for (const move of object.configuration.moves) {
                const current = existing.find(candidate => candidate.name === movePrefix + move.service);
                const record = current === undefined ? undefined : parseMoveRecord(current);
                const isRun = record !== undefined && record.to === move.to && record.deadline === move.deadline;
                const service = configuration.findService(move.service);
                const isLate = move.deadline - clock.getWallTime() < this.getMargin();
                if (isRun || isLate || service === undefined || service.version === move.to || record?.state === MoveState.Running) {
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
        const record = createMoveRecord(service, from, to, deadline, this.parts.clock.getWallTime());
        const name = movePrefix + service;
        const written = await writeObject(this.parts.store, name, record, current);
        if (written.ok) {
            this.parts.objects.applyObject({ name, revision: written.val, value: record });
        }
    }

    private async runMove(record: MoveRecord, revision: number): Promise<void> {
        if (record.state !== MoveState.Running) {
            await this.accountForEnd(record, revision);
            return;
        }
        const { keeper, clock } = this.parts;
        const takeBack = keeper.findTakeBack(record.service);
        if (takeBack !== undefined) {
            await this.endMove(record, revision, MoveState.TakenBack, takeBack.reason, takeBack.detail);
            return;
        }
        if (clock.getWallTime() >= record.deadline - this.getMargin()) {
            const detail = `${keeper.computeEvidence(record.service, record.to).trials} of ${completionTrials} attempts seen`;
            await this.endMove(record, revision, MoveState.TakenBack, MoveReason.Deadline, detail);
            return;
        }
        await this.advanceMove(record, revision);
    }

    private async advanceMove(record: MoveRecord, revision: number): Promise<void> {
        const { keeper } = this.parts;
        const counts = keeper.computeEvidence(record.service, record.to);
        const isCalm = keeper.getEvidence(record.service) < cautionEvidence;
        if (isCalm && record.share >= lastShare && counts.trials >= completionTrials) {
            await this.endMove(
                record,
                revision,
                MoveState.Completed,
                MoveReason.Evidence,
                `${counts.trials} attempts, ${counts.failures} failures`,
            );
            return;
        }
        const next = this.computeNextShare(record, counts.trials, isCalm);
        if (next > record.share || record.fencing !== this.parts.lease.getGrant()?.fencing) {
            const stepped = next > record.share
                ? createShareStep(record, next, this.parts.clock.getWallTime(), counts.trials, counts.failures)
                : record;
            await this.writeRecord(stepped, revision);
        }
    }

    private computeNextShare(record: MoveRecord, trials: number, isCalm: boolean): number {
        if (!this.isLoaded(record)) {
            return record.share;
        }
        if (record.share === 0) {
            this.stageStarts.set(record.id, trials);
            return this.computeFirstShare(record);
        }
        // A new holder does not know when the stage began; it counts from now on.
        const stageStart = this.stageStarts.get(record.id) ?? trials;
        this.stageStarts.set(record.id, stageStart);
        const needed = record.steps.length <= 2 ? firstStageTrials : stageTrials;
        if (!isCalm || trials - stageStart < needed) {
            return record.share;
        }
        this.stageStarts.set(record.id, trials);
        return Math.min(1, record.share * shareGrowth >= lastShare ? Math.max(lastShare, record.share) : record.share * shareGrowth);
    }

    /** Chooses the first share: small where traffic is plentiful, larger where the first stage would outlast the deadline. */
    private computeFirstShare(record: MoveRecord): number {
        const service = this.parts.configuration.findService(record.service);
        const hours = (record.deadline - this.parts.clock.getWallTime()) / millisecondsPerHour;
        const expected = Math.max(1, (service?.requestsPerHour ?? 1) * hours);
        return Math.min(mostFirstShare, Math.max(leastFirstShare, firstStageTrials / (expected * firstStagePart)));
    }

    /** Says whether the new version is loaded somewhere in every failure domain that serves the old one. */
    private isLoaded(record: MoveRecord): boolean {
        const { configuration, registry } = this.parts;
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
        const counts = this.parts.keeper.computeEvidence(record.service, record.to);
        const ended = createEndedRecord(record, state, reason, detail, this.parts.clock.getWallTime(), counts.trials, counts.failures);
        await this.writeRecord(ended, revision);
    }

    /** Names, some time after the end, the failure domains that could not confirm it. */
    private async accountForEnd(record: MoveRecord, revision: number): Promise<void> {
        const { clock, directory } = this.parts;
        if (record.is_accounted || clock.getWallTime() - (record.ended_at ?? 0) < accountMilliseconds) {
            return;
        }
        const confirmed = new Set([directory.identity.failureDomain]);
        for (const member of directory.listMembers()) {
            if (directory.isAlive(member) && (member.revisions.get(movePrefix + record.service) ?? 0) >= revision) {
                confirmed.add(member.failureDomain);
            }
        }
        const unconfirmed = directory.listOtherDomains().filter(domain => !confirmed.has(domain));
        await this.writeRecord({ ...record, unconfirmed_domains: unconfirmed, is_accounted: true }, revision);
    }

    /** Writes a record under the lease; one write of a move at a time. */
    private async writeRecord(record: MoveRecord, revision: number): Promise<void> {
        const grant = this.parts.lease.getGrant();
        if (grant === undefined || this.stepping.has(record.service)) {
            return;
        }
        this.stepping.add(record.service);
        const name = movePrefix + record.service;
        const value = { ...record, fencing: grant.fencing };
        const written = await this.parts.store.replaceObject(name, value, revision);
        this.stepping.delete(record.service);
        if (written.ok) {
            const change = this.parts.objects.applyObject({ name, revision: written.val, value });
            if (change === SharedObjectChange.Applied && value.state === MoveState.Running) {
                this.grantShare(value);
            }
        }
        // A lost answer is settled by the next round, which reads the record again.
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
