import { Clock } from "../common/clock.js";
import { RandomSource } from "../common/random.js";
import { SharedObjectReplicator } from "../control/commands/sharedObjectReplicator.js";
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

// Entry limits of one digest; they bound its size in bytes.
const loadEntryLimit = 12;
const memberEntryLimit = 8;
const quarantineEntryLimit = 32;
const demandEntryLimit = 8;
const revisionEntryLimit = 64;
/** Time after a change for which every digest contains the revisions. */
const recentRevisionMilliseconds = 5_000;
/** After that time, on average one digest of this many contains the revisions. */
const revisionDigestInterval = 8;
/** Age from which a load report is omitted from digests. */
const loadAgeLimitMilliseconds = 3_000;
/** Digests carry the demand in requests per kilosecond, so that small rates remain integers. */
const secondsPerKilosecond = 1_000;

/** Dependencies of the digests: the node state that they contain and that received digests update. */
export interface NodeDigestDependencies {
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

/** Builds the digests that this node sends to its peers, and merges those that it receives. */
export class NodeDigests implements DigestExchange {
    private replicator: SharedObjectReplicator | undefined;
    private isLeaving = false;

    private constructor(private readonly dependencies: NodeDigestDependencies) {}

    static create(dependencies: NodeDigestDependencies): NodeDigests {
        return new NodeDigests(dependencies);
    }

    /** Sets the replicator that fetches newer revisions reported by peers. Separate from `create`, since the replicator depends on the digests. */
    setReplicator(replicator: SharedObjectReplicator): void {
        this.replicator = replicator;
    }

    /** Reports this node as leaving in all later digests. */
    markLeaving(): void {
        this.isLeaving = true;
    }

    createDigest(): NodeDigestInit {
        const { directory, objects, store, clock, moves } = this.dependencies;
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
        const { directory, moves } = this.dependencies;
        const isCurrent = directory.recordHeartbeat(digest.node, Number(digest.incarnation), 0, digest.leaving);
        const member = directory.findMember(digest.node);
        if (!isCurrent || member === undefined) {
            return false;
        }
        member.isPlatformReachable = digest.platformReachable;
        for (const entry of digest.revisions) {
            member.revisions.set(entry.name, Number(entry.revision));
        }
        this.dependencies.clocks.recordSendTime(digest.node, Number(digest.sentAtMilliseconds));
        member.lastDigestAt = this.dependencies.clock.getMonotonicTime();
        for (const heartbeat of digest.members) {
            directory.recordHeartbeat(heartbeat.node, Number(heartbeat.incarnation), heartbeat.ageMilliseconds, heartbeat.leaving);
        }
        this.applyLoads(digest);
        const hasUrgentUpdate = this.applyQuarantines(digest);
        for (const demand of digest.demands) {
            this.dependencies.limiter.recordPeerDemand(demand.team, digest.node, demand.requestsPerKilosecond / secondsPerKilosecond);
        }
        moves.applyEvidence(digest.evidence);
        const hasRollback = moves.applyGrants(digest.grants);
        this.replicator?.applyDigest(digest);
        return hasUrgentUpdate || hasRollback;
    }

    /** Lists the current revisions: always after a recent change, otherwise in a random share of the digests. */
    private createRevisions(): NodeDigestInit["revisions"] {
        const { objects, clock, random } = this.dependencies;
        const hasRecentChange = clock.getMonotonicTime() - objects.getChangeTime() < recentRevisionMilliseconds;
        if (!hasRecentChange && random.pickIndex(revisionDigestInterval) !== 0) {
            return [];
        }
        return objects.listObjects().slice(-revisionEntryLimit).map(object => ({ name: object.name, revision: BigInt(object.revision) }));
    }

    private createLoads(): NodeDigestInit["loads"] {
        const { registry, clock, directory } = this.dependencies;
        const now = clock.getMonotonicTime();
        const reportable = registry.listEntries().filter(entry => {
            const isLocal = entry.description.failureDomain === directory.identity.failureDomain;
            return isLocal && (now - entry.loadReportedAt < loadAgeLimitMilliseconds || entry.state === EndpointState.Leaving);
        });
        reportable.sort((left, right) => right.loadReportedAt - left.loadReportedAt);
        return reportable.slice(0, loadEntryLimit).map(entry => ({
            endpoint: entry.number,
            running: entry.load?.running ?? 0,
            waiting: entry.load?.waiting ?? 0,
            capacity: entry.load?.capacity ?? 0,
            ageMilliseconds: Math.min(loadAgeLimitMilliseconds, Math.round(now - entry.loadReportedAt)),
            leaving: entry.state === EndpointState.Leaving,
        }));
    }

    private applyLoads(digest: NodeDigest): void {
        if (digest.loads.length === 0) {
            return;
        }
        const { registry } = this.dependencies;
        const entriesByNumber = new Map<number, EndpointEntry>(registry.listEntries().map(entry => [entry.number, entry]));
        for (const load of digest.loads) {
            const entry = entriesByNumber.get(load.endpoint);
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
        // Most crashes first: requests that ran on a crashed endpoint by chance must not displace a quarantined one.
        const records = this.dependencies.ledger.listRecords().reverse();
        records.sort((left, right) => right.endpoints.length - left.endpoints.length);
        return records.slice(0, quarantineEntryLimit).map(record => ({
            fingerprint: record.fingerprint,
            endpoints: [...record.endpoints],
            untilMilliseconds: BigInt(record.until),
        }));
    }

    /** Merges a peer's crash records of poison requests; returns whether any of them was new. */
    private applyQuarantines(digest: NodeDigest): boolean {
        let hasNewRecord = false;
        for (const record of digest.quarantines) {
            const isNew = this.dependencies.ledger.mergeRecord({
                fingerprint: record.fingerprint,
                endpoints: record.endpoints,
                until: Number(record.untilMilliseconds),
            });
            hasNewRecord = hasNewRecord || isNew;
        }
        return hasNewRecord;
    }

    private createMembers(): NodeDigestInit["members"] {
        const { directory, clock, random } = this.dependencies;
        const now = clock.getMonotonicTime();
        const reachable = directory.listDomainMembers().filter(member => directory.isReachable(member));
        const chosen = reachable.length <= memberEntryLimit
            ? reachable
            : Array.from({ length: memberEntryLimit }, () => reachable[random.pickIndex(reachable.length)]);
        return chosen.filter(member => member !== undefined).map(member => ({
            node: member.name,
            incarnation: BigInt(member.incarnation),
            ageMilliseconds: Math.round(now - member.lastSeenAt),
            leaving: member.isLeaving,
        }));
    }

    private createDemands(): NodeDigestInit["demands"] {
        const demands = this.dependencies.limiter.listDemands();
        demands.sort((left, right) => right.demand - left.demand);
        return demands.slice(0, demandEntryLimit).map(entry => ({
            team: entry.team,
            requestsPerKilosecond: Math.round(entry.demand * secondsPerKilosecond),
        }));
    }
}
