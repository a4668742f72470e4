import { Clock } from "../common/clock.js";
import { getEra, Revision } from "../provider/revision.js";
import { FleetEndpoint } from "./fleetEndpoint.js";
import { RemovalLog } from "./removalLog.js";
import { EndpointEntry } from "./types.js";

/** Number of removed endpoints that are remembered, so that older updates do not add them again. */
const maximumRecordedRemovals = 5_000;

/** Time for which nodes are sent complete lists after a removal without a newer revision, in milliseconds: some exchanges of digests. */
const lateRemovalMilliseconds = 3_000;

/** Kind of a change of the directory. */
export enum DirectoryChangeKind {
    Added = "added",
    Draining = "draining",
    Removed = "removed",
    /** A process with another incarnation, or of another service, registered under the same id. */
    Restarted = "reborn",
}

/** One change of the directory. */
export interface DirectoryChange {
    readonly kind: DirectoryChangeKind;
    readonly endpoint: FleetEndpoint;
    /** Incarnation of the endpoint before its restart; undefined if the id was not registered. */
    readonly previous?: FleetEndpoint;
    /** Origin of the change: the store, the name of a peer, or a request of this node. */
    readonly source: string;
}

/** Function that is called after each change of the directory. */
export type DirectoryListener = (change: DirectoryChange) => void;

/** An entry with the store revision at which it was written. */
export interface RevisedEntry {
    readonly entry: EndpointEntry;
    readonly revision: Revision;
}

/** What outlives the entry of an endpoint, in case that it lapsed while its process lives. */
interface RemovedEndpoint {
    readonly incarnation: number;
    /** End of the pause that it asked for, in monotonic milliseconds. */
    readonly pausedUntil: number;
    /** Whether it said in a response that it is leaving. */
    readonly isLeaving: boolean;
}

