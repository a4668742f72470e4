import { Clock } from "../common/clock.js";
import { hashToNumber } from "../common/hashing.js";
import { checkInvariant } from "../common/invariant.js";
import { Logger } from "../common/logging.js";
import { Metrics } from "../common/metrics.js";
import { EndpointDescription, EndpointEvidence, EndpointState, LoadReport } from "../endpoints/types.js";
import { HostState } from "../provider/types.js";
import { ConcurrencyLimit } from "./concurrencyLimit.js";

/** Time for which an endpoint is sent no attempts after a failure; doubled for each consecutive failure up to the maximum. */
const initialSuspectMilliseconds = 500;
const maximumSuspectMilliseconds = 8_000;
/** Time constant of the exponential decay of a load report's weight. */
const loadDecayMilliseconds = 2_000;
/** Share of the capacity assumed to be in use without a recent load report. */
const assumedLoadShare = 0.5;
/** Concurrent attempts that an endpoint is assumed to run before its first load report. */
const defaultCapacity = 4;
/** The concurrency limit decreases if more than this share of an endpoint's capacity is queued inside the endpoint. */
const waitingShareLimit = 0.5;
/** Time after which an endpoint that refused an attempt as leaving, and no longer reports that it leaves, is sent attempts again. */
const leavingRefusalRetentionMilliseconds = 5_000;
/** Time for which a removed endpoint stays blocked, so that an outdated host list does not add it again. */
const removedEndpointRetentionMilliseconds = 60_000;

/** State that this node records for one endpoint. */
export interface EndpointEntry {
    readonly name: string;
    /** Hash of the name; identifies the endpoint in digests. */
    readonly number: number;
    description: EndpointDescription;
    state: EndpointState;
    evidence: EndpointEvidence;
    /** Unix time of the last state change, in milliseconds. */
    since: number;
    /** Unix time in milliseconds at which the endpoint will be removed, or undefined if not announced. */
    leavesAt: number | undefined;
    /** Attempts that this node runs at the endpoint. */
    running: number;
    readonly limit: ConcurrencyLimit;
    load: LoadReport | undefined;
    /** Monotonic time of the load report, in milliseconds. */
    loadReportedAt: number;
    /** Attempts that this node ran at the endpoint when the load report was recorded. */
    localRunningAtReport: number;
    /** Consecutive failures. */
    failures: number;
    /** Monotonic time in milliseconds until which a suspect endpoint is sent no attempts. */
    suspectUntil: number;
    readonly attempts: Set<ActiveAttempt>;
}

/** A running attempt, with what moving it to another endpoint and finding the cause of a crash require. */
export interface ActiveAttempt {
    readonly requestId: string;
    readonly fingerprint: string;
    /** Returns the prompt and response tokens that a move without the cache would recompute. */
    countTokensToRecompute(): number;
    /** Returns the number of tokens that this attempt has emitted. */
    countEmittedTokens(): number;
    /** Returns the maximum number of tokens that the request may still emit. */
    countRemainingTokens(): number;
    /** Returns the mean time between two tokens in milliseconds, or the target before two tokens were emitted. */
    getTokenInterval(): number;
    /** Exports the attempt's cache and aborts the attempt, so that the request continues at another endpoint. */
    startMove(): void;
    /** Whether the attempt holds the suspect lock of its endpoint. */
    readonly holdsSuspectLock: boolean;
}

/** Receives changes of the endpoint registry. */
export interface EndpointListener {
    /** Called when an endpoint is marked as leaving; its attempts should be moved. */
    handleLeaving(entry: EndpointEntry): void;
    /** Called when an endpoint of the group may have free slots. */
    handleFreeCapacity(group: string): void;
}

/** Records for each endpoint its state with the evidence for it, its last load report and the attempts that this node runs there. */
export class EndpointRegistry {
    private readonly entries = new Map<string, EndpointEntry>();
    private readonly entriesByGroup = new Map<string, EndpointEntry[]>();
    private readonly removedUntilByName = new Map<string, number>();
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

    /** Sets the number of nodes, this one included, that share the endpoints of this node's failure domain. */
    setObserverCount(count: number): void {
        this.observerCount = Math.max(1, count);
    }

