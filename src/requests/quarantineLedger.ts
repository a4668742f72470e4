import { Clock } from "../common/clock.js";

/** Endpoint crashes counted against a request after which it is quarantined. */
const quarantineCrashCount = 2;
/** Endpoint crashes, including those that the request was cleared of, after which it is quarantined. */
const quarantineTotalCrashCount = 4;
/** Maximum number of fingerprints in the ledger. */
const ledgerEntryLimit = 5_000;

/** Endpoints whose crashes are counted against one request body. */
export interface FingerprintRecord {
    readonly fingerprint: string;
    readonly endpoints: readonly string[];
    /** Unix time in milliseconds at which the record expires. */
    readonly until: number;
}

interface LedgerEntry {
    readonly endpoints: Set<string>;
    /** Endpoints whose crashes the request was cleared of; merging a peer's record does not count them again. */
    readonly cleared: Set<string>;
    until: number;
    /** Monotonic time in milliseconds at which the latest crash was counted here. */
    latestCrashAt: number;
    /** Monotonic time in milliseconds at which it was last cleared of a crash here. */
    latestClearanceAt: number;
    /** Whether this node counted one of the crashes itself. */
    hasOwnCrash: boolean;
}

/**
 * Records which request bodies may have crashed which endpoints, so that poison requests are quarantined. Records merge by
 * set union, so their order does not matter.
 */
export class QuarantineLedger {
    private readonly entries = new Map<string, LedgerEntry>();

    private constructor(private readonly clock: Clock, private readonly retentionMilliseconds: number) {}

    /** Creates an empty ledger whose records expire after the retention time, in milliseconds. */
    static create(clock: Clock, retentionMilliseconds: number): QuarantineLedger {
        return new QuarantineLedger(clock, retentionMilliseconds);
    }

    /** Returns whether the ledger has no entry. */
    isEmpty(): boolean {
        return this.entries.size === 0;
    }

    /** Counts the crash of an endpoint against a fingerprint. */
    recordCrash(fingerprint: string, endpoint: string): void {
        this.mergeRecord({ fingerprint, endpoints: [endpoint], until: this.clock.getWallTime() + this.retentionMilliseconds });
        const entry = this.entries.get(fingerprint);
        if (entry !== undefined) {
            entry.hasOwnCrash = true;
        }
    }

    /** Merges a record of a peer; returns whether it added a crash. */
    mergeRecord(record: FingerprintRecord): boolean {
        if (record.until <= this.clock.getWallTime()) {
            return false;
        }
        const entry = this.entries.get(record.fingerprint) ?? this.addEntry(record.fingerprint);
        const countBefore = entry.endpoints.size;
        record.endpoints.filter(endpoint => !entry.cleared.has(endpoint)).forEach(endpoint => entry.endpoints.add(endpoint));
        if (entry.endpoints.size > countBefore) {
            entry.latestCrashAt = this.clock.getMonotonicTime();
        }
        entry.until = Math.max(entry.until, Math.min(record.until, this.clock.getWallTime() + this.retentionMilliseconds));
        return entry.endpoints.size > countBefore;
    }

    /** Clears a suspect request that held the suspect lock and ran past the point of the crash. A quarantined request stays so. */
    removeSuspicion(fingerprint: string): void {
        const entry = this.entries.get(fingerprint);
        if (entry === undefined || this.isQuarantined(fingerprint)) {
            return;
        }
        entry.endpoints.forEach(endpoint => entry.cleared.add(endpoint));
        entry.endpoints.clear();
    }

    /** Clears a request of crashes of the given endpoints: the request was served, so the crashes had another cause. */
    removeCrashes(fingerprint: string, endpoints: readonly string[]): void {
        const entry = this.entries.get(fingerprint) ?? this.addEntry(fingerprint);
        entry.until = Math.max(entry.until, this.clock.getWallTime() + this.retentionMilliseconds);
        endpoints.forEach(endpoint => {
            if (entry.endpoints.delete(endpoint) || !entry.cleared.has(endpoint)) {
                entry.latestClearanceAt = this.clock.getMonotonicTime();
            }
            entry.cleared.add(endpoint);
        });
    }

