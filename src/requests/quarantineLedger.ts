import { Clock } from "../common/clock.js";

/** Endpoints that a request must have ended before it is quarantined. */
const deathsUntilQuarantine = 2;
/** Deaths, also those that the request was later cleared of, after which it is quarantined all the same. */
const totalDeathsUntilQuarantine = 4;
/** Fingerprints that a node remembers. */
const ledgerLimit = 5_000;

/** What is known of one request body. */
export interface FingerprintRecord {
    readonly fingerprint: string;
    readonly endpoints: readonly string[];
    /** Unix milliseconds until which the record counts. */
    readonly until: number;
}

interface LedgerEntry {
    readonly endpoints: Set<string>;
    /** Endpoints whose deaths the request was cleared of; another node's record does not bring them back. */
    readonly cleared: Set<string>;
    until: number;
}

/** Which request bodies ended which endpoints. Records merge by union, so their order does not matter. */
export class QuarantineLedger {
    private readonly entries = new Map<string, LedgerEntry>();

    private constructor(private readonly clock: Clock, private readonly term: number) {}

    /** The term is in milliseconds. */
    static create(clock: Clock, term: number): QuarantineLedger {
        return new QuarantineLedger(clock, term);
    }

    /** Whether no request is known to have ended an endpoint. */
    isEmpty(): boolean {
        return this.entries.size === 0;
    }

    /** Adds the death of an endpoint to a fingerprint. */
    recordDeath(fingerprint: string, endpoint: string): void {
        this.mergeRecord({ fingerprint, endpoints: [endpoint], until: this.clock.getWallTime() + this.term });
    }

    /** Takes over what another node knows; returns whether anything was new. */
    mergeRecord(record: FingerprintRecord): boolean {
        if (record.until <= this.clock.getWallTime()) {
            return false;
        }
        const entry = this.entries.get(record.fingerprint) ?? this.addEntry(record.fingerprint);
        const countBefore = entry.endpoints.size;
        record.endpoints.filter(endpoint => !entry.cleared.has(endpoint)).forEach(endpoint => entry.endpoints.add(endpoint));
        entry.until = Math.max(entry.until, Math.min(record.until, this.clock.getWallTime() + this.term));
        return entry.endpoints.size > countBefore;
    }

    /** Clears a request that ran on, past the point of the death, alone under suspicion. */
    removeSuspicion(fingerprint: string): void {
        const entry = this.entries.get(fingerprint);
        if (entry === undefined || this.isQuarantined(fingerprint)) {
            return;
        }
        entry.endpoints.forEach(endpoint => entry.cleared.add(endpoint));
        entry.endpoints.clear();
    }

    /** Clears a request of the deaths of endpoints: it was served, so they had another cause. */
    removeDeaths(fingerprint: string, endpoints: readonly string[]): void {
        const entry = this.entries.get(fingerprint) ?? this.addEntry(fingerprint);
        entry.until = Math.max(entry.until, this.clock.getWallTime() + this.term);
        endpoints.forEach(endpoint => {
            entry.endpoints.delete(endpoint);
            entry.cleared.add(endpoint);
        });
    }

    /** Returns the deaths that requests were cleared of, for nodes that still count them. */
    listCleared(): Omit<FingerprintRecord, "until">[] {
        return [...this.entries]
            .filter(([, entry]) => entry.cleared.size > 0 && entry.until > this.clock.getWallTime())
            .map(([fingerprint, entry]) => ({ fingerprint, endpoints: [...entry.cleared] }));
    }

    /** Returns the endpoints that a request is believed to have ended. */
    listDeaths(fingerprint: string): string[] {
        return [...this.findLive(fingerprint)?.endpoints ?? []];
    }

    /** Takes back the deaths of an endpoint that, as it turned out, was reclaimed. */
    removeEndpoint(endpoint: string): void {
        for (const entry of this.entries.values()) {
            entry.endpoints.delete(endpoint);
        }
    }

    /** Returns how many endpoints a request is believed to have ended. */
    countDeaths(fingerprint: string): number {
        return this.findLive(fingerprint)?.endpoints.size ?? 0;
    }

    /** Says whether a request needs to run alone under suspicion. */
    isSuspect(fingerprint: string): boolean {
        return this.countDeaths(fingerprint) > 0;
    }

    /** Says whether a request is to be refused. */
    isQuarantined(fingerprint: string): boolean {
        const entry = this.findLive(fingerprint);
        if (entry === undefined) {
            return false;
        }
        const total = entry.endpoints.size + entry.cleared.size;
        return entry.endpoints.size >= deathsUntilQuarantine || total >= totalDeathsUntilQuarantine;
    }

    /** Returns the records that count now, the newest last. */
    listRecords(): FingerprintRecord[] {
        const records: FingerprintRecord[] = [];
        for (const [fingerprint, entry] of this.entries) {
            if (entry.endpoints.size > 0 && entry.until > this.clock.getWallTime()) {
                records.push({ fingerprint, endpoints: [...entry.endpoints], until: entry.until });
            }
        }
        return records;
    }

    private findLive(fingerprint: string): LedgerEntry | undefined {
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
        if (this.entries.size >= ledgerLimit) {
            this.entries.delete(this.entries.keys().next().value as string);
        }
        const entry: LedgerEntry = { endpoints: new Set(), cleared: new Set(), until: 0 };
        this.entries.set(fingerprint, entry);
        return entry;
    }
}
