import { Clock } from "../common/clock.js";
import { checkInvariant } from "../common/debug.js";
import { hashToNumber } from "../common/hashing.js";
import { Logger } from "../common/logging.js";
import { Metrics } from "../common/metrics.js";
import { EndpointDescription, EndpointEvidence, EndpointState, LoadReport } from "../endpoints/types.js";
import { HostState } from "../provider/types.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";

/** Time for which an endpoint gets no work after a failure, in milliseconds; doubled for each further one. */
const suspectMilliseconds = 500;
const suspectLimitMilliseconds = 8_000;
/** Time constant with which a load report loses its weight, in milliseconds. */
const loadDecayMilliseconds = 2_000;
/** Share of the capacity that is assumed to be in use when nothing is known. */
const neutralLoadShare = 0.5;
const defaultCapacity = 4;
/** Share of an endpoint's capacity that may wait inside it before nodes send less. */
const waitingShareLimit = 0.5;
/** Time after which an endpoint that refused as leaving, and now reports that it stays, gets work again, in milliseconds. */
const refusalMemoryMilliseconds = 5_000;
/** An endpoint that left is remembered this long, so that a late host list does not bring it back, in milliseconds. */
const goneMemoryMilliseconds = 60_000;

/** The node's view of one endpoint. */
export interface EndpointEntry {
    readonly name: string;
    /** The number by which digests name it. */
    readonly number: number;
    description: EndpointDescription;
    state: EndpointState;
    evidence: EndpointEvidence;
    /** Unix milliseconds of the last change of state. */
    since: number;
    /** Unix milliseconds at which the endpoint is taken away, when announced. */
    leavesAt: number | undefined;
    /** Attempts that this node runs there. */
    running: number;
    readonly limit: ConcurrencyLimit;
    load: LoadReport | undefined;
    /** Monotonic milliseconds of the load report, and what this node ran there then. */
    loadAt: number;
    runningAtReport: number;
    failures: number;
    suspectUntil: number;
    readonly attempts: Set<ActiveAttempt>;
}

/** An attempt that runs at an endpoint, as far as moving it concerns. */
export interface ActiveAttempt {
    readonly requestId: string;
    readonly fingerprint: string;
    /** Tokens that would have to be computed again. */
    countTokens(): number;
    /** Tokens that this attempt has emitted. */
    countEmitted(): number;
    /** Tokens that are still to come. */
    countRemainingTokens(): number;
    /** Mean time between two tokens, in milliseconds. */
    getTokenTime(): number;
    /** Moves the attempt to another endpoint. */
    startMove(): void;
    /** Whether the attempt alone is under suspicion at its endpoint. */
    readonly holdsSuspectLane: boolean;
}

/** Learns of changes in the registry. */
export interface EndpointListener {
    /** The endpoint will leave; its attempts should move. */
    handleLeaving(entry: EndpointEntry): void;
    /** Room may have come up somewhere. */
    handleRoom(group: string): void;
}

/** What a node knows of the endpoints: their states with the evidence, their load, and what it runs there. */
export class EndpointRegistry {
    private readonly entries = new Map<string, EndpointEntry>();
    private readonly byGroup = new Map<string, EndpointEntry[]>();
    private readonly goneUntil = new Map<string, number>();
    private readonly listeners = new Set<EndpointListener>();
    private observerCount = 1;

    private constructor(
        private readonly clock: Clock,
        private readonly metrics: Metrics,
        private readonly logger: Logger,
        private readonly maximumConcurrency: number,
    ) {}

    static create(clock: Clock, metrics: Metrics, logger: Logger, maximumConcurrency: number): EndpointRegistry {
        return new EndpointRegistry(clock, metrics, logger, maximumConcurrency);
    }

    addListener(listener: EndpointListener): void {
        this.listeners.add(listener);
    }

    /** Sets how many nodes share the endpoints of this node's failure domain. */
    setObserverCount(count: number): void {
        this.observerCount = Math.max(1, count);
    }

    /** Takes over a host list. The list lags: it never revives an endpoint that was seen to leave. */
    applyDescriptions(descriptions: readonly EndpointDescription[]): void {
        const names = new Set(descriptions.map(description => description.name));
        for (const description of descriptions) {
            this.applyDescription(description);
        }
        for (const entry of [...this.entries.values()]) {
            if (!names.has(entry.name)) {
                this.removeEntry(entry);
            }
        }
        this.buildGroups();
        this.notifyRoom();
    }

    findEntry(name: string): EndpointEntry | undefined {
        return this.entries.get(name);
    }