    /** Returns the crashes that requests were cleared of since a monotonic time, for peers that still count them. */
    listClearedCrashes(since: number): Omit<FingerprintRecord, "until">[] {
        return [...this.entries]
            .filter(([, entry]) => entry.latestClearanceAt >= since && entry.until > this.clock.getWallTime())
            .map(([fingerprint, entry]) => ({ fingerprint, endpoints: [...entry.cleared] }));
    }

    /** Returns the endpoints whose crashes are counted against a request. */
    listCrashedEndpoints(fingerprint: string): string[] {
        return [...this.findUnexpired(fingerprint)?.endpoints ?? []];
    }

    /** Removes the crashes of an endpoint that turned out to have been reclaimed by the platform. */
    removeEndpoint(endpoint: string): void {
        for (const entry of this.entries.values()) {
            entry.endpoints.delete(endpoint);
        }
    }

    /** Returns the monotonic time at which the latest crash was counted against a request on this node; -Infinity without one. */
    getLatestCrashTime(fingerprint: string): number {
        return this.findUnexpired(fingerprint)?.latestCrashAt ?? -Infinity;
    }

    /** Returns whether this node counted one of a request's crashes itself. */
    hasOwnCrash(fingerprint: string): boolean {
        return this.findUnexpired(fingerprint)?.hasOwnCrash ?? false;
    }

    /** Returns the number of crashes counted against a request. */
    countCrashes(fingerprint: string): number {
        return this.findUnexpired(fingerprint)?.endpoints.size ?? 0;
    }

    /** Returns whether a request is suspect and needs the endpoint's suspect lock to run. */
    isSuspect(fingerprint: string): boolean {
        return this.countCrashes(fingerprint) > 0;
    }

    /** Returns whether a request is quarantined and must be refused. */
    isQuarantined(fingerprint: string): boolean {
        const entry = this.findUnexpired(fingerprint);
        if (entry === undefined) {
            return false;
        }
        const total = entry.endpoints.size + entry.cleared.size;
        return entry.endpoints.size >= quarantineCrashCount || total >= quarantineTotalCrashCount;
    }

    /** Returns the unexpired record of a fingerprint with counted crashes. */
    findRecord(fingerprint: string): FingerprintRecord | undefined {
        const entry = this.findUnexpired(fingerprint);
        return entry === undefined || entry.endpoints.size === 0
            ? undefined
            : { fingerprint, endpoints: [...entry.endpoints], until: entry.until };
    }

    /** Returns the unexpired records with counted crashes, the most recently added last. */
    listRecords(): FingerprintRecord[] {
        const records: FingerprintRecord[] = [];
        for (const [fingerprint, entry] of this.entries) {
            if (entry.endpoints.size > 0 && entry.until > this.clock.getWallTime()) {
                records.push({ fingerprint, endpoints: [...entry.endpoints], until: entry.until });
            }
        }
        return records;
    }

    /** Returns the records that have enough crashes, or to which a crash was added since a monotonic time; most crashes first. */
    listRecordsToShare(minimumCrashes: number, since: number): FingerprintRecord[] {
        return this.listRecords()
            .filter(({ fingerprint, endpoints }) =>
                endpoints.length >= minimumCrashes || (this.entries.get(fingerprint)?.latestCrashAt ?? 0) >= since
            )
            .sort((left, right) => right.endpoints.length - left.endpoints.length);
    }

    private findUnexpired(fingerprint: string): LedgerEntry | undefined {
        const entry = this.entries.get(fingerprint);
        if (entry === undefined) {
            return undefined;
        }
        if (entry.until <= this.clock.getWallTime()) {
            this.entries.delete(fingerprint);
            return undefined;
        }
        return entry;
    }

    private addEntry(fingerprint: string): LedgerEntry {
        if (this.entries.size >= ledgerEntryLimit) {
            this.entries.delete(this.entries.keys().next().value as string);
        }
        const entry: LedgerEntry = {
            endpoints: new Set(),
            cleared: new Set(),
            until: 0,
            latestCrashAt: -Infinity,
            latestClearanceAt: -Infinity,
            hasOwnCrash: false,
        };
        this.entries.set(fingerprint, entry);
        return entry;
    }
}
