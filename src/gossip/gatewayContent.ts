import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { createEmptyCounts } from "../control/moves/moveEvidence.js";
import { DutyLease } from "../duties/dutyLease.js";
import { EndpointDirectory, RevisedEntry } from "../fleet/endpointDirectory.js";
import { EndpointFollower } from "../fleet/endpointFollower.js";
import { endpointEntrySchema } from "../fleet/types.js";
import { deathsUntilRefusal } from "../gateway/crashWatch.js";
import { PlacementNews } from "../placement/placementNews.js";
import { WorkMeter } from "../placement/workMeter.js";
import { ObjectFollower } from "../provider/objectFollower.js";
import { RetryAllowance } from "../quotas/retryAllowance.js";
import { SharedRateLimiter } from "../quotas/sharedRateLimiter.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { ConfigurationFollower } from "../routes/configurationFollower.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { routeConfigurationSchema } from "../routes/types.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { VersionSide } from "../versions/types.js";
import { VersionMoves } from "../versions/versionMoves.js";
import { FleetSums } from "./fleetSums.js";
import { GossipContent } from "./gossipExchange.js";
import { describeLife, PeerTable } from "./peerTable.js";
import { RelayPlan } from "./relayPlan.js";
import { SharedLoads } from "./sharedLoads.js";
import { GatewayDigest, GatewayDigestInit, GatewayPeer, SharedState, SharedStateInit } from "./types.js";

/** Windows of usage that are told: the one that runs and those whose report may still be due. */
const toldWindows = 4;

const revisedEntriesSchema = z.array(z.object({ entry: endpointEntrySchema, revision: z.number() }));

/** What a node tells of itself and where it puts what others tell. */
export interface GatewayContentParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly table: PeerTable;
    readonly configuration: ConfigurationHolder;
    readonly configurationFollower: ConfigurationFollower;
    readonly directory: EndpointDirectory;
    readonly endpointFollower: EndpointFollower;
    readonly watches: readonly ObjectFollower[];
    readonly news: PlacementNews;
    readonly caps: SharedRateLimiter;
    readonly allowance: RetryAllowance;
    readonly usage: UsageCounter;
    readonly usageLedger: UsageLedger;
    readonly work: WorkMeter;
    readonly lease: DutyLease;
    readonly ledger: QuarantineLedger;
    readonly versions: VersionMoves;
    readonly plan: RelayPlan;
    readonly loads: SharedLoads;
    readonly sums: FleetSums;
    readonly getIsLeaving: () => boolean;
}

/** The digest of a gateway. */
export class GatewayContent implements GossipContent {
    private constructor(private readonly parts: GatewayContentParts) {}

    static create(parts: GatewayContentParts): GatewayContent {
        return new GatewayContent(parts);
    }

    createDigest(peer: GatewayPeer | undefined): GatewayDigestInit {
        const { parts } = this;
        const { identity } = parts.table;
        this.updateNodeCount();
        return {
            member: { ...identity, incarnation: BigInt(identity.incarnation) },
            isLeaving: parts.getIsLeaving(),
            isStoreReachable: this.isStoreCurrent(),
            isFollowing: parts.plan.isFollowingRelay(),
            configurationVersion: BigInt(parts.configuration.getVersion()),
            directoryRevision: BigInt(parts.endpointFollower.getRevision()),
            // A relay's summary names them.
            knownMembers: parts.plan.hasRelays() ? [] : this.listMembers(),
            demands: parts.caps.listDemands().map(({ name, demand, passed }) => ({ team: name, demand, passed })),
            loads: parts.loads.listOwn(),
            placements: this.listPlacements(peer),
            usage: this.listUsage(peer),
            lease: {
                holder: parts.lease.getHolder(),
                fencing: BigInt(parts.lease.getFencing()),
                isHeldBySender: parts.lease.getCredentials() !== undefined,
            },
            suspects: this.listSuspects(),
            works: parts.work.listOwn().map(({ service, work }) => ({ service, work })),
            evidence: this.listEvidence(peer),
            summary: peer === undefined ? undefined : parts.sums.createSummary(peer),
        };
    }

