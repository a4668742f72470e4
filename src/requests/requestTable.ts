import { Clock } from "../common/clock.js";
import { RequestExplanation, RequestRecord } from "./requestRecord.js";

/** Milliseconds for which the answer of an ended request can still be read again. */
const answerRetentionMilliseconds = 30_000;
/** Explanations of ended requests that a node remembers. */
const explanationLimit = 2_000;
/** Ended records that a node keeps for re-attaching callers. */
const endedRecordLimit = 1_000;

interface EndedRecord {
    readonly record: RequestRecord;
    readonly expiresAt: number;
}

/** The requests that a node runs, and what it remembers of those that ended. */
export class RequestTable {
    private readonly active = new Map<string, RequestRecord>();
    private readonly ended = new Map<string, EndedRecord>();
    private readonly explanations = new Map<string, RequestExplanation>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): RequestTable {
        return new RequestTable(clock);
    }

    addRecord(record: RequestRecord): void {
        this.active.set(record.request.id, record);
    }

    /** Moves an ended record out of the active ones. */
    finishRecord(record: RequestRecord): void {
        this.active.delete(record.request.id);
        this.addExplanation(record.createExplanation());
        this.ended.set(record.request.id, { record, expiresAt: this.clock.getMonotonicTime() + answerRetentionMilliseconds });
        this.removeExpired();
    }

    /** Remembers what happened to a request. */
    addExplanation(explanation: RequestExplanation): void {
        this.explanations.delete(explanation.id);
        this.explanations.set(explanation.id, explanation);
        if (this.explanations.size > explanationLimit) {
            this.explanations.delete(this.explanations.keys().next().value as string);
        }
    }

    /** Returns a record that runs or ended a short while ago. */
    findRecord(id: string): RequestRecord | undefined {
        const active = this.active.get(id);
        if (active !== undefined) {
            return active;
        }
        const ended = this.ended.get(id);
        if (ended === undefined || ended.expiresAt < this.clock.getMonotonicTime()) {
            return undefined;
        }
        return ended.record;
    }

    /** Returns what is known of a request. */
    findExplanation(id: string): RequestExplanation | undefined {
        return this.active.get(id)?.createExplanation() ?? this.explanations.get(id);
    }

    listActive(): RequestRecord[] {
        return [...this.active.values()];
    }

    countActive(): number {
        return this.active.size;
    }

    private removeExpired(): void {
        const now = this.clock.getMonotonicTime();
        for (const [id, entry] of this.ended) {
            if (entry.expiresAt >= now && this.ended.size <= endedRecordLimit) {
                return;
            }
            this.ended.delete(id);
        }
    }
}
