import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { formatIncarnationKey, PeerTable } from "../gossip/peerTable.js";
import { ObjectStore, writeObject } from "../provider/objectStore.js";
import { getEra, Revision } from "../provider/revision.js";
import { StoredObject } from "../provider/types.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { DutyLease } from "./dutyLease.js";
import { DutyApi, DutyCredentials, DutyOutcome, UsageReport } from "./types.js";

/** Name of the store object that holds the reports of the last windows. */
const reportsObjectName = "usage/reports";
/** Reports stored in addition to those that can be due at once, for windows whose reports are about to become due. */
const extraStoredReports = 3;
/** Time after a window's end for the last counts of peers to arrive, in milliseconds: two gossip exchanges, plus a margin. */
const countArrivalMilliseconds = 1_500;
/**
 * Time after this node acquired the lease for counts of earlier windows to arrive, in milliseconds: in a large fleet relays send them
 * to the holder only, once they have learned in an exchange or two who it is.
 */
const handoverArrivalMilliseconds = 2_500;
/** Share of the due time after which the duty no longer waits for the counts of unreachable peers. */
const missingPeerWaitShare = 0.75;

const reportSchema = z.object({
    window: z.number().int(),
    counts: z.array(z.object({ team: z.string(), requests: z.number().int() })),
});
const storedReportsSchema = z.object({
    reports: z.array(reportSchema),
    /** Era of the store in which the record was written. A restored copy lacks the reports that were stored after it was made. */
    era: z.number().int().default(0),
});

/** Dependencies of the usage duty. Times are in milliseconds. */
export interface UsageDutyDependencies {
    readonly store: ObjectStore;
    readonly api: DutyApi;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly lease: DutyLease;
    readonly table: PeerTable;
    readonly counter: UsageCounter;
    readonly ledger: UsageLedger;
    /** Time after the end of a window within which its report is due. */
    readonly dueTime: number;
}

/**
 * Reports the usage of each window to the cloud, with the same counts whenever it is sent again. To this end the counts are
 * written to the store first, so that the next lease holder sends them instead of computing different ones.
 */
export class UsageDuty {
    private record: StoredObject | undefined;
    /** Reports in the stored record. */
    private reports: readonly UsageReport[] = [];
    /** Windows whose reports this node sent successfully. */
    private readonly accepted = new Set<number>();
    /** Fencing token under which the record was loaded; 0 when it must be loaded again. */
    private actingFencing: Revision = 0;
    /** Fencing token under which this node knows every report that was sent; 0 before the first record was loaded. */
    private completeFencing: Revision = 0;
    /** Monotonic time at which the record was first loaded under this lease. */
    private actingSince = -Infinity;
    /**
     * Unix milliseconds. A report that could have been computed before then may have been sent and lost with the store's later
     * writes; computed again, its counts could differ.
     */
    private unknownReportsUntil = -Infinity;

    private constructor(private readonly dependencies: UsageDutyDependencies) {}

    static create(dependencies: UsageDutyDependencies): UsageDuty {
        return new UsageDuty(dependencies);
    }

    /** Sends the reports of the windows that are ready, the oldest first, up to the first failure. */
    async runRound(credentials: DutyCredentials): Promise<void> {
        if (credentials.fencing !== this.actingFencing && !await this.loadStoredReports(credentials)) {
            return;
        }
        for (const window of this.listReadyWindows()) {
            const report = this.findReport(window) ?? await this.storeReport(window, credentials);
            if (report === undefined || !await this.sendReport(report)) {
                return;
            }
        }
    }

    /** Loads the reports that earlier holders stored; returns false when the store could not be read. */
    private async loadStoredReports(credentials: DutyCredentials): Promise<boolean> {
        const found = await this.dependencies.store.getObject(reportsObjectName);
        if (found.err) {
            return false;
        }
        this.record = found.val;
        const parsed = storedReportsSchema.safeParse(found.val?.value);
        const stored = parsed.success ? parsed.data : undefined;
        const isCurrent = stored?.era === getEra(credentials.fencing);
        const knowsAllReports = this.completeFencing !== 0 && credentials.continuedFencing === this.completeFencing;
        if (!isCurrent && !knowsAllReports) {
            this.unknownReportsUntil = this.dependencies.clock.getWallTime();
        }
        const reports = mergeReports(stored?.reports ?? [], knowsAllReports ? this.reports : []);
        if (!isCurrent && !await this.writeRecord(reports, credentials)) {
            return false;
        }
        this.reports = reports;
        if (this.completeFencing !== credentials.fencing && !knowsAllReports) {
            this.actingSince = this.dependencies.clock.getMonotonicTime();
        }
        this.actingFencing = credentials.fencing;
        this.completeFencing = credentials.fencing;
        return true;
    }