    applyDigest(peer: GatewayPeer, digest: GatewayDigest): void {
        const { parts } = this;
        parts.sums.applyDigest(peer, digest);
        this.applyPlacements(peer, digest);
        digest.suspects.forEach(suspect => this.applySuspect(suspect, peer.name));
        for (const { window, teams, source } of digest.usage) {
            parts.usageLedger.recordUsage(source === "" ? describeLife(peer) : source, Number(window), teams);
        }
        this.applyEvidence(peer, digest);
        parts.lease.recordNews(digest.lease?.holder ?? "", Number(digest.lease?.fencing ?? 0));
    }

    getHolder(): string {
        return this.parts.lease.getHolder();
    }

    createStateFor(digest: GatewayDigest): SharedStateInit | undefined {
        const { parts } = this;
        const lacksConfiguration = Number(digest.configurationVersion) < parts.configuration.getVersion();
        const isBehind = Number(digest.directoryRevision) < parts.endpointFollower.getRevision();
        // To a node that watches the store, news that is quite new is still on its way.
        const waitsForNews = digest.isFollowing || !digest.isStoreReachable;
        const lacksEndpoints = isBehind && (waitsForNews || parts.endpointFollower.hasOldNews());
        if (!lacksConfiguration && !lacksEndpoints) {
            return undefined;
        }
        const configuration = parts.configuration.getTable()?.configuration;
        const entries = parts.directory.listEntries();
        const newer = entries.filter(entry => entry.revision > Number(digest.directoryRevision));
        return {
            configurationJson: lacksConfiguration ? JSON.stringify(configuration) : "",
            endpointsJson: lacksEndpoints ? JSON.stringify(newer) : "",
            endpointIds: lacksEndpoints ? entries.map(({ entry }) => entry.id) : [],
            directoryRevision: BigInt(parts.endpointFollower.getRevision()),
        };
    }

    applyState(state: SharedState, source: string): void {
        const { parts } = this;
        if (state.configurationJson !== "") {
            const parsed = routeConfigurationSchema.safeParse(JSON.parse(state.configurationJson));
            if (parsed.success) {
                parts.configurationFollower.applyConfiguration(parsed.data, source);
            }
        }
        if (state.endpointsJson !== "") {
            const parsed = revisedEntriesSchema.safeParse(JSON.parse(state.endpointsJson));
            if (parsed.success) {
                this.applyEntries(parsed.data, state, source);
            }
        }
    }

    /** Takes a peer's newer entries; what its list of endpoints lacks was removed by its revision. */
    private applyEntries(entries: readonly RevisedEntry[], state: SharedState, source: string): void {
        const { parts } = this;
        const revision = Number(state.directoryRevision);
        entries.forEach(entry => parts.directory.applyEntry(entry, source));
        const listed = new Set(state.endpointIds);
        for (const known of parts.directory.listEntries()) {
            if (!listed.has(known.entry.id) && known.revision < revision) {
                parts.directory.removeEntry(known.entry.id, revision, source);
            }
        }
        parts.endpointFollower.recordRevision(revision);
    }

    private updateNodeCount(): void {
        const count = this.parts.table.countServing();
        this.parts.caps.setNodeCount(count);
        this.parts.allowance.setNodeCount(count);
    }

    private isStoreCurrent(): boolean {
        return this.parts.watches.every(watch => watch.isCurrent());
    }

    private listMembers() {
        return this.parts.table.listHeard().map(peer => ({
            name: peer.name,
            failureDomain: peer.failureDomain,
            address: peer.address,
            incarnation: BigInt(peer.incarnation),
        }));
    }

