import { Clock } from "../../common/clock.js";
import { listByRendezvousRank } from "../../common/hashing.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { sharedPrefix } from "../../config/objectNames.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { FetchSharedObjectsResponseInit, Member, NodeDigest, ObjectRevision, PeerLink, UrgentNotifier } from "../../peers/types.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { StoredObject, WatchEventKind } from "../../provider/types.js";
import { SharedObjectChange, SharedObjects } from "../sharedObjects.js";
import { HostListSynchronizer } from "./hostListSynchronizer.js";

/** Nodes of a failure domain that watch the platform; the others fetch changes from them. */
const watchersPerDomain = 2;
/** Pause before the next watch, or before the next check whether this node is a watcher. */
const retryPauseMilliseconds = 300;
/** Pause between two attempts to fetch the shared objects from peers at startup. */
const bootstrapPauseMilliseconds = 200;
/** Time after startup from which a node without a working watcher watches the platform itself; also the interval of that check. */
const watcherFallbackMilliseconds = 3_000;

/**
 * Replicates the shared objects to this node. A few watchers in each failure domain watch the platform; the other nodes fetch
 * objects from a peer whose digest differs, so the load on the platform does not grow with the fleet.
 */
export class SharedObjectReplicator {
    private readonly stopping = new AbortController();
    private readonly pendingFetches = new Set<string>();
    private readonly startedAt: number;
    private watchAbort = new AbortController();
    private isWatching = false;

    private constructor(
        private readonly store: ObjectStore,
        private readonly objects: SharedObjects,
        private readonly directory: MemberDirectory,
        private readonly link: PeerLink,
        private readonly hosts: HostListSynchronizer,
        private readonly notifier: UrgentNotifier,
        private readonly clock: Clock,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
    ) {
        this.startedAt = clock.getMonotonicTime();
    }

    static create(
        store: ObjectStore,
        objects: SharedObjects,
        directory: MemberDirectory,
        link: PeerLink,
        hosts: HostListSynchronizer,
        notifier: UrgentNotifier,
        clock: Clock,
        metrics: Metrics,
        logger: Logger,
    ): SharedObjectReplicator {
        return new SharedObjectReplicator(store, objects, directory, link, hosts, notifier, clock, metrics, logger);
    }

    /** Runs until stop is called. */
    async runWatch(): Promise<void> {
        void this.runBootstrap();
        void this.runWatcherSelection();
        while (!this.stopping.signal.aborted) {
            if (this.isWatcher()) {
                await this.listAndWatch();
            }
            await this.clock.sleep(retryPauseMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
        this.watchAbort.abort();
    }

    /** Returns the objects of which the peer has a lower revision or none, and the host list. */
    createResponse(known: readonly ObjectRevision[]): FetchSharedObjectsResponseInit {
        const knownRevisions = new Map(known.map(entry => [entry.name, Number(entry.revision)]));
        const newer = this.objects.listObjects().filter(object => object.revision > (knownRevisions.get(object.name) ?? 0));
        return {
            objects: newer.map(object => ({
                name: object.name,
                revision: BigInt(object.revision),
                valueJson: JSON.stringify(object.value),
            })),
            hostsJson: this.hosts.exportHosts(),
        };
    }

    /** Fetches the shared objects of a peer when its digest shows a higher revision or another checksum. */
    applyDigest(digest: NodeDigest): void {
        const member = this.directory.findMember(digest.node);
        const isNewer = digest.revisions.some(entry => Number(entry.revision) > this.objects.getRevision(entry.name));
        const isDifferent = digest.revisions.length === 0 && digest.objectsChecksum !== this.objects.getChecksum();
        if (member !== undefined && (isNewer || isDifferent)) {
            void this.fetchFrom(member);
        }
    }

    /** Returns whether this node has to watch the platform itself. */
    isWatcher(): boolean {
        const { identity } = this.directory;
        const peers = this.directory.listReachableDomainMembers();
        const names = [identity.name, ...peers.map(member => member.name)];
        const chosen = listByRendezvousRank("configuration", names, name => name).slice(0, watchersPerDomain);
        if (chosen.includes(identity.name)) {
            return true;
        }
        // When none of the selected watchers reaches the platform, every node watches it itself.
        const hasServingWatcher = peers.some(member => chosen.includes(member.name) && member.isPlatformReachable);
        return !hasServingWatcher && this.clock.getMonotonicTime() - this.startedAt > watcherFallbackMilliseconds;
    }

    private async runWatcherSelection(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.clock.sleep(watcherFallbackMilliseconds, this.stopping.signal);
            if (this.isWatching && !this.isWatcher()) {
                this.watchAbort.abort();
            }
        }
    }

    /** Fetches the shared objects and the host list from peers until the node has both, from a peer or the platform. */
    private async runBootstrap(): Promise<void> {
        while (!this.stopping.signal.aborted && !(this.objects.hasObjects() && this.hosts.hasHosts())) {
            const members = this.directory.listDomainMembers().concat(this.directory.listMembers());
            await Promise.all(members.slice(0, 8).map(member => this.fetchFrom(member)));
            await this.clock.sleep(bootstrapPauseMilliseconds, this.stopping.signal);
        }
    }

    private async fetchFrom(member: Member): Promise<void> {
        if (this.pendingFetches.has(member.name)) {
            return;
        }
        this.pendingFetches.add(member.name);
        const known = this.objects.listObjects().map(object => ({ name: object.name, revision: BigInt(object.revision) }));
        const response = await this.link.fetchSharedObjects(member.address, known);
        this.pendingFetches.delete(member.name);
        if (response.err) {
            return;
        }
        for (const object of response.val.objects) {
            this.applyObject({ name: object.name, revision: Number(object.revision), value: JSON.parse(object.valueJson) as unknown });
        }
        this.hosts.importHosts(response.val.hostsJson);
    }

    private async listAndWatch(): Promise<void> {
        const listed = await this.store.listObjects(sharedPrefix);
        if (listed.err) {
            return;
        }
        listed.val.objects.forEach(object => this.applyObject(object));
        this.watchAbort = new AbortController();
        this.isWatching = true;
        for await (const event of this.store.watchObjects(sharedPrefix, listed.val.revision, this.watchAbort.signal)) {
            if (event.kind === WatchEventKind.Expired) {
                break;
            }
            if (event.kind === WatchEventKind.Changed && event.object !== undefined) {
                this.applyObject(event.object);
            }
        }
        this.isWatching = false;
    }

    private applyObject(object: StoredObject): void {
        const change = this.objects.applyObject(object);
        if (change === SharedObjectChange.RefusedLowerRevision || change === SharedObjectChange.RefusedUnreadable) {
            this.metrics.configurationRefused.inc({ reason: change });
        }
        if (change !== SharedObjectChange.Applied) {
            return;
        }
        this.logger.info("applied a shared object", { object: object.name, revision: object.revision });
        void this.notifier.sendUrgentDigest();
    }
}