    listEntries(): EndpointEntry[] {
        return [...this.entries.values()];
    }

    /** Returns the endpoints of a group, in any state. */
    listGroup(group: string): readonly EndpointEntry[] {
        return this.byGroup.get(group) ?? [];
    }

    /** Says whether an endpoint may get new work now. */
    isEligible(entry: EndpointEntry): boolean {
        if (entry.state === EndpointState.Suspect) {
            return entry.suspectUntil <= this.clock.getMonotonicTime() && entry.running === 0;
        }
        return entry.state === EndpointState.Live;
    }

    /** Returns how many more attempts this node may start at an endpoint. */
    getRoom(entry: EndpointEntry): number {
        const ownRoom = entry.limit.getLimit() - entry.running;
        const capacity = this.getCapacity(entry);
        const sharedRoom = capacity - entry.running - this.getOthersRunning(entry);
        // Its own part is a node's at any time, or nodes with more traffic would starve the others for a report's age.
        const ownPart = Math.floor(capacity / this.observerCount) - entry.running;
        return Math.min(ownRoom, Math.max(ownPart, Math.floor(sharedRoom)));
    }

    getCapacity(entry: EndpointEntry): number {
        return entry.load?.capacity ?? defaultCapacity;
    }

    /** Estimates what other nodes run at an endpoint; an old report decays toward a neutral estimate. */
    getOthersRunning(entry: EndpointEntry): number {
        if (this.observerCount === 1) {
            return 0;
        }
        const capacity = this.getCapacity(entry);
        const ownShare = capacity / this.observerCount;
        const neutral = Math.max(0, capacity * neutralLoadShare - ownShare * neutralLoadShare);
        if (entry.load === undefined) {
            return neutral;
        }
        const reported = Math.max(0, entry.load.running + entry.load.waiting - entry.runningAtReport);
        const weight = Math.exp(-(this.clock.getMonotonicTime() - entry.loadAt) / loadDecayMilliseconds);
        return reported * weight + neutral * (1 - weight);
    }

    /** Returns the share of an endpoint's capacity that is believed to be in use. */
    getLoadShare(entry: EndpointEntry): number {
        return (entry.running + this.getOthersRunning(entry)) / this.getCapacity(entry);
    }

    /** Takes over a load report; the age is in milliseconds. */
    recordLoad(name: string, load: LoadReport, age: number): void {
        const entry = this.entries.get(name);
        const reportedAt = this.clock.getMonotonicTime() - age;
        if (entry === undefined || reportedAt <= entry.loadAt) {
            return;
        }
        if (entry.load === undefined) {
            // The first report tells how much of the endpoint is this node's share.
            entry.limit.setInitial(load.capacity / this.observerCount);
        }
        entry.load = load;
        entry.loadAt = reportedAt;
        entry.runningAtReport = entry.running;
        entry.limit.setMaximum(Math.min(this.maximumConcurrency, load.capacity));
        if (load.waiting > load.capacity * waitingShareLimit) {
            // Many requests wait inside the endpoint: the nodes together send more than it runs.
            entry.limit.recordRefusal(this.clock.getMonotonicTime());
        }
        if (load.leaving) {
            this.markLeaving(name, EndpointEvidence.OwnRefusal, undefined);
        }
        else if (this.hasStayed(entry)) {
            this.setState(entry, EndpointState.Live, EndpointEvidence.Probe);
        }
        if (entry.state === EndpointState.Suspect && entry.suspectUntil <= this.clock.getMonotonicTime()) {
            this.setState(entry, EndpointState.Live, EndpointEvidence.Probe);
        }
        this.notifyRoom(entry.description.group);
    }

    /** Marks an endpoint as leaving; the first evidence counts. The time is in Unix milliseconds. */
    markLeaving(name: string, evidence: EndpointEvidence, leavesAt: number | undefined): void {
        const entry = this.entries.get(name);
        if (entry === undefined || entry.state === EndpointState.Gone) {
            return;
        }
        entry.leavesAt = leavesAt ?? entry.leavesAt;
        if (entry.state === EndpointState.Leaving) {
            return;
        }
        this.setState(entry, EndpointState.Leaving, evidence);
        for (const listener of this.listeners) {
            listener.handleLeaving(entry);
        }
    }

    /** Records an attempt that ended well. */
    recordSuccess(entry: EndpointEntry): void {
        entry.failures = 0;
        entry.limit.recordSuccess(entry.running);
        if (entry.state === EndpointState.Suspect) {
            this.setState(entry, EndpointState.Live, EndpointEvidence.Probe);
        }
    }

