import { Clock } from "../common/clock.js";
import { RequestExplanation, RequestRecord } from "./requestRecord.js";

/** Time for which the response of an ended request can still be read. */
const endedRecordRetentionMilliseconds = 30_000;
/** Maximum number of explanations of ended requests that a node keeps. */
const explanationLimit = 2_000;
/** Maximum number of ended records that a node keeps for callers that attach again. */
const endedRecordLimit = 1_000;

interface EndedRecord {
    readonly record: RequestRecord;
    readonly expiresAt: number;
}

/**
 * Holds the generations that a node runs, the records and explanations of recently ended requests, and the number of responses that
 * callers and peers still wait for.
 */
export class RequestTable {
    private readonly active = new Map<string, RequestRecord>();
    private readonly ended = new Map<string, EndedRecord>();
    private readonly explanations = new Map<string, RequestExplanation>();
    private openResponses = 0;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): RequestTable {
        return new RequestTable(clock);
    }

    addRecord(record: RequestRecord): void {
        this.active.set(record.request.id, record);
    }

    /** Moves an ended record from the active to the ended records. */
    finishRecord(record: RequestRecord): void {
        this.active.delete(record.request.id);
        this.addExplanation(record.createExplanation());
        this.ended.set(record.request.id, { record, expiresAt: this.clock.getMonotonicTime() + endedRecordRetentionMilliseconds });
        this.removeExpired();
    }

    /** Keeps the explanation of an ended request; evicts the oldest one above the limit. */
    addExplanation(explanation: RequestExplanation): void {
        this.explanations.delete(explanation.id);
        this.explanations.set(explanation.id, explanation);
        if (this.explanations.size > explanationLimit) {
            this.explanations.delete(this.explanations.keys().next().value as string);
        }
    }

    /** Returns the record of a running or recently ended request, or undefined. */
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

    /** Returns the explanation of a running or ended request, or undefined if there is none. */
    findExplanation(id: string): RequestExplanation | undefined {
        return this.active.get(id)?.createExplanation() ?? this.explanations.get(id);
    }

    listActive(): RequestRecord[] {
        return [...this.active.values()];
    }

    countActive(): number {
        return this.active.size;
    }

    /** Counts a response as open; returns the function that ends this once the response has been sent or is no longer wanted. */
    addOpenResponse(): () => void {
        let isOpen = true;
        this.openResponses += 1;
        return () => {
            this.openResponses -= isOpen ? 1 : 0;
            isOpen = false;
        };
    }

    countOpenResponses(): number {
        return this.openResponses;
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
