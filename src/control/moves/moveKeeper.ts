import { Clock } from "../../common/clock.js";
import { hashSha256 } from "../../common/hashing.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { RandomSource } from "../../common/random.js";
import { movePrefix } from "../../config/objectNames.js";
import { ServiceDeclaration } from "../../config/types.js";
import { NodeIdentity } from "../../peers/memberDirectory.js";
import { NodeDigest, NodeDigestInit, ShareGrantInit, UrgentNotifier } from "../../peers/types.js";
import { StoredObject } from "../../provider/types.js";
import { ShadowPolicy } from "../../requests/commands/shadowRunner.js";
import { VersionObservation, VersionObserver, VersionPolicy } from "../../requests/types.js";
import { SharedObjectConsumer } from "../sharedObjects.js";
import { MoveEvidenceExchange } from "../types.js";
import { LatencyBaseline, LatencyKind } from "./latencyBaseline.js";
import { createEmptyCounts, EvidenceCounts, EvidenceEntry, MoveEvidence } from "./moveEvidence.js";
import { MoveReason, MoveRecord, MoveState, parseMoveRecord } from "./moveRecord.js";
import { cumulativeSumFactory, TestFactory, VersionJudge } from "./versionJudge.js";

/** Entries of evidence in one digest. */
const evidenceLimit = 40;
/** Evidence against a version, as a share of the bound, from which it is tried without callers. */
const doubtEvidence = 0.2;
/** Time for which a version is tried without callers after its evidence last grew, in milliseconds. */
const doubtMilliseconds = 8_000;
/** Term of a grant, in milliseconds. */
export const grantTermMilliseconds = 5_000;
const hashSpan = 0x1_0000_0000;

/** A share that the new version may get, until it expires. */
interface HeldGrant {
    readonly sequence: bigint;
    readonly share: number;
    /** Monotonic milliseconds. */
    readonly expiresAt: number;
}

/** What this node knows of one move. */
interface KnownMove {
    record: MoveRecord;
    revision: number;
    grant: HeldGrant | undefined;
    /** Why this node or a peer saw the version to be bad. */
    takenBack: { readonly reason: MoveReason; readonly detail: string; } | undefined;
    /** Monotonic milliseconds until which the new version is tried without callers. */
    doubtUntil: number;
    readonly evidence: MoveEvidence;
    readonly judge: VersionJudge;
}

/** Learns when a move ends. */
export interface MoveListener {
    handleMoveEnd(record: MoveRecord): void;
}

/**
 * The node's part in version moves: serves each version its share while the grant lasts, counts what attempts show,
 * and lowers the share to nothing at once when the new version shows itself to be bad.
 */
export class MoveKeeper implements SharedObjectConsumer, VersionPolicy, VersionObserver, ShadowPolicy, MoveEvidenceExchange {
    readonly prefix = movePrefix;
    private readonly moves = new Map<string, KnownMove>();
    private readonly baselines = new Map<string, LatencyBaseline>();
    private readonly listeners = new Set<MoveListener>();

    private constructor(
        private readonly identity: NodeIdentity,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly notifier: UrgentNotifier,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
        private readonly factory: TestFactory,
    ) {}

    static create(
        identity: NodeIdentity,
        clock: Clock,
        random: RandomSource,
        notifier: UrgentNotifier,
        metrics: Metrics,
        logger: Logger,
        factory: TestFactory = cumulativeSumFactory,
    ): MoveKeeper {
        return new MoveKeeper(identity, clock, random, notifier, metrics, logger, factory);
    }

    addListener(listener: MoveListener): void {
        this.listeners.add(listener);
    }

    applyObject(object: StoredObject): boolean {
        const record = parseMoveRecord(object);
        if (record === undefined || object.name !== movePrefix + record.service) {
            return false;
        }
        const known = this.moves.get(record.service);
        if (known === undefined || known.record.id !== record.id) {
            this.moves.set(record.service, this.createKnownMove(record, object.revision));
            this.logger.info("version move seen", { service: record.service, to: record.to, state: record.state });
            return true;
        }
        const hasEnded = known.record.state === MoveState.Running && record.state !== MoveState.Running;
        known.record = record;
        known.revision = object.revision;
        if (hasEnded) {
            this.recordEnd(record);
        }
        return true;
    }

