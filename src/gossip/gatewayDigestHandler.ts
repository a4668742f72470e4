import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { listIssues, parseJson } from "../common/json.js";
import { LogEvents } from "../common/logEvents.js";
import { LoopDelay } from "../common/loopDelay.js";
import { createEmptyCounts } from "../control/moves/moveEvidence.js";
import { DutyLease } from "../duties/dutyLease.js";
import { EndpointDirectory, RevisedEntry } from "../fleet/endpointDirectory.js";
import { EndpointFollower } from "../fleet/endpointFollower.js";
import { evacuationListSchema, Evacuations } from "../fleet/evacuations.js";
import { ServicePathTracker } from "../fleet/servicePathTracker.js";
import { endpointEntrySchema } from "../fleet/types.js";
import { crashesUntilQuarantine, PoisonRequestDetector } from "../gateway/poisonRequestDetector.js";
import { QuarantineTrials } from "../gateway/quarantineTrials.js";
import { EngineSpeeds } from "../placement/engineSpeeds.js";
import { PlacementUpdates } from "../placement/placementUpdates.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { ObjectStore } from "../provider/objectStore.js";
import { ObjectWatcher } from "../provider/objectWatcher.js";
import { FleetRetryBudget } from "../quotas/fleetRetryBudget.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { ConfigurationFollower } from "../routes/configurationFollower.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { routeConfigurationSchema } from "../routes/types.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { VersionSide } from "../versions/types.js";
import { VersionMoves } from "../versions/versionMoves.js";
import { encodeRateDemand, FleetSummaryAggregator } from "./fleetSummaryAggregator.js";
import { DigestHandler } from "./gossipExchange.js";
import { PeerLoadTracker } from "./peerLoadTracker.js";
import { formatIncarnationKey, PeerTable } from "./peerTable.js";
import { RelaySelector } from "./relaySelector.js";
import { StoreFollower } from "./storeFollower.js";
import { GatewayDigest, GatewayDigestInit, GatewayPeer, SharedState, SharedStateInit } from "./types.js";

/** Number of usage windows in a digest: the current one and earlier ones whose usage report may still be due. */
const reportedWindowCount = 4;

/** Time for which digests name a suspect after its latest crash, in milliseconds: some exchanges, of which one or two may be lost. */
const suspectShareMilliseconds = 5_000;
/** Largest age of the knowledge of the store that a digest can state, in milliseconds. */
const maximumStoreAgeMilliseconds = 2 ** 32 - 1;

/** Largest number of suspects in a digest. */
const sharedSuspectLimit = 500;

const objectListSchema = z.object({
    revision: z.number(),
    objects: z.array(z.object({ name: z.string(), revision: z.number(), value: z.unknown(), status: z.unknown().optional() })),
});
const revisedEntrySchema = z.object({ entry: endpointEntrySchema, revision: z.number() });

/** Dependencies of the digest handler: the state that it reports to peers and the state into which it merges their digests. */
export interface GatewayDigestDependencies {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly store: Pick<ObjectStore, "getEra" | "recordEra">;
    readonly table: PeerTable;
    readonly configuration: ConfigurationHolder;
    readonly configurationFollower: ConfigurationFollower;
    readonly paths: ServicePathTracker;
    readonly directory: EndpointDirectory;
    readonly endpointFollower: EndpointFollower;
    readonly watches: readonly ObjectWatcher[];
    readonly news: PlacementUpdates;
    readonly caps: SharedRateLimiter;
    readonly allowance: FleetRetryBudget;
    readonly usage: UsageCounter;
    readonly usageLedger: UsageLedger;
    readonly work: ServiceWorkTracker;
    readonly engineSpeeds: EngineSpeeds;
    readonly lease: DutyLease;
    readonly ledger: QuarantineLedger;
    readonly poisonRequestDetector: PoisonRequestDetector;
    readonly trials: QuarantineTrials;
    readonly versions: VersionMoves;
    readonly evacuations: Evacuations;
    readonly plan: RelaySelector;
    readonly storeFollower: StoreFollower;
    readonly loads: PeerLoadTracker;
    readonly sums: FleetSummaryAggregator;
    readonly loopDelay: Pick<LoopDelay, "getDelay">;
    readonly getIsLeaving: () => boolean;
}

