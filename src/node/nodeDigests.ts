import { Clock } from "../common/clock.js";
import { RandomSource } from "../common/random.js";
import { SharedObjectKeeper } from "../control/commands/sharedObjectKeeper.js";
import { ClockMonitor } from "../control/moves/clockMonitor.js";
import { SharedObjects } from "../control/sharedObjects.js";
import { MoveEvidenceExchange } from "../control/types.js";
import { EndpointEvidence, EndpointState } from "../endpoints/types.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { DigestExchange, NodeDigest, NodeDigestInit } from "../peers/types.js";
import { ObjectStore } from "../provider/objectStore.js";
import { TeamLimiter } from "../requests/commands/teamLimiter.js";
import { EndpointEntry, EndpointRegistry } from "../requests/endpointRegistry.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";

/** Most entries of each kind in one digest; bounds its bytes. */
const loadLimit = 12;
const memberLimit = 8;
const quarantineLimit = 32;
const demandLimit = 8;
const revisionLimit = 64;
/** Time for which a change of the revisions is told in every digest, in milliseconds; later in one digest of several. */
const revisionNewsMilliseconds = 5_000;
const revisionEvery = 8;
/** Age from which a load is no longer passed on, in milliseconds. */
const loadAgeLimitMilliseconds = 3_000;
const demandUnit = 1_000;

/** The parts of a node whose state travels in digests. */
export interface NodeDigestParts {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly directory: MemberDirectory;
    readonly objects: SharedObjects;
    readonly clocks: ClockMonitor;
    readonly registry: EndpointRegistry;
    readonly ledger: QuarantineLedger;
    readonly limiter: TeamLimiter;
    readonly store: ObjectStore;
    readonly moves: MoveEvidenceExchange;
}

/** Builds the node's digests and takes over those of its peers. */
export class NodeDigests implements DigestExchange {
    private keeper: SharedObjectKeeper | undefined;
    private isLeaving = false;

    private constructor(private readonly parts: NodeDigestParts) {}

    static create(parts: NodeDigestParts): NodeDigests {
        return new NodeDigests(parts);
    }

    /** Sets the keeper that learns of newer revisions; it is created after the digests. */
    setKeeper(keeper: SharedObjectKeeper): void {
        this.keeper = keeper;
    }

    /** Tells the peers from now on that this node leaves. */
    markLeaving(): void {
        this.isLeaving = true;
    }

    createDigest(): NodeDigestInit {
        const { directory, objects, store, clock, moves } = this.parts;
        const { identity } = directory;
        return {
            node: identity.name,
            failureDomain: identity.failureDomain,
            region: identity.region,
            incarnation: BigInt(identity.incarnation),
            leaving: this.isLeaving,
            revisions: this.createRevisions(),
            objectsChecksum: objects.getChecksum(),
            loads: this.createLoads(),
            quarantines: this.createQuarantines(),
            members: this.createMembers(),
            demands: this.createDemands(),
            evidence: moves.createEvidence(),
            grants: moves.createGrants(),
            platformReachable: store.isReachable(),
            sentAtMilliseconds: BigInt(clock.getWallTime()),
        };
    }

    applyDigest(digest: NodeDigest): boolean {
        const { directory, moves } = this.parts;
        const isCurrent = directory.recordBeat(digest.node, Number(digest.incarnation), 0, digest.leaving);
        const member = directory.findMember(digest.node);
        if (!isCurrent || member === undefined) {
            return false;
        }
        member.platformReachable = digest.platformReachable;
        for (const entry of digest.revisions) {
            member.revisions.set(entry.name, Number(entry.revision));
        }
        this.parts.clocks.recordSendTime(digest.node, Number(digest.sentAtMilliseconds));
        member.toldAt = this.parts.clock.getMonotonicTime();
        for (const beat of digest.members) {
            directory.recordBeat(beat.node, Number(beat.incarnation), beat.ageMilliseconds, beat.leaving);
        }
        this.applyLoads(digest);
        const hasUrgentNews = this.applyQuarantines(digest);
        for (const demand of digest.demands) {
            this.parts.limiter.recordOtherDemand(demand.team, digest.node, demand.requestsPerKilosecond / demandUnit);
        }
        moves.applyEvidence(digest.evidence);
        const hasTakeBack = moves.applyGrants(digest.grants);
        this.keeper?.applyDigest(digest);
        return hasUrgentNews || hasTakeBack;
    }