    selectVersion(service: ServiceDeclaration, requestId: string): string {
        const move = this.moves.get(service.name);
        if (move === undefined || move.record.from !== service.version) {
            return service.version;
        }
        const share = this.getShare(move);
        if (share <= 0) {
            return service.version;
        }
        const fraction = parseInt(hashSha256(`${move.record.id}\n${requestId}`).slice(0, 8), 16) / hashSpan;
        return fraction < share ? move.record.to : service.version;
    }

    /** Returns the version that serves a service but for the share of a running move. */
    getServingVersion(service: ServiceDeclaration): string {
        const move = this.moves.get(service.name);
        const isCompleted = move?.record.state === MoveState.Completed && move.record.from === service.version;
        return isCompleted ? move.record.to : service.version;
    }

    /** Returns the share of the traffic that the new version of a service gets from this node now. */
    getCurrentShare(serviceName: string): number {
        const move = this.moves.get(serviceName);
        return move === undefined ? 0 : this.getShare(move);
    }

    findRecord(serviceName: string): MoveRecord | undefined {
        return this.moves.get(serviceName)?.record;
    }

    /** Returns the new version of a running move while the evidence leaves doubt about it. */
    findShadowVersion(service: ServiceDeclaration): string | undefined {
        const move = this.moves.get(service.name);
        if (move === undefined || move.record.state !== MoveState.Running || move.takenBack !== undefined || !service.idempotent) {
            return undefined;
        }
        return move.doubtUntil > this.clock.getMonotonicTime() ? move.record.to : undefined;
    }

    /** Returns the revision at which this node knows the move of a service, or 0. */
    getRevision(serviceName: string): number {
        return this.moves.get(serviceName)?.revision ?? 0;
    }

    listRecords(): MoveRecord[] {
        return [...this.moves.values()].map(move => move.record);
    }

    /** Returns why this node holds the new version to be bad, or undefined. */
    findTakeBack(serviceName: string): { readonly reason: MoveReason; readonly detail: string; } | undefined {
        return this.moves.get(serviceName)?.takenBack;
    }

    /** Returns what all nodes counted of a version of a running move. */
    computeEvidence(serviceName: string, version: string): EvidenceCounts {
        return this.moves.get(serviceName)?.evidence.computeCounts(version) ?? createEmptyCounts();
    }

    /** Returns the strongest evidence against the new version as a share of the bound. */
    getEvidence(serviceName: string): number {
        return this.moves.get(serviceName)?.judge.getEvidence() ?? 0;
    }

    /** Gives the new version of a move a share for one term; called by the holder of the fleet's lease. */
    grantShare(serviceName: string, sequence: bigint, share: number, term: number): void {
        const move = this.moves.get(serviceName);
        if (move !== undefined) {
            this.applyGrant(move, { sequence, share, expiresAt: this.clock.getMonotonicTime() + term });
        }
    }

    recordObservation(observation: VersionObservation): void {
        const move = this.moves.get(observation.service);
        const isRunning = move?.record.state === MoveState.Running;
        if (!isRunning || observation.version === move.record.from) {
            this.recordBaseline(observation);
        }
        if (!isRunning || (observation.version !== move.record.from && observation.version !== move.record.to)) {
            return;
        }
        const added = this.createCounts(observation);
        const route = `${observation.team}/${observation.route}`;
        const source = { version: observation.version, route, node: this.identity.name, incarnation: this.identity.incarnation };
        const counts = move.evidence.openCounts(source);
        for (const key of Object.keys(added) as (keyof EvidenceCounts)[]) {
            counts[key] += added[key];
        }
        if (observation.version === move.record.to) {
            this.judgeCounts(move, route, added);
        }
    }

