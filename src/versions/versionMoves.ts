import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { LatencyBaseline, LatencyKind } from "../control/moves/latencyBaseline.js";
import { addCounts, createEmptyCounts, EvidenceCounts, EvidenceEntry, MoveEvidence } from "../control/moves/moveEvidence.js";
import { VersionJudge } from "../control/moves/versionJudge.js";
import { EndpointEntry } from "../fleet/types.js";
import { ObjectChangeHandler } from "../provider/objectWatcher.js";
import { getEra, Revision } from "../provider/revision.js";
import { ObjectList, StoredObject } from "../provider/types.js";
import { isFinalStage, MoveStage, VersionAttempt, VersionMoveDecoder, VersionMoveOrder, VersionMoveStatus, VersionSide } from "./types.js";

/** Times are compared as percentages of the expected time: the baseline's constant margin needs numbers of that scale. */
const percent = 100;

/** Attempts at the new version that are kept until their times can be compared; the oldest are dropped first. */
const uncomparedLimit = 256;

/** An attempt at the new version that was served before the old version's times were known. */
interface UncomparedAttempt {
    readonly route: string;
    readonly load: number;
    readonly time: number;
}

/** State that a node keeps for one move. */
export interface VersionMove {
    readonly order: VersionMoveOrder;
    /** The stored object as last read or written. */
    object: StoredObject;
    account: VersionMoveStatus | undefined;
    /** Whether the store was restored from a copy without the last status, which the duty then writes again. */
    isStatusLost: boolean;
    /** Monotonic milliseconds at which this node first read the order. */
    readonly seenAt: number;
    /** Unix milliseconds. */
    deadline: number;
    /** Why this node rejected the new version, from local and peer evidence; undefined while there is no finding. */
    finding: string | undefined;
    readonly evidence: MoveEvidence;
    readonly judge: VersionJudge;
    /** Attempts of this node that wait for observations of the old version, the oldest first. */
    uncompared: UncomparedAttempt[];
}

/** Name and incarnation of the node that counted the evidence. */
export interface EvidenceNode {
    readonly name: string;
    readonly incarnation: number;
}

/** Counts of one route for the old or the new version, as exchanged between nodes. */
export interface PeerEvidence {
    readonly service: string;
    readonly target: string;
    readonly side: VersionSide;
    readonly route: string;
    readonly counts: EvidenceCounts;
    readonly node: EvidenceNode;
}

/** Follows the version moves that operators ordered, collects evidence about both versions, and stops a move at a finding against the new one. */
export class VersionMoves implements ObjectChangeHandler {
    private readonly moves = new Map<string, VersionMove>();
    private readonly baselines = new Map<string, LatencyBaseline>();
    private revision: Revision = 0;