/** Builds the digests that a gateway sends to its peers and merges the digests that it receives. */
export class GatewayDigestHandler implements DigestHandler {
    private constructor(private readonly dependencies: GatewayDigestDependencies) {}

    static create(dependencies: GatewayDigestDependencies): GatewayDigestHandler {
        return new GatewayDigestHandler(dependencies);
    }

    /** Creates the digest for a peer; undefined stands for a node whose name is not known yet. */
    createDigest(peer: GatewayPeer | undefined): GatewayDigestInit {
        const { dependencies } = this;
        const { identity } = dependencies.table;
        this.updateNodeCount();
        return {
            member: { ...identity, incarnation: BigInt(identity.incarnation) },
            isLeaving: dependencies.getIsLeaving(),
            isStoreReachable: this.isStoreCurrent(),
            isFollowing: dependencies.storeFollower.isFollowing(),
            storeAgeMilliseconds: this.computeStoreAge(),
            loopDelayMilliseconds: Math.round(this.getLoopDelay()),
            configurationVersion: BigInt(dependencies.configuration.getVersion()),
            directoryRevision: BigInt(dependencies.endpointFollower.getRevision()),
            // In a fleet with relays, the summary lists the members.
            knownMembers: dependencies.plan.hasRelays() ? [] : this.listMembers(),
            demands: dependencies.caps.listDemands().map(encodeRateDemand),
            loads: dependencies.loads.listLocalLoads(),
            placements: this.listPlacements(peer),
            usage: this.listUsage(peer),
            lease: {
                holder: dependencies.lease.getHolder(),
                fencing: BigInt(dependencies.lease.getFencing()),
                isHeldBySender: dependencies.lease.getCredentials() !== undefined,
            },
            suspects: this.listSuspects(peer),
            works: dependencies.work.listLocalWork().map(({ service, work }) => ({ service, work })),
            evidence: this.listEvidence(peer),
            versionMovesRevision: BigInt(dependencies.versions.listObjects().revision),
            storeEra: BigInt(dependencies.store.getEra()),
            leavingEndpoints: this.listLeavingEndpoints(),
            evacuationsRevision: BigInt(dependencies.evacuations.getRevision()),
            unreachableServices: dependencies.paths.listUnreachableServices(),
            engineSpeeds: dependencies.engineSpeeds.listSpeeds().map(({ service, speed }) => ({
                service,
                promptTokensPerMillisecond: speed,
            })),
            exchangeMilliseconds: Math.round(peer?.exchangeTime ?? 0),
            summary: peer === undefined ? undefined : dependencies.sums.createSummary(peer),
        };
    }

    applyDigest(peer: GatewayPeer, digest: GatewayDigest, age: number): void {
        const { dependencies } = this;
        dependencies.store.recordEra(Number(digest.storeEra));
        dependencies.sums.applyDigest(peer, digest, age);
        this.applyPlacements(peer, digest);
        this.applyLeavingEndpoints(digest, peer.name);
        digest.suspects.forEach(suspect => this.applySuspect(suspect, peer.name));
        for (const { window, teams, source } of digest.usage) {
            dependencies.usageLedger.recordUsage(source === "" ? formatIncarnationKey(peer) : source, Number(window), teams);
        }
        for (const { service, promptTokensPerMillisecond: speed } of digest.engineSpeeds) {
            dependencies.engineSpeeds.recordPeerSpeed({ service, speed }, peer.name);
        }
        this.applyEvidence(peer, digest);
        dependencies.lease.mergeReportedHolder(digest.lease?.holder ?? "", Number(digest.lease?.fencing ?? 0));
    }

    recordConfirmation(digest: GatewayDigest, sentAt: number): void {
        const { storeAgeMilliseconds: age } = digest;
        if (age === undefined) {
            return;
        }
        const revisions = {
            configuration: Number(digest.configurationVersion),
            directory: Number(digest.directoryRevision),
            evacuations: Number(digest.evacuationsRevision),
        };
        this.dependencies.storeFollower.recordConfirmation({ confirmedAt: sentAt - age, revisions });
    }

    getLoopDelay(): number {
        return this.dependencies.loopDelay.getDelay();
    }

    getLeaseHolder(): string {
        return this.dependencies.lease.getHolder();
    }

