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
import { ShadowPolicy } from "../../requests/commands/shadowRequestRunner.js";
import { VersionObservation, VersionObserver, VersionPolicy } from "../../requests/types.js";
import { SharedObjectConsumer } from "../sharedObjects.js";
import { MoveEvidenceExchange } from "../types.js";
import { LatencyBaseline, LatencyKind } from "./latencyBaseline.js";
import { createEmptyCounts, EvidenceCounts, EvidenceEntry, MoveEvidence } from "./moveEvidence.js";
import { MoveReason, MoveRecord, MoveState, parseMoveRecord } from "./moveRecord.js";
import { cumulativeSumFactory, TestFactory, VersionJudge } from "./versionJudge.js";

/** Upper limit of evidence entries in one digest; bounds its size. */
const evidenceEntriesPerDigest = 40;
/** Evidence against the new version, as a share of the rollback bound, from which it gets shadow requests. */
const shadowEvidenceThreshold = 0.2;
/** Time for which the new version gets shadow requests after the evidence against it last increased. */
const shadowPeriodMilliseconds = 8_000;
/** Time after which a grant expires unless it is renewed. */
export const grantTermMilliseconds = 5_000;
const hashRange = 0x1_0000_0000;

/** Share of this node's traffic that the new version may get until the grant expires. */
interface ActiveGrant {
    readonly sequence: bigint;
    readonly share: number;
    /** Monotonic milliseconds. */
    readonly expiresAt: number;
}

/** State that this node keeps for one move. */
interface TrackedMove {
    record: MoveRecord;
    revision: number;
    grant: ActiveGrant | undefined;
    /** Why this node or a peer rolled the new version back; undefined while it may get traffic. */
    rollback: { readonly reason: MoveReason; readonly detail: string; } | undefined;
    /** Monotonic milliseconds until which the new version gets shadow requests. */
    shadowUntil: number;
    readonly evidence: MoveEvidence;
    readonly judge: VersionJudge;
}

/** Receives a notification when a move has been completed or rolled back. */
export interface MoveListener {
    handleMoveEnd(record: MoveRecord): void;
}

/**
 * Controls the node's traffic in version moves: selects the version of each request by the granted share, collects evidence from
 * attempts, and stops the new version's traffic at once when the evidence reaches the rollback bound.
 */
export class MoveController implements SharedObjectConsumer, VersionPolicy, VersionObserver, ShadowPolicy, MoveEvidenceExchange {
    readonly prefix = movePrefix;
    private readonly moves = new Map<string, TrackedMove>();
    private readonly baselines = new Map<string, LatencyBaseline>();
    private readonly listeners = new Set<MoveListener>();

    private constructor(
        private readonly identity: NodeIdentity,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly notifier: UrgentNotifier,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
        private readonly testFactory: TestFactory,
    ) {}

    static create(
        identity: NodeIdentity,
        clock: Clock,
        random: RandomSource,
        notifier: UrgentNotifier,
        metrics: Metrics,
        logger: Logger,
        testFactory: TestFactory = cumulativeSumFactory,
    ): MoveController {
        return new MoveController(identity, clock, random, notifier, metrics, logger, testFactory);
    }

    addListener(listener: MoveListener): void {
        this.listeners.add(listener);
    }

    applyObject(object: StoredObject): boolean {
        const record = parseMoveRecord(object);
        if (record === undefined || object.name !== movePrefix + record.service) {
            return false;
        }
        const tracked = this.moves.get(record.service);
        if (tracked === undefined || tracked.record.id !== record.id) {
            this.moves.set(record.service, this.createTrackedMove(record, object.revision));
            this.logger.info("started to track a version move", { service: record.service, to: record.to, state: record.state });
            return true;
        }
        const hasEnded = tracked.record.state === MoveState.Running && record.state !== MoveState.Running;
        tracked.record = record;
        tracked.revision = object.revision;
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
        const fraction = parseInt(hashSha256(`${move.record.id}\n${requestId}`).slice(0, 8), 16) / hashRange;
        return fraction < share ? move.record.to : service.version;
    }