    /** Lists the revisions in force while they are news, and now and then after. */
    private createRevisions(): NodeDigestInit["revisions"] {
        const { objects, clock, random } = this.parts;
        const isNews = clock.getMonotonicTime() - objects.getChangeTime() < revisionNewsMilliseconds;
        if (!isNews && random.pickIndex(revisionEvery) !== 0) {
            return [];
        }
        return objects.listObjects().slice(-revisionLimit).map(object => ({ name: object.name, revision: BigInt(object.revision) }));
    }

    private createLoads(): NodeDigestInit["loads"] {
        const { registry, clock, directory } = this.parts;
        const now = clock.getMonotonicTime();
        const fresh = registry.listEntries().filter(entry => {
            const isOwn = entry.description.failureDomain === directory.identity.failureDomain;
            return isOwn && (now - entry.loadAt < loadAgeLimitMilliseconds || entry.state === EndpointState.Leaving);
        });
        fresh.sort((left, right) => right.loadAt - left.loadAt);
        return fresh.slice(0, loadLimit).map(entry => ({
            endpoint: entry.number,
            running: entry.load?.running ?? 0,
            waiting: entry.load?.waiting ?? 0,
            capacity: entry.load?.capacity ?? 0,
            ageMilliseconds: Math.min(loadAgeLimitMilliseconds, Math.round(now - entry.loadAt)),
            leaving: entry.state === EndpointState.Leaving,
        }));
    }

    private applyLoads(digest: NodeDigest): void {
        if (digest.loads.length === 0) {
            return;
        }
        const { registry } = this.parts;
        const byNumber = new Map<number, EndpointEntry>(registry.listEntries().map(entry => [entry.number, entry]));
        for (const load of digest.loads) {
            const entry = byNumber.get(load.endpoint);
            if (entry === undefined) {
                continue;
            }
            if (load.leaving) {
                registry.markLeaving(entry.name, EndpointEvidence.Notice, undefined);
                continue;
            }
            if (load.capacity > 0) {
                const report = {
                    running: load.running,
                    waiting: load.waiting,
                    capacity: load.capacity,
                    tokens_per_second: 0,
                    leaving: false,
                    models: entry.load?.models ?? [],
                };
                registry.recordLoad(entry.name, report, load.ageMilliseconds);
            }
        }
    }

    private createQuarantines(): NodeDigestInit["quarantines"] {
        // Those with more deaths first: a quarantine must not be crowded out by the requests that died beside it.
        const records = this.parts.ledger.listRecords().reverse();
        records.sort((left, right) => right.endpoints.length - left.endpoints.length);
        return records.slice(0, quarantineLimit).map(record => ({
            fingerprint: record.fingerprint,
            endpoints: [...record.endpoints],
            untilMilliseconds: BigInt(record.until),
        }));
    }

    /** Takes over a peer's knowledge of requests that end endpoints; returns whether any of it was new. */
    private applyQuarantines(digest: NodeDigest): boolean {
        let hasNews = false;
        for (const record of digest.quarantines) {
            const isNew = this.parts.ledger.mergeRecord({
                fingerprint: record.fingerprint,
                endpoints: record.endpoints,
                until: Number(record.untilMilliseconds),
            });
            hasNews = hasNews || isNew;
        }
        return hasNews;
    }

    private createMembers(): NodeDigestInit["members"] {
        const { directory, clock, random } = this.parts;
        const now = clock.getMonotonicTime();
        const alive = directory.listDomainMembers().filter(member => directory.isAlive(member));
        const chosen = alive.length <= memberLimit
            ? alive
            : Array.from({ length: memberLimit }, () => alive[random.pickIndex(alive.length)]);
        return chosen.filter(member => member !== undefined).map(member => ({
            node: member.name,
            incarnation: BigInt(member.incarnation),
            ageMilliseconds: Math.round(now - member.lastHeardAt),
            leaving: member.isLeaving,
        }));
    }

    private createDemands(): NodeDigestInit["demands"] {
        const demands = this.parts.limiter.listDemands();
        demands.sort((left, right) => right.demand - left.demand);
        return demands.slice(0, demandLimit).map(entry => ({
            team: entry.team,
            requestsPerKilosecond: Math.round(entry.demand * demandUnit),
        }));
    }
}