    /** Records that an endpoint could not be reached or lost a connection; it gets no work for a while. */
    recordFailure(entry: EndpointEntry, evidence: EndpointEvidence): void {
        entry.failures += 1;
        const wait = Math.min(suspectLimitMilliseconds, suspectMilliseconds * 2 ** (entry.failures - 1));
        entry.suspectUntil = this.clock.getMonotonicTime() + wait;
        if (entry.state === EndpointState.Live) {
            this.setState(entry, EndpointState.Suspect, evidence);
        }
    }

    /** Records that an endpoint refused for lack of room. */
    recordRefusal(entry: EndpointEntry): void {
        entry.limit.recordRefusal(this.clock.getMonotonicTime());
    }

    /** Notes that an attempt starts at an endpoint. */
    addAttempt(entry: EndpointEntry): void {
        entry.running += 1;
    }

    /** Notes that an attempt ended at an endpoint, whatever the way. */
    removeAttempt(entry: EndpointEntry): void {
        entry.running -= 1;
        checkInvariant(entry.running >= 0, "an attempt ended that had not started");
        this.notifyRoom(entry.description.group);
    }

    /** Says whether an endpoint that refused as leaving, without a notice, has since reported that it stays. */
    private hasStayed(entry: EndpointEntry): boolean {
        const isByRefusal = entry.state === EndpointState.Leaving && entry.evidence === EndpointEvidence.OwnRefusal;
        const isListedLive = entry.leavesAt === undefined && entry.description.state === HostState.Live;
        return isByRefusal && isListedLive && this.clock.getWallTime() - entry.since > refusalMemoryMilliseconds;
    }

    private applyDescription(description: EndpointDescription): void {
        if ((this.goneUntil.get(description.name) ?? 0) > this.clock.getMonotonicTime()) {
            return;
        }
        const entry = this.entries.get(description.name) ?? this.addEntry(description);
        entry.description = description;
        if (description.state === HostState.Leaving) {
            this.markLeaving(description.name, EndpointEvidence.HostList, description.leavesAt);
        }
    }

    private addEntry(description: EndpointDescription): EndpointEntry {
        const entry: EndpointEntry = {
            name: description.name,
            number: hashToNumber(description.name),
            description,
            state: EndpointState.Live,
            evidence: EndpointEvidence.HostList,
            since: this.clock.getWallTime(),
            leavesAt: undefined,
            running: 0,
            limit: ConcurrencyLimit.create(defaultCapacity, this.maximumConcurrency),
            load: undefined,
            loadAt: -Infinity,
            runningAtReport: 0,
            failures: 0,
            suspectUntil: 0,
            attempts: new Set(),
        };
        this.entries.set(entry.name, entry);
        this.metrics.endpointState.set({ endpoint: entry.name, state: entry.state }, 1);
        return entry;
    }

    private removeEntry(entry: EndpointEntry): void {
        this.goneUntil.set(entry.name, this.clock.getMonotonicTime() + goneMemoryMilliseconds);
        this.markLeaving(entry.name, EndpointEvidence.HostList, this.clock.getWallTime());
        this.setState(entry, EndpointState.Gone, EndpointEvidence.HostList);
        this.metrics.endpointState.remove({ endpoint: entry.name, state: EndpointState.Gone });
        this.entries.delete(entry.name);
        this.removeOldMemories();
    }

    private removeOldMemories(): void {
        const now = this.clock.getMonotonicTime();
        for (const [name, until] of this.goneUntil) {
            if (until <= now) {
                this.goneUntil.delete(name);
            }
        }
    }

    private buildGroups(): void {
        this.byGroup.clear();
        for (const entry of this.entries.values()) {
            const members = this.byGroup.get(entry.description.group) ?? [];
            members.push(entry);
            this.byGroup.set(entry.description.group, members);
        }
    }

    private setState(entry: EndpointEntry, state: EndpointState, evidence: EndpointEvidence): void {
        this.metrics.endpointState.remove({ endpoint: entry.name, state: entry.state });
        this.metrics.endpointState.set({ endpoint: entry.name, state }, 1);
        this.logger.info("endpoint state changed", { endpoint: entry.name, from: entry.state, to: state, evidence });
        entry.state = state;
        entry.evidence = evidence;
        entry.since = this.clock.getWallTime();
    }

    private notifyRoom(group?: string): void {
        const groups = group === undefined ? [...this.byGroup.keys()] : [group];
        for (const listener of this.listeners) {
            groups.forEach(name => listener.handleRoom(name));
        }
    }
}