    /** Returns the version that serves a service apart from the share of a running move. */
    getServingVersion(service: ServiceDeclaration): string {
        const move = this.moves.get(service.name);
        const isCompleted = move?.record.state === MoveState.Completed && move.record.from === service.version;
        return isCompleted ? move.record.to : service.version;
    }

    /** Returns the share of this node's traffic, from 0 to 1, that the new version of a service gets now. */
    getCurrentShare(serviceName: string): number {
        const move = this.moves.get(serviceName);
        return move === undefined ? 0 : this.getShare(move);
    }

    findRecord(serviceName: string): MoveRecord | undefined {
        return this.moves.get(serviceName)?.record;
    }

    /** Returns the new version of a running move while it gets shadow requests; only idempotent services get them. */
    findShadowVersion(service: ServiceDeclaration): string | undefined {
        const move = this.moves.get(service.name);
        if (move === undefined || move.record.state !== MoveState.Running || move.rollback !== undefined || !service.idempotent) {
            return undefined;
        }
        return move.shadowUntil > this.clock.getMonotonicTime() ? move.record.to : undefined;
    }

    /** Returns the revision of this node's copy of a service's move, or 0 when there is none. */
    getRevision(serviceName: string): number {
        return this.moves.get(serviceName)?.revision ?? 0;
    }

    listRecords(): MoveRecord[] {
        return [...this.moves.values()].map(move => move.record);
    }

    /** Returns why this node stopped the new version's traffic, or undefined. */
    findRollback(serviceName: string): { readonly reason: MoveReason; readonly detail: string; } | undefined {
        return this.moves.get(serviceName)?.rollback;
    }

    /** Returns the counts of all nodes for a version of a service's move. */
    computeEvidence(serviceName: string, version: string): EvidenceCounts {
        return this.moves.get(serviceName)?.evidence.computeCounts(version) ?? createEmptyCounts();
    }

    /** Returns the strongest evidence against the new version as a share of the bound, from 0 to 1. */
    getEvidence(serviceName: string): number {
        return this.moves.get(serviceName)?.judge.getEvidence() ?? 0;
    }