    createStateFor(digest: GatewayDigest): SharedStateInit | undefined {
        const { dependencies } = this;
        const lacksConfiguration = Number(digest.configurationVersion) < dependencies.configuration.getVersion();
        const hasOlderDirectory = Number(digest.directoryRevision) < dependencies.endpointFollower.getRevision();
        // A peer that watches the store itself is about to receive a very recent change from its own watch.
        const dependsOnPeers = digest.isFollowing || !digest.isStoreReachable;
        const lacksPropagatedChange = Number(digest.directoryRevision) < dependencies.endpointFollower.getPropagatedRevision();
        const isNewerDirectory = Number(digest.directoryRevision) > dependencies.endpointFollower.getRevision();
        const mayHaveRemovedEndpoints = dependsOnPeers && !isNewerDirectory && dependencies.directory.hasRecentLateRemoval();
        const lacksEndpoints = mayHaveRemovedEndpoints
            || (hasOlderDirectory && (dependsOnPeers || lacksPropagatedChange));
        const moves = dependencies.versions.listObjects();
        const lacksMoves = Number(digest.versionMovesRevision) < moves.revision;
        const lacksEvacuations = Number(digest.evacuationsRevision) < dependencies.evacuations.getRevision();
        if (!lacksConfiguration && !lacksEndpoints && !lacksMoves && !lacksEvacuations) {
            return undefined;
        }
        const configuration = dependencies.configuration.getTable()?.configuration;
        const entries = dependencies.directory.listEntries();
        const newerEntries = entries.filter(entry => entry.revision > Number(digest.directoryRevision));
        const removedIds = dependencies.directory.listRemovalsSince(Number(digest.directoryRevision));
        return {
            configurationJson: lacksConfiguration ? JSON.stringify(configuration) : "",
            endpointsJson: lacksEndpoints ? JSON.stringify(newerEntries) : "",
            endpointIds: lacksEndpoints && removedIds === undefined ? entries.map(({ entry }) => entry.id) : [],
            hasRemovalsOnly: removedIds !== undefined,
            removedEndpointIds: lacksEndpoints ? removedIds ?? [] : [],
            directoryRevision: BigInt(dependencies.endpointFollower.getRevision()),
            versionMovesJson: lacksMoves ? JSON.stringify(moves) : "",
            evacuationsJson: lacksEvacuations ? JSON.stringify(dependencies.evacuations.createList()) : "",
        };
    }

    applyState(state: SharedState, source: string): void {
        const { dependencies } = this;
        const configuration = this.parseState(state.configurationJson, routeConfigurationSchema, "configuration", source);
        if (configuration !== undefined) {
            dependencies.configurationFollower.applyConfiguration(configuration, source);
        }
        const entries = this.parseState(state.endpointsJson, z.array(z.unknown()), "endpoints", source);
        if (entries !== undefined) {
            this.applyEntries(entries.flatMap(entry => this.parseEntry(entry, source)), state, source);
        }
        const moves = this.parseState(state.versionMovesJson, objectListSchema, "version moves", source);
        if (moves !== undefined) {
            dependencies.versions.applyObjects(moves);
        }
        const evacuations = this.parseState(state.evacuationsJson, evacuationListSchema, "evacuations", source);
        if (evacuations !== undefined) {
            dependencies.evacuations.applyList(evacuations, source);
        }
    }

    /** Parses a part of a peer's state; undefined if it is absent or malformed. The other parts still apply. */
    private parseState<Schema extends z.ZodType>(
        json: string,
        schema: Schema,
        part: string,
        peer: string,
    ): z.infer<Schema> | undefined {
        if (json === "") {
            return undefined;
        }
        const parsed = schema.safeParse(parseJson(json));
        if (!parsed.success) {
            this.dependencies.log.log(LogEvents.TaskFailed, { task: "apply a peer's state", part, peer, cause: parsed.error.message });
            return undefined;
        }
        return parsed.data;
    }

    /** Parses one entry; returns none if it is malformed, as that of a peer of another version may be. The other entries still apply. */
    private parseEntry(entry: unknown, source: string): RevisedEntry[] {
        const parsed = revisedEntrySchema.safeParse(entry);
        if (!parsed.success) {
            this.dependencies.log.log(LogEvents.EndpointEntryFaulty, { source, fault: listIssues(parsed.error).join("; ") });
            return [];
        }
        return [parsed.data];
    }