    private listSuspects() {
        const { ledger } = this.parts;
        const suspected = ledger.listRecords().map(record => ({
            fingerprint: record.fingerprint,
            endpoints: [...record.endpoints],
            untilMilliseconds: BigInt(Math.round(record.until)),
        }));
        const cleared = ledger.listCleared().map(({ fingerprint, endpoints }) => ({
            fingerprint,
            endpoints: [...endpoints],
            isCleared: true,
        }));
        return [...suspected, ...cleared];
    }

    private applySuspect(suspect: GatewayDigest["suspects"][number], source: string): void {
        const { ledger, log } = this.parts;
        const { fingerprint, endpoints } = suspect;
        if (suspect.isCleared) {
            ledger.removeDeaths(fingerprint, endpoints);
            return;
        }
        const isNew = ledger.mergeRecord({ fingerprint, endpoints, until: Number(suspect.untilMilliseconds) });
        if (isNew && ledger.countDeaths(fingerprint) === deathsUntilRefusal) {
            log.log(LogEvents.QuarantineAdded, { fingerprint, endpoints: endpoints.join(","), source });
        }
    }

    private listPlacements(peer: GatewayPeer | undefined) {
        const { news, plan } = this.parts;
        if (peer === undefined) {
            return [];
        }
        const placements = news.listSince(peer.toldPlacements, { peer: peer.name, isRelay: plan.isRelay(peer) });
        peer.toldPlacements = news.getSequence();
        return placements.map(placed => ({ endpoint: placed.endpointId, parts: [...placed.parts] }));
    }

    private applyPlacements(peer: GatewayPeer, digest: GatewayDigest): void {
        const { directory, news, plan } = this.parts;
        const isRelaying = plan.isRelaying();
        const source = { peer: peer.name, isRelay: isRelaying && plan.isRelay(peer) };
        for (const placed of digest.placements) {
            const endpoint = directory.findEndpoint(placed.endpoint);
            placed.parts.forEach(part => endpoint?.cache.recordPart(part));
            if (isRelaying) {
                news.addNews({ endpointId: placed.endpoint, parts: placed.parts }, source);
            }
        }
    }

    /** Returns what this node counted; as a relay, for the holder of the duties, also what its group did. */
    private listEvidence(peer: GatewayPeer | undefined) {
        return this.parts.versions.listEvidence(this.isHoldersRelay(peer)).map(({ service, target, side, route, counts, node }) => ({
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
        for (const told of digest.evidence) {
            const { service, target, route, attempts, failures, timed, slow } = told;
            const side = told.isTarget ? VersionSide.New : VersionSide.Old;
            const counts = { ...createEmptyCounts(), trials: attempts, failures, timed, slowFirstTokens: slow };
            const node = told.node === "" ? peer : { name: told.node, incarnation: Number(told.incarnation) };
            this.parts.versions.mergeEvidence({ service, target, side, route, counts, node });
        }
    }

    /** Whether this node brings the holder of the duties what others counted. */
    private isHoldersRelay(peer: GatewayPeer | undefined): boolean {
        return peer !== undefined && peer.name === this.getHolder() && this.parts.plan.isRelaying();
    }

    private listUsage(peer: GatewayPeer | undefined) {
        const { clock, usage, usageLedger, table } = this.parts;
        const current = usage.getWindow(clock.getWallTime());
        const live = new Set([...table.listHeard(), table.identity].map(describeLife));
        // In a large fleet only the holder of the duties needs what others counted, and only of windows that have ended.
        const hasRelays = this.parts.plan.hasRelays();
        const tellsAll = hasRelays && this.isHoldersRelay(peer);
        const isChosen = (source: string) => hasRelays ? tellsAll : !live.has(source);
        const windows: { window: bigint; source: string; teams: { team: string; requests: number; }[]; }[] = [];
        for (let window = current - toldWindows + 1; window <= current; window += 1) {
            windows.push({ window: BigInt(window), source: "", teams: usage.listUsage(window) });
            const others = hasRelays && window === current ? [] : usageLedger.listSources(window, isChosen);
            for (const other of others) {
                windows.push({ window: BigInt(window), source: other.source, teams: [...other.usage] });
            }
        }
        return windows;
    }
}