    private constructor(
        private readonly decoder: VersionMoveDecoder,
        private readonly node: EvidenceNode,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(decoder: VersionMoveDecoder, node: EvidenceNode, clock: Clock, log: EventLog): VersionMoves {
        return new VersionMoves(decoder, node, clock, log);
    }

    handleListing(list: ObjectList): void {
        const listed = new Set(list.objects.map(object => object.name));
        const isRestored = getEra(list.revision) > getEra(this.revision);
        // After a restore the operator writes the orders again that the copy does not have.
        const unlisted = isRestored ? [] : [...this.moves.values()].filter(known => !listed.has(known.object.name));
        for (const move of unlisted) {
            this.moves.delete(move.order.service);
        }
        list.objects.forEach(object => this.handleChange(object));
    }

    handleChange(object: StoredObject): void {
        this.recordRevision(object.revision);
        const decoded = this.decoder.decodeMove(object);
        if (decoded.err) {
            this.log.log(LogEvents.VersionMoveFaulty, { order: object.name, revision: object.revision, fault: decoded.val });
            return;
        }
        const { order, account } = decoded.val;
        const known = this.moves.get(order.service);
        if (known?.order.target === order.target) {
            if (getEra(object.revision) > getEra(known.object.revision)) {
                this.mergeRestoredStatus(known, object, account);
            }
            else if (object.revision > known.object.revision) {
                this.recordStatus(known, object, account);
            }
            return;
        }
        this.addMove(order, object, account);
    }

    handleRemoval(name: string, revision: Revision): void {
        this.recordRevision(revision);
        for (const move of this.moves.values()) {
            if (move.object.name === name) {
                this.moves.delete(move.order.service);
            }
        }
    }

    /** Keeps the status of a move whose object was read from a restored copy, unless the copy's status is as far advanced. */
    private mergeRestoredStatus(move: VersionMove, object: StoredObject, account: VersionMoveStatus | undefined): void {
        const isCurrent = account?.target === move.order.target && account.stage === move.account?.stage;
        if (move.account === undefined || isCurrent) {
            this.recordStatus(move, object, account);
            return;
        }
        move.object = object;
        move.isStatusLost = true;
        this.logStage(move);
    }

    /** Records a status that was written to or read from the store; undefined keeps the previous one. */
    recordStatus(move: VersionMove, object: StoredObject, account: VersionMoveStatus | undefined): void {
        this.recordRevision(object.revision);
        const before = this.getStage(move);
        move.object = object;
        move.isStatusLost = false;
        if (account !== undefined) {
            move.account = account;
            move.deadline = account.deadline;
        }
        if (this.getStage(move) !== before) {
            this.logStage(move);
        }
    }

    /** Returns the orders as last read or written, with the highest revision of any change to them, to send to nodes that do not read the store. */
    listObjects(): ObjectList {
        return { revision: this.revision, objects: [...this.moves.values()].map(move => move.object) };
    }

    /** Applies the list of a peer if it is newer than what this node has read or received. */
    applyObjects(list: ObjectList): void {
        if (list.revision > this.revision) {
            this.handleListing(list);
            this.recordRevision(list.revision);
        }
    }

    findMove(service: string): VersionMove | undefined {
        return this.moves.get(service);
    }

    /** Returns the moves whose stage is not final. */
    listRunning(): VersionMove[] {
        return [...this.moves.values()].filter(move => !isFinalStage(this.getReportedStage(move)));
    }

    /** Returns the moves whose last status the store has lost. */
    listWithLostStatus(): VersionMove[] {
        return [...this.moves.values()].filter(move => move.isStatusLost);
    }

    /** Returns the stage that this node applies: the stored one, or RolledBack at once when this node has a finding. */
    getStage(move: VersionMove): MoveStage {
        const stage = this.getReportedStage(move);
        return move.finding !== undefined && stage !== MoveStage.Done ? MoveStage.RolledBack : stage;
    }

    /** Returns whether an endpoint serves the old version of a move that sends nothing there any more: it may stop without draining. */
    isReplaced({ service, version }: EndpointEntry): boolean {
        const move = this.moves.get(service);
        if (move === undefined || version === move.order.target) {
            return false;
        }
        const stage = this.getStage(move);
        return stage === MoveStage.All || stage === MoveStage.Done;
    }

    /** Adds an attempt to the evidence or to the latency baseline of the old version. */
    recordAttempt(attempt: VersionAttempt): void {
        const move = this.moves.get(attempt.service);
        const side = move?.order.target === attempt.version ? VersionSide.New : VersionSide.Old;
        const baseline = this.getOrCreateBaseline(`${attempt.service}\n${attempt.route}`);
        const time = attempt.timeRatio === undefined ? undefined : attempt.timeRatio * percent;
        const isMoving = move !== undefined && !isFinalStage(this.getStage(move));
        if (isMoving) {
            const isSlow = time === undefined ? undefined : baseline.isSlow(LatencyKind.FirstToken, attempt.load, time);
            this.addEvidence(move, side, attempt.route, { ...createTimeCounts(isSlow), trials: 1, failures: attempt.hasSucceeded ? 0 : 1 });
            if (side === VersionSide.New && time !== undefined && isSlow === undefined) {
                move.uncompared = [...move.uncompared, { route: attempt.route, load: attempt.load, time }].slice(-uncomparedLimit);
            }
        }
        if (side === VersionSide.Old && time !== undefined) {
            baseline.recordTime(LatencyKind.FirstToken, attempt.load, time);
            if (isMoving) {
                this.compareEarlierAttempts(move, attempt.route, baseline);
            }
        }
    }

    /** Adds the comparisons that a new observation of the old version makes possible. Otherwise a restart would hide that a version is slow. */
    private compareEarlierAttempts(move: VersionMove, route: string, baseline: LatencyBaseline): void {
        const waiting = move.uncompared;
        if (waiting.length === 0) {
            return;
        }
        move.uncompared = [];
        for (const earlier of waiting) {
            const isSlow = earlier.route === route ? baseline.isSlow(LatencyKind.FirstToken, earlier.load, earlier.time) : undefined;
            if (isSlow === undefined) {
                move.uncompared.push(earlier);
                continue;
            }
            this.addEvidence(move, VersionSide.New, route, createTimeCounts(isSlow));
        }
    }

    /** Returns the evidence about running moves: the local counts, and with includesPeers also those received from peers. */
    listEvidence(includesPeers: boolean): PeerEvidence[] {
        return this.listRunning().flatMap(({ order, evidence }) =>
            evidence.listEntries().filter(entry => includesPeers || entry.node === this.node.name).map(entry => ({
                service: order.service,
                target: order.target,
                side: entry.version === VersionSide.New ? VersionSide.New : VersionSide.Old,
                route: entry.route,
                counts: entry.counts,
                node: { name: entry.node, incarnation: entry.incarnation },
            }))
        );
    }

    /** Merges evidence of a peer and judges the new version again. */
    mergeEvidence(peerEvidence: PeerEvidence): void {
        const { node } = peerEvidence;
        const move = this.moves.get(peerEvidence.service);
        if (move === undefined || move.order.target !== peerEvidence.target || node.name === this.node.name) {
            return;
        }
        const entry: EvidenceEntry = {
            version: peerEvidence.side,
            route: peerEvidence.route,
            node: node.name,
            incarnation: node.incarnation,
            counts: { ...peerEvidence.counts },
        };
        const added = move.evidence.mergeEntry(entry);
        if (peerEvidence.side === VersionSide.New && (added.trials > 0 || added.timed > 0)) {
            this.judgeCounts(move, peerEvidence.route, added);
        }
    }

    private recordRevision(revision: Revision): void {
        this.revision = Math.max(this.revision, revision);
    }

    private addMove(order: VersionMoveOrder, object: StoredObject, account: VersionMoveStatus | undefined): void {
        const evidence = MoveEvidence.create();
        const move: VersionMove = {
            order,
            object,
            // The status of an earlier order with another target does not apply to this one.
            account: account?.target === order.target ? account : undefined,
            isStatusLost: false,
            seenAt: this.clock.getMonotonicTime(),
            deadline: account?.target === order.target ? account.deadline : this.clock.getWallTime() + order.duration,
            finding: undefined,
            evidence,
            judge: VersionJudge.create(evidence, VersionSide.Old),
            uncompared: [],
        };
        this.moves.set(order.service, move);
        this.logStage(move);
    }

    private getReportedStage(move: VersionMove): MoveStage {
        return move.account?.stage ?? MoveStage.Trial;
    }

    private addEvidence(move: VersionMove, side: VersionSide, route: string, added: EvidenceCounts): void {
        const { name, incarnation } = this.node;
        addCounts(move.evidence.getOrCreateCounts({ version: side, route, node: name, incarnation }), added);
        if (side === VersionSide.New) {
            this.judgeCounts(move, route, added);
        }
    }

    private judgeCounts(move: VersionMove, route: string, added: EvidenceCounts): void {
        move.judge.addCounts(route, added);
        const finding = move.judge.getFinding();
        if (finding === undefined || move.finding !== undefined) {
            return;
        }
        move.finding = finding.route === "" ? finding.reason : `${finding.reason} on route ${finding.route}`;
        this.logStage(move);
    }

    private logStage(move: VersionMove): void {
        const counts = move.evidence.computeCounts(VersionSide.New);
        this.log.log(LogEvents.VersionMoveChanged, {
            service: move.order.service,
            target: move.order.target,
            stage: this.getStage(move),
            reason: move.finding ?? move.account?.reason ?? "",
            revision: move.object.revision,
            attempts: counts.trials,
            failures: counts.failures,
            compared: counts.timed,
            slow: counts.slowFirstTokens,
            left: Math.round(move.deadline - this.clock.getWallTime()),
        });
    }

    private getOrCreateBaseline(key: string): LatencyBaseline {
        const known = this.baselines.get(key) ?? LatencyBaseline.create();
        this.baselines.set(key, known);
        return known;
    }
}

/** Returns the counts of one time: whether it was slow, or undefined if it could not be compared. */
function createTimeCounts(isSlow: boolean | undefined): EvidenceCounts {
    return { ...createEmptyCounts(), timed: isSlow === undefined ? 0 : 1, slowFirstTokens: isSlow === true ? 1 : 0 };
}