    /** Applies a peer's newer entries and removals. Endpoints missing from a complete list had been removed by the revision that it reports. */
    private applyEntries(entries: readonly RevisedEntry[], state: SharedState, source: string): void {
        const { dependencies } = this;
        const revision = Number(state.directoryRevision);
        const isNewer = revision > dependencies.endpointFollower.getRevision();
        entries.forEach(entry => dependencies.directory.applyEntry(entry, source));
        const listedIds = new Set(state.endpointIds);
        const knownEntries = dependencies.directory.listEntries();
        const removedIds = state.hasRemovalsOnly
            ? state.removedEndpointIds
            : knownEntries.filter(known => !listedIds.has(known.entry.id) && known.revision < revision).map(known => known.entry.id);
        removedIds.forEach(id => dependencies.directory.removeEntry(id, revision, source));
        if (!state.hasRemovalsOnly) {
            dependencies.directory.recordCompleteList(revision);
        }
        if (!isNewer && removedIds.length > 0) {
            dependencies.directory.recordLateRemoval();
        }
        dependencies.endpointFollower.recordRevision(revision);
    }

    /** Returns the age of this node's knowledge of the store in whole milliseconds; undefined before its first list. */
    private computeStoreAge(): number | undefined {
        const age = this.dependencies.storeFollower.getAge();
        return Number.isFinite(age) ? Math.min(Math.ceil(age), maximumStoreAgeMilliseconds) : undefined;
    }

    private updateNodeCount(): void {
        const count = this.dependencies.table.countServingNodes();
        this.dependencies.caps.setNodeCount(count, this.dependencies.table.countSilentNodes());
        this.dependencies.allowance.setNodeCount(count);
    }

    private isStoreCurrent(): boolean {
        return this.dependencies.watches.every(watch => watch.isSynchronized());
    }

    private listMembers() {
        return this.dependencies.table.listReachablePeers().map(peer => ({
            name: peer.name,
            failureDomain: peer.failureDomain,
            address: peer.address,
            incarnation: BigInt(peer.incarnation),
            processor: peer.processor,
        }));
    }

    private listLeavingEndpoints() {
        return this.dependencies.directory.listUnregisteredLeaving().map(({ entry }) => ({
            endpoint: entry.id,
            incarnation: BigInt(Math.round(entry.incarnation)),
        }));
    }

    private applyLeavingEndpoints(digest: GatewayDigest, source: string): void {
        const { directory } = this.dependencies;
        for (const { endpoint: id, incarnation } of digest.leavingEndpoints) {
            const endpoint = directory.findEndpoint(id);
            if (endpoint !== undefined && BigInt(Math.round(endpoint.entry.incarnation)) === incarnation) {
                directory.markLeaving(endpoint, source);
            }
        }
    }

    /** Returns the suspects with recent crashes, and every quarantined one for a peer that may lack some. */
    private listSuspects(peer: GatewayPeer | undefined) {
        const { clock, ledger, trials } = this.dependencies;
        const since = clock.getMonotonicTime() - suspectShareMilliseconds;
        const alwaysSharedCrashes = peer?.hasAllQuarantines === true ? Infinity : crashesUntilQuarantine;
        if (peer !== undefined) {
            peer.hasAllQuarantines = true;
        }
        const suspected = ledger.listRecordsToShare(alwaysSharedCrashes, since).slice(0, sharedSuspectLimit).map(record => ({
            fingerprint: record.fingerprint,
            endpoints: [...record.endpoints],
            untilMilliseconds: BigInt(Math.round(record.until)),
            isTrialClaimed: trials.isClaimed(record.fingerprint),
        }));
        const cleared = ledger.listClearedCrashes(since).slice(-sharedSuspectLimit).map(({ fingerprint, endpoints }) => ({
            fingerprint,
            endpoints: [...endpoints],
            isCleared: true,
        }));
        return [...suspected, ...cleared];
    }

    private applySuspect(suspect: GatewayDigest["suspects"][number], source: string): void {
        const { ledger, poisonRequestDetector, trials } = this.dependencies;
        const { fingerprint, endpoints } = suspect;
        if (suspect.isCleared) {
            ledger.removeCrashes(fingerprint, endpoints);
            return;
        }
        const record = { fingerprint, endpoints, until: Number(suspect.untilMilliseconds) };
        poisonRequestDetector.mergeRecord(record, source);
        if (suspect.isTrialClaimed) {
            trials.recordOtherHolder(record);
        }
    }

