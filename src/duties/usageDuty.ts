import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { describeLife, PeerTable } from "../gossip/peerTable.js";
import { ObjectStore, writeObject } from "../provider/objectStore.js";
import { StoredObject } from "../provider/types.js";
import { UsageCounter } from "../usage/usageCounter.js";
import { UsageLedger } from "../usage/usageLedger.js";
import { DutyLease } from "./dutyLease.js";
import { DutyApi, DutyCredentials, DutyOutcome, UsageReport } from "./types.js";

/** Object that holds the reports of the last windows. */
const recordName = "usage/reports";
/** Reports that the record keeps beyond those that can be due at once: those of windows that are about to be. */
const spareReports = 3;
/** Time after a window's end for the peers' last counts to arrive, in milliseconds: two exchanges and some. */
const settleMilliseconds = 1_500;
/** Time after which the duty no longer waits for the counts of a peer that is silent, as a share of what a report has. */
const patienceShare = 0.75;

const reportSchema = z.object({
    window: z.number().int(),
    counts: z.array(z.object({ team: z.string(), requests: z.number().int() })),
});
const recordSchema = z.object({ reports: z.array(reportSchema) });

/** What the duty works with. Times are in milliseconds. */
export interface UsageDutyParts {
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
 * Reports the usage of each window once. The counts are written to the store before they are sent, so that a successor
 * repeats them exactly instead of sending others.
 */
export class UsageDuty {
    private record: StoredObject | undefined;
    private reports: readonly UsageReport[] = [];
    private readonly accepted = new Set<number>();
    private actingFencing = 0;

    private constructor(private readonly parts: UsageDutyParts) {}

    static create(parts: UsageDutyParts): UsageDuty {
        return new UsageDuty(parts);
    }

    /** Reports the windows that are ready, the oldest first. */
    async runRound(credentials: DutyCredentials): Promise<void> {
        if (credentials.fencing !== this.actingFencing && !await this.loadRecord(credentials)) {
            return;
        }
        for (const window of this.listReadyWindows()) {
            const report = this.findReport(window) ?? await this.recordReport(window);
            if (report === undefined || !await this.sendReport(report)) {
                return;
            }
        }
    }

    /** Reads what earlier holders reported. */
    private async loadRecord(credentials: DutyCredentials): Promise<boolean> {
        const found = await this.parts.store.getObject(recordName);
        if (found.err) {
            return false;
        }
        this.record = found.val;
        const parsed = recordSchema.safeParse(found.val?.value);
        this.reports = parsed.success ? parsed.data.reports : [];
        this.actingFencing = credentials.fencing;
        return true;
    }

    /** Returns the windows that have ended, whose counts are in, and whose report is still due. */
    private listReadyWindows(): number[] {
        const { clock, counter, dueTime } = this.parts;
        const now = clock.getWallTime();
        const oldest = counter.getWindow(now - dueTime);
        const windows: number[] = [];
        for (let window = oldest; counter.getWindowEnd(window) + settleMilliseconds <= now; window += 1) {
            const isDue = now < counter.getWindowEnd(window) + dueTime;
            if (isDue && !this.accepted.has(window) && (this.findReport(window) !== undefined || this.hasAllCounts(window, now))) {
                windows.push(window);
            }
        }
        return windows;
    }

    /** Whether every node that serves has told its counts since the window ended, or has been waited for long enough. */
    private hasAllCounts(window: number, now: number): boolean {
        const { clock, counter, table, dueTime } = this.parts;
        const sinceEnd = now - counter.getWindowEnd(window);
        if (sinceEnd >= dueTime * patienceShare) {
            return true;
        }
        const endedAt = clock.getMonotonicTime() - sinceEnd;
        return table.listPeers().every(peer => peer.heardAt > endedAt || peer.heardAt === -Infinity);
    }

    /** Returns the newest reports: as many as a successor may have to repeat. */
    private listKept(reports: readonly UsageReport[]): UsageReport[] {
        const { counter, dueTime } = this.parts;
        const kept = Math.ceil(dueTime / counter.windowLength) + spareReports;
        return [...reports].sort((left, right) => left.window - right.window).slice(-kept);
    }

    private findReport(window: number): UsageReport | undefined {
        return this.reports.find(report => report.window === window);
    }

    /** Computes the report of a window and stores it; undefined when the store did not take it. */
    private async recordReport(window: number): Promise<UsageReport | undefined> {
        const { parts } = this;
        parts.ledger.recordUsage(describeLife(parts.table.identity), window, parts.counter.listUsage(window));
        const report: UsageReport = { window, counts: parts.ledger.computeCounts(window) };
        const reports = this.listKept([...this.reports, report]);
        const written = await writeObject(parts.store, recordName, { reports }, this.record);
        if (written.err) {
            // Whatever became of the write, the record is read again before anything else is sent.
            this.actingFencing = 0;
            parts.log.log(LogEvents.DutyFailed, {
                duty: "usage record",
                window,
                outcome: written.val.outcome,
                cause: written.val.failure.text,
            });
            return undefined;
        }
        this.record = { name: recordName, revision: written.val, value: { reports } };
        this.reports = reports;
        return report;
    }

    private async sendReport(report: UsageReport): Promise<boolean> {
        const { parts } = this;
        const credentials = parts.lease.getCredentials();
        if (credentials === undefined) {
            return false;
        }
        const sent = await parts.api.sendUsage(report, credentials);
        const requests = report.counts.reduce((sum, count) => sum + count.requests, 0);
        if (sent.ok) {
            this.accepted.add(report.window);
            parts.log.log(LogEvents.DutyDone, { duty: "usage", window: report.window, requests, fencing: credentials.fencing });
            return true;
        }
        if (sent.val.outcome === DutyOutcome.Fenced) {
            parts.lease.recordFenced(credentials.fencing);
        }
        parts.log.log(LogEvents.DutyFailed, {
            duty: "usage",
            window: report.window,
            outcome: sent.val.outcome,
            cause: sent.val.text,
            fencing: credentials.fencing,
        });
        return false;
    }
}
