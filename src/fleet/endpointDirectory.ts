import { Clock } from "../common/clock.js";
import { FleetEndpoint } from "./fleetEndpoint.js";
import { EndpointEntry } from "./types.js";

/** Why an entry of the directory changed. */
export enum DirectoryChangeKind {
    Added = "added",
    Draining = "draining",
    Removed = "removed",
    /** Another process registered under the same id. */
    Reborn = "reborn",
}

/** One change of the directory. */
export interface DirectoryChange {
    readonly kind: DirectoryChangeKind;
    readonly endpoint: FleetEndpoint;
    /** The life that a reborn endpoint had before. */
    readonly previous?: FleetEndpoint;
    /** Who brought the news. */
    readonly source: string;
}

/** Called after the directory changed. */
export type DirectoryListener = (change: DirectoryChange) => void;

/** An entry with the revision of the store at which it was written. */
export interface RevisedEntry {
    readonly entry: EndpointEntry;
    readonly revision: number;
}

/** The endpoints of every service, as they registered themselves. News of an entry is applied only if it is newer. */
export class EndpointDirectory {
    private readonly endpoints = new Map<string, FleetEndpoint>();
    private readonly byService = new Map<string, FleetEndpoint[]>();
    private readonly revisions = new Map<string, number>();
    private readonly listeners: DirectoryListener[] = [];
    private memoryTokens: (service: string) => number = () => 0;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): EndpointDirectory {
        return new EndpointDirectory(clock);
    }

    /** Says where the KV memory of a service's engines is looked up, in tokens. */
    setMemorySource(source: (service: string) => number): void {
        this.memoryTokens = source;
    }

    addListener(listener: DirectoryListener): void {
        this.listeners.push(listener);
    }

    findEndpoint(id: string): FleetEndpoint | undefined {
        return this.endpoints.get(id);
    }

    /** Returns every endpoint of a service, those that leave included. */
    listEndpoints(service: string): readonly FleetEndpoint[] {
        return this.byService.get(service) ?? [];
    }

    listAll(): FleetEndpoint[] {
        return [...this.endpoints.values()];
    }

    /** Returns every entry with its revision, for nodes that the store turns away. */
    listEntries(): RevisedEntry[] {
        return [...this.endpoints.values()].map(endpoint => ({
            entry: endpoint.entry,
            revision: this.revisions.get(endpoint.entry.id) ?? 0,
        }));
    }

    /** Applies an entry unless a newer one is known; says whether it was applied. */
    applyEntry(revised: RevisedEntry, source: string): boolean {
        const { entry, revision } = revised;
        if (revision <= (this.revisions.get(entry.id) ?? 0)) {
            return false;
        }
        this.revisions.set(entry.id, revision);
        const known = this.endpoints.get(entry.id);
        if (known === undefined || known.entry.incarnation !== entry.incarnation || known.entry.service !== entry.service) {
            this.putEndpoint(entry, known, source);
            return true;
        }
        const wasDraining = known.entry.isDraining;
        known.entry = entry;
        known.isGone = false;
        if (entry.isDraining && !wasDraining) {
            this.report({ kind: DirectoryChangeKind.Draining, endpoint: known, source });
        }
        return true;
    }

    /** Removes an endpoint whose entry is gone. The revision, if known, keeps older news of it from bringing it back. */
    removeEntry(id: string, revision: number | undefined, source: string): void {
        const known = this.revisions.get(id) ?? 0;
        if (revision !== undefined && revision <= known) {
            return;
        }
        this.revisions.set(id, revision ?? known);
        const endpoint = this.endpoints.get(id);
        if (endpoint === undefined) {
            return;
        }
        this.dropEndpoint(endpoint);
        this.report({ kind: DirectoryChangeKind.Removed, endpoint, source });
    }

    /** Marks an endpoint that said itself that it leaves. */
    markDraining(endpoint: FleetEndpoint, source: string): void {
        if (endpoint.entry.isDraining || endpoint.isGone) {
            return;
        }
        endpoint.entry = { ...endpoint.entry, isDraining: true };
        this.report({ kind: DirectoryChangeKind.Draining, endpoint, source });
    }

    /** Marks an endpoint whose address answers under another identity. */
    markGone(endpoint: FleetEndpoint, source: string): void {
        if (endpoint.isGone) {
            return;
        }
        endpoint.isGone = true;
        this.report({ kind: DirectoryChangeKind.Removed, endpoint, source });
    }

    private putEndpoint(entry: EndpointEntry, known: FleetEndpoint | undefined, source: string): void {
        if (known !== undefined) {
            this.dropEndpoint(known);
        }
        const endpoint = FleetEndpoint.create(entry, this.memoryTokens(entry.service));
        this.endpoints.set(entry.id, endpoint);
        this.byService.set(entry.service, [...this.listEndpoints(entry.service), endpoint]);
        endpoint.heardAt = this.clock.getMonotonicTime();
        const kind = known === undefined ? DirectoryChangeKind.Added : DirectoryChangeKind.Reborn;
        this.report({ kind, endpoint, previous: known, source });
    }

    private dropEndpoint(endpoint: FleetEndpoint): void {
        endpoint.isGone = true;
        this.endpoints.delete(endpoint.entry.id);
        const others = this.listEndpoints(endpoint.entry.service).filter(other => other !== endpoint);
        this.byService.set(endpoint.entry.service, others);
    }

    private report(change: DirectoryChange): void {
        this.listeners.forEach(listener => listener(change));
    }
}
