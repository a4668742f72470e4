import { Clock } from "../../common/clock.js";
import { selectByRendezvous } from "../../common/hashing.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { sharedPrefix } from "../../config/objectNames.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { FetchSharedObjectsResponseInit, Member, NodeDigest, ObjectRevision, PeerLink, UrgentNotifier } from "../../peers/types.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { StoredObject, WatchEventKind } from "../../provider/types.js";
import { SharedObjectChange, SharedObjects } from "../sharedObjects.js";
import { HostListKeeper } from "./hostListKeeper.js";

/** Nodes of a failure domain that watch the platform; the others learn from them. */
const watchersPerDomain = 2;
/** Pause between two tries to watch, and between two looks at whether to watch, in milliseconds. */
const retryPauseMilliseconds = 300;
/** Pause between two tries to learn the configuration from peers at the start, in milliseconds. */
const bootPauseMilliseconds = 200;
/** Time after which a node that learned nothing from a watcher watches for itself, in milliseconds. */
const lonelyMilliseconds = 3_000;

/** Keeps the node's copies of the shared objects in step: by a watch on the platform, and by what peers have. */
export class SharedObjectKeeper {
    private readonly stopping = new AbortController();
    private readonly fetching = new Set<string>();
    private readonly startedAt: number;
    private watchAbort = new AbortController();
    private isWatching = false;

    private constructor(
        private readonly store: ObjectStore,
        private readonly objects: SharedObjects,
        private readonly directory: MemberDirectory,
        private readonly link: PeerLink,
        private readonly hosts: HostListKeeper,
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
        hosts: HostListKeeper,
        notifier: UrgentNotifier,
        clock: Clock,
        metrics: Metrics,
        logger: Logger,
    ): SharedObjectKeeper {
        return new SharedObjectKeeper(store, objects, directory, link, hosts, notifier, clock, metrics, logger);
    }

    /** Runs until stop is called. */
    async runWatch(): Promise<void> {
        void this.runBoot();
        void this.runWatcherChoice();
        while (!this.stopping.signal.aborted) {
            if (this.isWatcher()) {
                await this.watchOnce();
            }
            await this.clock.sleep(retryPauseMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
        this.watchAbort.abort();
    }

    /** Returns the objects that a peer does not have yet, and the hosts. */
    createAnswer(known: readonly ObjectRevision[]): FetchSharedObjectsResponseInit {
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

    /** Fetches from a peer what its digest shows to be different. */
    applyDigest(digest: NodeDigest): void {
        const member = this.directory.findMember(digest.node);
        const isNewer = digest.revisions.some(entry => Number(entry.revision) > this.objects.getRevision(entry.name));
        const isDifferent = digest.revisions.length === 0 && digest.objectsChecksum !== this.objects.getChecksum();
        if (member !== undefined && (isNewer || isDifferent)) {
            void this.fetchFrom(member);
        }
    }

    /** Says whether this node watches the platform itself. */
    isWatcher(): boolean {
        const { identity } = this.directory;
        const others = this.directory.listLiveDomainMembers();
        const names = [identity.name, ...others.map(member => member.name)];
        const chosen = selectByRendezvous("configuration", names, name => name).slice(0, watchersPerDomain);
        if (chosen.includes(identity.name)) {
            return true;
        }
        // A node whose chosen watchers cannot reach the platform tries for itself.
        const isServed = others.some(member => chosen.includes(member.name) && member.platformReachable);
        return !isServed && this.clock.getMonotonicTime() - this.startedAt > lonelyMilliseconds;
    }

    private async runWatcherChoice(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.clock.sleep(lonelyMilliseconds, this.stopping.signal);
            if (this.isWatching && !this.isWatcher()) {
                this.watchAbort.abort();
            }
        }
    }

    /** Asks the peers for the configuration until the node has one from anywhere. */
    private async runBoot(): Promise<void> {
        while (!this.stopping.signal.aborted && !(this.objects.hasObjects() && this.hosts.hasHosts())) {
            const members = this.directory.listDomainMembers().concat(this.directory.listMembers());
            await Promise.all(members.slice(0, 8).map(member => this.fetchFrom(member)));
            await this.clock.sleep(bootPauseMilliseconds, this.stopping.signal);
        }
    }

    private async fetchFrom(member: Member): Promise<void> {
        if (this.fetching.has(member.name)) {
            return;
        }
        this.fetching.add(member.name);
        const known = this.objects.listObjects().map(object => ({ name: object.name, revision: BigInt(object.revision) }));
        const answer = await this.link.fetchSharedObjects(member.address, known);
        this.fetching.delete(member.name);
        if (answer.err) {
            return;
        }
        for (const object of answer.val.objects) {
            this.applyObject({ name: object.name, revision: Number(object.revision), value: JSON.parse(object.valueJson) as unknown });
        }
        this.hosts.importHosts(answer.val.hostsJson);
    }

    private async watchOnce(): Promise<void> {
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
        this.logger.info("shared object in force", { object: object.name, revision: object.revision });
        void this.notifier.sendUrgentDigest();
    }
}