    /** Grants the new version of a move a share for a term in milliseconds; called by the holder of the fleet's lease. */
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
        const counts = move.evidence.getOrCreateCounts(source);
        for (const key of Object.keys(added) as (keyof EvidenceCounts)[]) {
            counts[key] += added[key];
        }
        if (observation.version === move.record.to) {
            this.judgeCounts(move, route, added);
        }
    }

    createEvidence(): NodeDigestInit["evidence"] {
        const localEntries: { move: TrackedMove; entry: EvidenceEntry; }[] = [];
        const peerEntries: { move: TrackedMove; entry: EvidenceEntry; }[] = [];
        for (const move of this.moves.values()) {
            if (move.record.state !== MoveState.Running) {
                continue;
            }
            for (const entry of move.evidence.listEntries()) {
                (entry.node === this.identity.name ? localEntries : peerEntries).push({ move, entry });
            }
        }
        const chosen = [...localEntries, ...this.pickRotated(peerEntries)].slice(0, evidenceEntriesPerDigest);
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
            if (remaining > 0 || move.rollback !== undefined) {
                grants.push({
                    service: move.record.service,
                    move: move.record.id,
                    sequence: move.grant?.sequence ?? 0n,
                    share: move.grant?.share ?? 0,
                    remainingMilliseconds: remaining,
                    takenBack: move.rollback !== undefined,
                    reason: move.rollback?.reason ?? "",
                });
            }
        }
        return grants;
    }

    applyGrants(grants: NodeDigest["grants"]): boolean {
        let hasUrgentChange = false;
        for (const grant of grants) {
            const move = this.moves.get(grant.service);
            if (move === undefined || move.record.id !== grant.move) {
                continue;
            }
            if (grant.takenBack && move.rollback === undefined) {
                hasUrgentChange = true;
                const reason = Object.values(MoveReason).find(candidate => candidate === grant.reason) ?? MoveReason.Failures;
                this.recordRollback(move, reason, "seen by another node");
            }
            const expiresAt = this.clock.getMonotonicTime() + grant.remainingMilliseconds;
            this.applyGrant(move, { sequence: grant.sequence, share: grant.share, expiresAt });
        }
        return hasUrgentChange;
    }

    private createTrackedMove(record: MoveRecord, revision: number): TrackedMove {
        const evidence = MoveEvidence.create();
        return {
            record,
            revision,
            grant: undefined,
            rollback: undefined,
            shadowUntil: -Infinity,
            evidence,
            judge: VersionJudge.create(evidence, record.from, this.testFactory),
        };
    }

    private getShare(move: TrackedMove): number {
        const { record } = move;
        if (record.state === MoveState.Completed) {
            return 1;
        }
        const hasEnded = record.state === MoveState.TakenBack || this.clock.getWallTime() >= record.deadline;
        if (hasEnded || move.rollback !== undefined || move.grant === undefined) {
            return 0;
        }
        return move.grant.expiresAt > this.clock.getMonotonicTime() ? move.grant.share : 0;
    }

    private applyGrant(move: TrackedMove, grant: ActiveGrant): void {
        const current = move.grant;
        const isNewer = current === undefined || grant.sequence > current.sequence;
        // The term of a relayed copy does not include the relay's delay, so the copy would expire too late; the first copy is kept.
        if (isNewer) {
            move.grant = grant;
            this.metrics.moveShare.set({ service: move.record.service }, this.getShare(move));
        }
    }

    private judgeCounts(move: TrackedMove, route: string, added: EvidenceCounts): void {
        const evidenceBefore = move.judge.getEvidence();
        move.judge.addCounts(route, added);
        this.updateShadowPeriod(move, evidenceBefore);
        const finding = move.judge.getFinding();
        if (finding !== undefined && move.rollback === undefined) {
            const scope = finding.route === "" ? "on all routes" : `on route ${finding.route}`;
            this.recordRollback(move, finding.reason, scope);
            void this.notifier.sendUrgentDigest();
        }
    }

    /**
     * Starts or extends the shadow period when the evidence has increased. The period continues while the evidence stays the
     * same, since a version may fail on part of the requests only.
     */
    private updateShadowPeriod(move: TrackedMove, evidenceBefore: number): void {
        const evidence = move.judge.getEvidence();
        if (evidence < shadowEvidenceThreshold || evidence <= evidenceBefore) {
            return;
        }
        const now = this.clock.getMonotonicTime();
        const isPeriodStart = move.shadowUntil <= now;
        move.shadowUntil = now + shadowPeriodMilliseconds;
        if (isPeriodStart) {
            // The other nodes then send shadow requests too and add evidence.
            void this.notifier.sendUrgentDigest();
        }
    }

    private recordRollback(move: TrackedMove, reason: MoveReason, detail: string): void {
        move.rollback = { reason, detail };
        this.metrics.moveShare.set({ service: move.record.service }, 0);
        this.logger.warn("stopped the traffic of the new version", {
            service: move.record.service,
            version: move.record.to,
            reason,
            detail,
        });
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

    private getOrCreateBaseline(service: string): LatencyBaseline {
        const existing = this.baselines.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const baseline = LatencyBaseline.create();
        this.baselines.set(service, baseline);
        return baseline;
    }

    /** Adds the token times of an attempt at the old or only version to the service's baseline, with which a new version is compared. */
    private recordBaseline(observation: VersionObservation): void {
        const baseline = this.getOrCreateBaseline(observation.service);
        if (observation.firstToken !== undefined) {
            baseline.recordTime(LatencyKind.FirstToken, observation.load, observation.firstToken);
        }
        if (observation.betweenTokens !== undefined) {
            baseline.recordTime(LatencyKind.BetweenTokens, observation.load, observation.betweenTokens);
        }
    }

    private createCounts(observation: VersionObservation): EvidenceCounts {
        const baseline = this.getOrCreateBaseline(observation.service);
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