    /** Applies a host list. Since the list may be outdated, it never sets a leaving or recently removed endpoint to live. */
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
        this.notifyFreeCapacity();
    }

    findEntry(name: string): EndpointEntry | undefined {
        return this.entries.get(name);
    }

    listEntries(): EndpointEntry[] {
        return [...this.entries.values()];
    }

    /** Returns the endpoints of a group, in any state. */
    listGroup(group: string): readonly EndpointEntry[] {
        return this.entriesByGroup.get(group) ?? [];
    }

    /** Returns whether an endpoint may be sent new attempts now. */
    isEligible(entry: EndpointEntry): boolean {
        if (entry.state === EndpointState.Suspect) {
            return entry.suspectUntil <= this.clock.getMonotonicTime() && entry.running === 0;
        }
        return entry.state === EndpointState.Live;
    }

    /** Returns how many more attempts this node may start at an endpoint; may be negative. */
    getFreeSlots(entry: EndpointEntry): number {
        const localSlots = entry.limit.getLimit() - entry.running;
        const capacity = this.getCapacity(entry);
        const unusedCapacity = capacity - entry.running - this.computeRemoteAttempts(entry);
        // Each node may always use its equal share; otherwise nodes with more traffic would starve the others until the next report.
        const guaranteedSlots = Math.floor(capacity / this.observerCount) - entry.running;
        return Math.min(localSlots, Math.max(guaranteedSlots, Math.floor(unusedCapacity)));
    }

    getCapacity(entry: EndpointEntry): number {
        return entry.load?.capacity ?? defaultCapacity;
    }

    /** Estimates the attempts of other nodes at an endpoint; an aging load report decays toward the assumed load. */
    computeRemoteAttempts(entry: EndpointEntry): number {
        if (this.observerCount === 1) {
            return 0;
        }
        const capacity = this.getCapacity(entry);
        const localShare = capacity / this.observerCount;
        const assumedAttempts = Math.max(0, capacity * assumedLoadShare - localShare * assumedLoadShare);
        if (entry.load === undefined) {
            return assumedAttempts;
        }
        const reportedAttempts = Math.max(0, entry.load.running + entry.load.waiting - entry.localRunningAtReport);
        const weight = Math.exp(-(this.clock.getMonotonicTime() - entry.loadReportedAt) / loadDecayMilliseconds);
        return reportedAttempts * weight + assumedAttempts * (1 - weight);
    }

    /** Returns the estimated share of an endpoint's capacity in use; exceeds 1 if the endpoint is overloaded. */
    getLoadShare(entry: EndpointEntry): number {
        return (entry.running + this.computeRemoteAttempts(entry)) / this.getCapacity(entry);
    }

    /** Records a load report unless a newer one is present. The age is in milliseconds. */
    recordLoad(name: string, load: LoadReport, age: number): void {
        const entry = this.entries.get(name);
        const reportedAt = this.clock.getMonotonicTime() - age;
        if (entry === undefined || reportedAt <= entry.loadReportedAt) {
            return;
        }
        if (entry.load === undefined) {
            // The first report gives the capacity, and with it this node's share.
            entry.limit.raiseToEstimate(load.capacity / this.observerCount);
        }
        entry.load = load;
        entry.loadReportedAt = reportedAt;
        entry.localRunningAtReport = entry.running;
        entry.limit.setMaximum(Math.min(this.maximumConcurrency, load.capacity));
        if (load.waiting > load.capacity * waitingShareLimit) {
            // Many requests are queued inside the endpoint: the nodes together send more than it can run.
            entry.limit.recordRefusal(this.clock.getMonotonicTime());
        }
        if (load.leaving) {
            this.markLeaving(name, EndpointEvidence.LocalRefusal, undefined);
        }
        else if (this.hasWithdrawnLeaving(entry)) {
            this.setState(entry, EndpointState.Live, EndpointEvidence.Probe);
        }
        if (entry.state === EndpointState.Suspect && entry.suspectUntil <= this.clock.getMonotonicTime()) {
            this.setState(entry, EndpointState.Live, EndpointEvidence.Probe);
        }
        this.notifyFreeCapacity(entry.description.group);
    }

    /** Marks an endpoint as leaving and keeps the first evidence. The removal time is in Unix milliseconds, undefined if unknown. */
    markLeaving(name: string, evidence: EndpointEvidence, leavesAt: number | undefined): void {
        const entry = this.entries.get(name);
        if (entry === undefined || entry.state === EndpointState.Removed) {
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

    /** Records a successful attempt; a suspect endpoint becomes live again. */
    recordSuccess(entry: EndpointEntry): void {
        entry.failures = 0;
        entry.limit.recordSuccess(entry.running);
        if (entry.state === EndpointState.Suspect) {
            this.setState(entry, EndpointState.Live, EndpointEvidence.Probe);
        }
    }

    /** Records that an endpoint was unreachable or lost a connection, and makes it suspect for a time. */
    recordFailure(entry: EndpointEntry, evidence: EndpointEvidence): void {
        const now = this.clock.getMonotonicTime();
        if (entry.state === EndpointState.Suspect && now < entry.suspectUntil) {
            // The attempt began before the endpoint became suspect, so its failure may have the same cause.
            return;
        }
        entry.failures += 1;
        entry.suspectUntil = now + Math.min(maximumSuspectMilliseconds, initialSuspectMilliseconds * 2 ** (entry.failures - 1));
        if (entry.state === EndpointState.Live) {
            this.setState(entry, EndpointState.Suspect, evidence);
        }
    }

    /** Records that an endpoint refused an attempt because it was full. */
    recordRefusal(entry: EndpointEntry): void {
        entry.limit.recordRefusal(this.clock.getMonotonicTime());
    }

    /** Counts an attempt that starts at an endpoint. */
    addAttempt(entry: EndpointEntry): void {
        entry.running += 1;
    }

    /** Removes an attempt from the count, however it ended. */
    removeAttempt(entry: EndpointEntry): void {
        entry.running -= 1;
        checkInvariant(entry.running >= 0, "the count of running attempts at an endpoint fell below zero");
        this.notifyFreeCapacity(entry.description.group);
    }

    /** Returns whether an endpoint that refused an attempt as leaving, but whose removal was never announced, may be live again. */
    private hasWithdrawnLeaving(entry: EndpointEntry): boolean {
        const isByRefusal = entry.state === EndpointState.Leaving && entry.evidence === EndpointEvidence.LocalRefusal;
        const isListedLive = entry.leavesAt === undefined && entry.description.state === HostState.Live;
        return isByRefusal && isListedLive && this.clock.getWallTime() - entry.since > leavingRefusalRetentionMilliseconds;
    }

    private applyDescription(description: EndpointDescription): void {
        if ((this.removedUntilByName.get(description.name) ?? 0) > this.clock.getMonotonicTime()) {
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
            loadReportedAt: -Infinity,
            localRunningAtReport: 0,
            failures: 0,
            suspectUntil: 0,
            attempts: new Set(),
        };
        this.entries.set(entry.name, entry);
        this.metrics.endpointState.set({ endpoint: entry.name, state: entry.state }, 1);
        return entry;
    }

    private removeEntry(entry: EndpointEntry): void {
        this.removedUntilByName.set(entry.name, this.clock.getMonotonicTime() + removedEndpointRetentionMilliseconds);
        this.markLeaving(entry.name, EndpointEvidence.HostList, this.clock.getWallTime());
        this.setState(entry, EndpointState.Removed, EndpointEvidence.HostList);
        this.metrics.endpointState.remove({ endpoint: entry.name, state: EndpointState.Removed });
        this.entries.delete(entry.name);
        this.removeExpiredRemovals();
    }

    private removeExpiredRemovals(): void {
        const now = this.clock.getMonotonicTime();
        for (const [name, until] of this.removedUntilByName) {
            if (until <= now) {
                this.removedUntilByName.delete(name);
            }
        }
    }

    private buildGroups(): void {
        this.entriesByGroup.clear();
        for (const entry of this.entries.values()) {
            const members = this.entriesByGroup.get(entry.description.group) ?? [];
            members.push(entry);
            this.entriesByGroup.set(entry.description.group, members);
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

    private notifyFreeCapacity(group?: string): void {
        const groups = group === undefined ? [...this.entriesByGroup.keys()] : [group];
        for (const listener of this.listeners) {
            groups.forEach(name => listener.handleFreeCapacity(name));
        }
    }
}