/** Directory of the registered endpoints of every service. An update of an entry is applied only if its revision is newer. */
export class EndpointDirectory {
    private readonly endpoints = new Map<string, FleetEndpoint>();
    private readonly endpointsByService = new Map<string, FleetEndpoint[]>();
    private readonly revisionsById = new Map<string, Revision>();
    /** What the node knows of each removed endpoint, under its id. */
    private readonly removed = new Map<string, RemovedEndpoint>();
    private lateRemovalAt = -Infinity;
    private readonly removalLog = RemovalLog.create();
    private readonly listeners: DirectoryListener[] = [];
    private getMemoryTokens: (service: string) => number = () => 0;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): EndpointDirectory {
        return new EndpointDirectory(clock);
    }

    /** Sets the function that returns the KV memory of a service's engines, in tokens. */
    setMemoryTokensSource(getMemoryTokens: (service: string) => number): void {
        this.getMemoryTokens = getMemoryTokens;
    }

    /** Adds a listener that is called after each change. */
    addListener(listener: DirectoryListener): void {
        this.listeners.push(listener);
    }

    findEndpoint(id: string): FleetEndpoint | undefined {
        return this.endpoints.get(id);
    }

    /** Returns every endpoint of a service, including draining ones. */
    listEndpoints(service: string): readonly FleetEndpoint[] {
        return this.endpointsByService.get(service) ?? [];
    }

    listAll(): FleetEndpoint[] {
        return [...this.endpoints.values()];
    }

    /** Returns every entry with its revision, to send to nodes that cannot reach the store. */
    listEntries(): RevisedEntry[] {
        return [...this.endpoints.values()].map(endpoint => ({
            entry: endpoint.entry,
            revision: this.revisionsById.get(endpoint.entry.id) ?? 0,
        }));
    }

    /** Records that this node has a complete list of the endpoints at a revision. */
    recordCompleteList(revision: Revision): void {
        this.removalLog.startAt(revision);
    }

    /** Records that endpoints were removed without a newer revision, so that nodes which have the latest one must be told. */
    recordLateRemoval(): void {
        this.removalLog.startAfterLatest();
        this.lateRemovalAt = this.clock.getMonotonicTime();
    }

    /** Returns whether such a removal is so recent that other nodes may not have heard of it. */
    hasRecentLateRemoval(): boolean {
        return this.clock.getMonotonicTime() - this.lateRemovalAt < lateRemovalMilliseconds;
    }

    /** Returns the ids of the endpoints removed after a revision; undefined if they are no longer known. */
    listRemovalsSince(revision: Revision): string[] | undefined {
        return this.removalLog.listRemovalsSince(revision);
    }

    /** Applies an entry if its revision is newer than the recorded one; returns whether it was applied. */
    applyEntry(revised: RevisedEntry, source: string): boolean {
        const { entry, revision } = revised;
        if (revision <= (this.revisionsById.get(entry.id) ?? 0)) {
            return false;
        }
        const isRestored = getEra(revision) > getEra(this.revisionsById.get(entry.id) ?? revision);
        this.revisionsById.set(entry.id, revision);
        this.removalLog.recordRevision(revision);
        const known = this.endpoints.get(entry.id);
        if (known === undefined && isRestored && this.removed.get(entry.id)?.incarnation === entry.incarnation) {
            // The removal is newer than the copy from which the store was restored. An endpoint that lives writes its entry again.
            return false;
        }
        if (known === undefined || known.entry.incarnation !== entry.incarnation || known.entry.service !== entry.service) {
            this.putEndpoint(entry, known, source);
            return true;
        }
        const wasDraining = known.entry.isDraining;
        // The copy from which a store is restored may be older than the endpoint's report that it is draining.
        known.entry = isRestored && wasDraining ? { ...entry, isDraining: true } : entry;
        known.recordWarmUp(this.clock.getMonotonicTime());
        known.isRemoved = false;
        if (entry.isDraining && !wasDraining && !known.isLeaving) {
            this.publishChange({ kind: DirectoryChangeKind.Draining, endpoint: known, source });
        }
        return true;
    }

    /** Removes an endpoint whose entry was removed. The revision, if given, prevents older updates from adding it again. */
    removeEntry(id: string, revision: Revision | undefined, source: string): void {
        const known = this.revisionsById.get(id) ?? 0;
        if (revision !== undefined && revision <= known) {
            return;
        }
        this.revisionsById.set(id, revision ?? known);
        const endpoint = this.endpoints.get(id);
        if (endpoint === undefined) {
            return;
        }
        this.recordRemoval(endpoint);
        this.removalLog.recordRemoval(id, revision);
        this.removeEndpoint(endpoint);
        this.publishChange({ kind: DirectoryChangeKind.Removed, endpoint, source });
    }

    /** Marks an endpoint as leaving after it said so in a response, mostly before its entry in the store changes. */
    markLeaving(endpoint: FleetEndpoint, source: string): void {
        if (endpoint.isLeaving || endpoint.isRemoved) {
            return;
        }
        const wasDraining = endpoint.entry.isDraining;
        endpoint.isLeaving = true;
        if (!wasDraining) {
            this.publishChange({ kind: DirectoryChangeKind.Draining, endpoint, source });
        }
    }

    /** Returns the endpoints that said that they are leaving while their entries do not say so yet. */
    listUnregisteredLeaving(): FleetEndpoint[] {
        return this.listAll().filter(endpoint => endpoint.isLeaving && !endpoint.entry.isDraining);
    }

    /** Marks an endpoint as removed after another endpoint responded at its address. */
    markRemoved(endpoint: FleetEndpoint, source: string): void {
        if (endpoint.isRemoved) {
            return;
        }
        endpoint.isRemoved = true;
        this.publishChange({ kind: DirectoryChangeKind.Removed, endpoint, source });
    }

    private putEndpoint(entry: EndpointEntry, known: FleetEndpoint | undefined, source: string): void {
        if (known !== undefined) {
            this.removeEndpoint(known);
        }
        const endpoint = FleetEndpoint.create(entry, this.getMemoryTokens(entry.service));
        this.endpoints.set(entry.id, endpoint);
        this.endpointsByService.set(entry.service, [...this.listEndpoints(entry.service), endpoint]);
        endpoint.lastReceivedAt = this.clock.getMonotonicTime();
        endpoint.recordWarmUp(endpoint.lastReceivedAt);
        this.applyEarlierState(endpoint);
        const kind = known === undefined ? DirectoryChangeKind.Added : DirectoryChangeKind.Restarted;
        this.publishChange({ kind, endpoint, previous: known, source });
    }

    /** Restores the pause and the leaving of an endpoint whose entry lapsed and has returned: the same process still wants them. */
    private applyEarlierState(endpoint: FleetEndpoint): void {
        const removed = this.removed.get(endpoint.entry.id);
        if (removed?.incarnation !== endpoint.entry.incarnation) {
            return;
        }
        endpoint.recordRequestedPause(removed.pausedUntil);
        endpoint.isLeaving = removed.isLeaving;
    }

    private recordRemoval(endpoint: FleetEndpoint): void {
        const { entry, isLeaving } = endpoint;
        this.removed.delete(entry.id);
        this.removed.set(entry.id, { incarnation: entry.incarnation, pausedUntil: endpoint.getPausedUntil(), isLeaving });
        const [oldestId] = this.removed.keys();
        if (this.removed.size > maximumRecordedRemovals && oldestId !== undefined) {
            this.removed.delete(oldestId);
            this.revisionsById.delete(oldestId);
        }
    }

    private removeEndpoint(endpoint: FleetEndpoint): void {
        endpoint.isRemoved = true;
        this.endpoints.delete(endpoint.entry.id);
        const others = this.listEndpoints(endpoint.entry.service).filter(other => other !== endpoint);
        this.endpointsByService.set(endpoint.entry.service, others);
    }

    private publishChange(change: DirectoryChange): void {
        this.listeners.forEach(listener => listener(change));
    }
}