    /** Stores the reports under the era of the lease; returns whether the write succeeded. */
    private async writeRecord(reports: readonly UsageReport[], credentials: DutyCredentials): Promise<boolean> {
        const { store, log } = this.dependencies;
        const value = { reports, era: getEra(credentials.fencing) };
        const written = await writeObject(store, reportsObjectName, value, this.record);
        if (written.err) {
            // The write may have taken effect, so the record is loaded again before anything else is sent.
            this.actingFencing = 0;
            log.log(LogEvents.DutyFailed, {
                duty: "usage record",
                outcome: written.val.outcome,
                cause: written.val.failure.text,
            });
            return false;
        }
        this.record = { name: reportsObjectName, revision: written.val, value };
        return true;
    }

    /** Returns the ended windows whose report is due, not yet accepted, and either stored or computable from complete counts. */
    private listReadyWindows(): number[] {
        const { clock, counter, dueTime } = this.dependencies;
        const now = clock.getWallTime();
        const oldest = counter.getWindow(now - dueTime);
        const windows: number[] = [];
        for (let window = oldest; counter.getWindowEnd(window) + countArrivalMilliseconds <= now; window += 1) {
            const isDue = now < counter.getWindowEnd(window) + dueTime;
            const mayBeSentAlready = counter.getWindowEnd(window) + countArrivalMilliseconds <= this.unknownReportsUntil;
            const isComputable = !mayBeSentAlready && this.hasAllCounts(window, now);
            if (isDue && !this.accepted.has(window) && (this.findReport(window) !== undefined || isComputable)) {
                windows.push(window);
            }
        }
        return windows;
    }

    /** Returns whether every peer ever reached could send its counts to this holder since the window ended, or the wait for missing peers is over. */
    private hasAllCounts(window: number, now: number): boolean {
        const { clock, counter, table, dueTime } = this.dependencies;
        const sinceEnd = now - counter.getWindowEnd(window);
        if (sinceEnd >= dueTime * missingPeerWaitShare) {
            return true;
        }
        if (clock.getMonotonicTime() - this.actingSince < handoverArrivalMilliseconds) {
            return false;
        }
        const endedAt = clock.getMonotonicTime() - sinceEnd;
        return table.listPeers().every(peer => peer.lastSeenAt > endedAt || peer.lastSeenAt === -Infinity);
    }

    /** Returns the newest reports, as many as the next lease holder may have to send again. */
    private listRetainedReports(reports: readonly UsageReport[]): UsageReport[] {
        const { counter, dueTime } = this.dependencies;
        const kept = Math.ceil(dueTime / counter.windowLength) + extraStoredReports;
        return [...reports].sort((left, right) => left.window - right.window).slice(-kept);
    }

    private findReport(window: number): UsageReport | undefined {
        return this.reports.find(report => report.window === window);
    }

    /** Computes the report of a window and stores it; undefined when the write failed or its outcome is unknown. */
    private async storeReport(window: number, credentials: DutyCredentials): Promise<UsageReport | undefined> {
        const { dependencies } = this;
        dependencies.ledger.recordUsage(formatIncarnationKey(dependencies.table.identity), window, dependencies.counter.listUsage(window));
        const report: UsageReport = { window, counts: dependencies.ledger.computeCounts(window) };
        const reports = this.listRetainedReports([...this.reports, report]);
        if (!await this.writeRecord(reports, credentials)) {
            return undefined;
        }
        this.reports = reports;
        return report;
    }

    /** Sends a report; returns whether the cloud accepted it. */
    private async sendReport(report: UsageReport): Promise<boolean> {
        const { dependencies } = this;
        const credentials = dependencies.lease.getCredentials();
        if (credentials === undefined) {
            return false;
        }
        const sent = await dependencies.api.sendUsage(report, credentials);
        const requests = report.counts.reduce((sum, count) => sum + count.requests, 0);
        if (sent.ok) {
            this.accepted.add(report.window);
            dependencies.log.log(LogEvents.DutyDone, { duty: "usage", window: report.window, requests, fencing: credentials.fencing });
            return true;
        }
        if (sent.val.outcome === DutyOutcome.Fenced) {
            dependencies.lease.recordFenced(credentials.fencing);
        }
        dependencies.log.log(LogEvents.DutyFailed, {
            duty: "usage",
            window: report.window,
            outcome: sent.val.outcome,
            cause: sent.val.text,
            fencing: credentials.fencing,
        });
        return false;
    }
}

/** Returns the stored reports, and those of `known` whose windows they lack. */
function mergeReports(stored: readonly UsageReport[], known: readonly UsageReport[]): UsageReport[] {
    const storedWindows = new Set(stored.map(report => report.window));
    return [...stored, ...known.filter(report => !storedWindows.has(report.window))];
}