    private listPlacements(peer: GatewayPeer | undefined) {
        const { news, plan } = this.dependencies;
        if (peer === undefined) {
            return [];
        }
        const placements = news.listUpdatesSince(peer.sentPlacementSequence, { peer: peer.name, isRelay: plan.isRelay(peer) });
        peer.sentPlacementSequence = news.getLatestSequence();
        return placements.map(({ endpointId, parts, uses }) => ({ endpoint: endpointId, parts: [...parts], uses }));
    }

    private applyPlacements(peer: GatewayPeer, digest: GatewayDigest): void {
        const { clock, directory, news, plan } = this.dependencies;
        const isRelaying = plan.isRelaying();
        const source = { peer: peer.name, isRelay: isRelaying && plan.isRelay(peer) };
        const now = clock.getMonotonicTime();
        for (const placement of digest.placements) {
            const endpoint = directory.findEndpoint(placement.endpoint);
            const uses = Math.max(1, placement.uses);
            placement.parts.forEach(part => endpoint?.cache.recordPart(part, now, uses));
            if (isRelaying) {
                news.addUpdate({ endpointId: placement.endpoint, parts: placement.parts, uses }, source);
            }
        }
    }

    /** Returns this node's evidence on version moves; a relay also sends its group's evidence to the holder of the duty lease. */
    private listEvidence(peer: GatewayPeer | undefined) {
        return this.dependencies.versions.listEvidence(this.isRelayToLeaseHolder(peer)).map((
            { service, target, side, route, counts, node },
        ) => ({
            service,
            target,
            isTarget: side === VersionSide.New,
            route,
            attempts: counts.trials,
            failures: counts.failures,
            timed: counts.timed,
            slow: counts.slowFirstTokens,
            node: node.name,
            incarnation: BigInt(node.incarnation),
        }));
    }

    private applyEvidence(peer: GatewayPeer, digest: GatewayDigest): void {
        for (const report of digest.evidence) {
            const { service, target, route, attempts, failures, timed, slow } = report;
            const side = report.isTarget ? VersionSide.New : VersionSide.Old;
            const counts = { ...createEmptyCounts(), trials: attempts, failures, timed, slowFirstTokens: slow };
            const node = report.node === "" ? peer : { name: report.node, incarnation: Number(report.incarnation) };
            this.dependencies.versions.mergeEvidence({ service, target, side, route, counts, node });
        }
    }

    /** Returns whether the peer holds the duty lease and this node, as a relay, sends it the counts of other nodes. */
    private isRelayToLeaseHolder(peer: GatewayPeer | undefined): boolean {
        return peer !== undefined && peer.name === this.getLeaseHolder() && this.dependencies.plan.isRelaying();
    }

    /**
     * Returns the usage counts to send: those of this node, with an empty source, and received counts of other nodes. Without
     * relays these are the counts of incarnations that are not reachable, since the reachable ones send their own.
     */
    private listUsage(peer: GatewayPeer | undefined) {
        const { clock, usage, usageLedger, table } = this.dependencies;
        const current = usage.getWindow(clock.getWallTime());
        const reachableIncarnations = new Set([...table.listReachablePeers(), table.identity].map(formatIncarnationKey));
        // With relays, only the holder of the duty lease needs other nodes' counts, and only for windows that have ended.
        const hasRelays = this.dependencies.plan.hasRelays();
        const sendsAllSources = hasRelays && this.isRelayToLeaseHolder(peer);
        const isIncluded = (source: string) => hasRelays ? sendsAllSources : !reachableIncarnations.has(source);
        const windows: { window: bigint; source: string; teams: { team: string; requests: number; }[]; }[] = [];
        for (let window = current - reportedWindowCount + 1; window <= current; window += 1) {
            windows.push({ window: BigInt(window), source: "", teams: usage.listUsage(window) });
            const storedSources = hasRelays && window === current ? [] : usageLedger.listSources(window, isIncluded);
            for (const stored of storedSources) {
                windows.push({ window: BigInt(window), source: stored.source, teams: [...stored.usage] });
            }
        }
        return windows;
    }
}