    createEvidence(): NodeDigestInit["evidence"] {
        const own: { move: KnownMove; entry: EvidenceEntry; }[] = [];
        const others: { move: KnownMove; entry: EvidenceEntry; }[] = [];
        for (const move of this.moves.values()) {
            if (move.record.state !== MoveState.Running) {
                continue;
            }
            for (const entry of move.evidence.listEntries()) {
                (entry.node === this.identity.name ? own : others).push({ move, entry });
            }
        }
        const chosen = [...own, ...this.pickRotated(others)].slice(0, evidenceLimit);
        return chosen.map(({ move, entry }) => ({
            service: move.record.service,
            move: move.record.id,
            version: entry.version,
            route: entry.route,
            node: entry.node,
            incarnation: BigInt(entry.incarnation),
            trials: entry.counts.trials,
            failures: entry.counts.failures,
            timed: entry.counts.timed,
            slowFirstTokens: entry.counts.slowFirstTokens,
            slowGaps: entry.counts.slowGaps,
            incomplete: entry.counts.incomplete,
        }));
    }

    applyEvidence(evidence: NodeDigest["evidence"]): void {
        for (const entry of evidence) {
            const move = this.moves.get(entry.service);
            if (move === undefined || move.record.id !== entry.move || entry.node === this.identity.name) {
                continue;
            }
            const added = move.evidence.mergeEntry({
                version: entry.version,
                route: entry.route,
                node: entry.node,
                incarnation: Number(entry.incarnation),
                counts: {
                    trials: entry.trials,
                    failures: entry.failures,
                    timed: entry.timed,
                    slowFirstTokens: entry.slowFirstTokens,
                    slowGaps: entry.slowGaps,
                    incomplete: entry.incomplete,
                },
            });
            if (entry.version === move.record.to && added.trials > 0) {
                this.judgeCounts(move, entry.route, added);
            }
        }
    }

    createGrants(): NodeDigestInit["grants"] {
        const now = this.clock.getMonotonicTime();
        const grants: ShareGrantInit[] = [];
        for (const move of this.moves.values()) {
            if (move.record.state !== MoveState.Running) {
                continue;
            }
            const remaining = Math.max(0, Math.floor((move.grant?.expiresAt ?? now) - now));
            if (remaining > 0 || move.takenBack !== undefined) {
                grants.push({
                    service: move.record.service,
                    move: move.record.id,
                    sequence: move.grant?.sequence ?? 0n,
                    share: move.grant?.share ?? 0,
                    remainingMilliseconds: remaining,
                    takenBack: move.takenBack !== undefined,
                    reason: move.takenBack?.reason ?? "",
                });
            }
        }
        return grants;
    }

    applyGrants(grants: NodeDigest["grants"]): boolean {
        let hasNews = false;
        for (const grant of grants) {
            const move = this.moves.get(grant.service);
            if (move === undefined || move.record.id !== grant.move) {
                continue;
            }
            if (grant.takenBack && move.takenBack === undefined) {
                hasNews = true;
                const reason = Object.values(MoveReason).find(candidate => candidate === grant.reason) ?? MoveReason.Failures;
                this.takeBack(move, reason, "seen by another node");
            }
            const expiresAt = this.clock.getMonotonicTime() + grant.remainingMilliseconds;
            this.applyGrant(move, { sequence: grant.sequence, share: grant.share, expiresAt });
        }
        return hasNews;
    }

    private createKnownMove(record: MoveRecord, revision: number): KnownMove {
        const evidence = MoveEvidence.create();
        return {
            record,
            revision,
            grant: undefined,
            takenBack: undefined,
            doubtUntil: -Infinity,
            evidence,
            judge: VersionJudge.create(evidence, record.from, this.factory),
        };
    }

    private getShare(move: KnownMove): number {
        const { record } = move;
        if (record.state === MoveState.Completed) {
            return 1;
        }
        const isOver = record.state === MoveState.TakenBack || this.clock.getWallTime() >= record.deadline;
        if (isOver || move.takenBack !== undefined || move.grant === undefined) {
            return 0;
        }
        return move.grant.expiresAt > this.clock.getMonotonicTime() ? move.grant.share : 0;
    }

    private applyGrant(move: KnownMove, grant: HeldGrant): void {
        const current = move.grant;
        const isNewer = current === undefined || grant.sequence > current.sequence;
        // A relayed copy of the same grant may show a longer rest by the time it took; the shorter one holds.
        if (isNewer) {
            move.grant = grant;
            this.metrics.moveShare.set({ service: move.record.service }, this.getShare(move));
        }
    }

    private judgeCounts(move: KnownMove, route: string, added: EvidenceCounts): void {
        const before = move.judge.getEvidence();
        move.judge.addCounts(route, added);
        this.recordDoubt(move, before);
        const finding = move.judge.getFinding();
        if (finding !== undefined && move.takenBack === undefined) {
            const where = finding.route === "" ? "on all routes" : `on route ${finding.route}`;
            this.takeBack(move, finding.reason, where);
            void this.notifier.sendUrgentDigest();
        }
    }

    /** Notes that the evidence has grown to a doubt; it is settled over some time, since a version may be bad only in part. */
    private recordDoubt(move: KnownMove, evidenceBefore: number): void {
        const evidence = move.judge.getEvidence();
        if (evidence < doubtEvidence || evidence <= evidenceBefore) {
            return;
        }
        const now = this.clock.getMonotonicTime();
        const isNew = move.doubtUntil <= now;
        move.doubtUntil = now + doubtMilliseconds;
        if (isNew) {
            // The other nodes help to settle the doubt.
            void this.notifier.sendUrgentDigest();
        }
    }

    private takeBack(move: KnownMove, reason: MoveReason, detail: string): void {
        move.takenBack = { reason, detail };
        this.metrics.moveShare.set({ service: move.record.service }, 0);
        this.logger.warn("new version gets no more traffic", { service: move.record.service, version: move.record.to, reason, detail });
    }

    private recordEnd(record: MoveRecord): void {
        this.metrics.moves.inc({ service: record.service, state: record.state });
        this.metrics.moveShare.set({ service: record.service }, record.state === MoveState.Completed ? 1 : 0);
        this.logger.info("version move ended", {
            service: record.service,
            to: record.to,
            state: record.state,
            reason: record.reason,
            detail: record.detail,
        });
        this.listeners.forEach(listener => listener.handleMoveEnd(record));
    }

    private openBaseline(service: string): LatencyBaseline {
        const existing = this.baselines.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const baseline = LatencyBaseline.create();
        this.baselines.set(service, baseline);
        return baseline;
    }

    private recordBaseline(observation: VersionObservation): void {
        const baseline = this.openBaseline(observation.service);
        if (observation.firstToken !== undefined) {
            baseline.recordTime(LatencyKind.FirstToken, observation.load, observation.firstToken);
        }
        if (observation.betweenTokens !== undefined) {
            baseline.recordTime(LatencyKind.BetweenTokens, observation.load, observation.betweenTokens);
        }
    }

    private createCounts(observation: VersionObservation): EvidenceCounts {
        const baseline = this.openBaseline(observation.service);
        const { firstToken, betweenTokens, load } = observation;
        const isSlowFirst = firstToken === undefined ? undefined : baseline.isSlow(LatencyKind.FirstToken, load, firstToken);
        const isSlowGap = betweenTokens === undefined ? undefined : baseline.isSlow(LatencyKind.BetweenTokens, load, betweenTokens);
        return {
            trials: 1,
            failures: observation.succeeded ? 0 : 1,
            timed: isSlowFirst === undefined && isSlowGap === undefined ? 0 : 1,
            slowFirstTokens: isSlowFirst === true ? 1 : 0,
            slowGaps: isSlowGap === true ? 1 : 0,
            incomplete: observation.succeeded && !observation.isComplete ? 1 : 0,
        };
    }

    private pickRotated<T>(items: readonly T[]): T[] {
        if (items.length === 0) {
            return [];
        }
        const start = this.random.pickIndex(items.length);
        return [...items.slice(start), ...items.slice(0, start)];
    }
}
