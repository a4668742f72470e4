/** What nodes counted of one version on one route. Counts only rise. */
export interface EvidenceCounts {
    trials: number;
    failures: number;
    /** Attempts whose times could be compared with the old version's. */
    timed: number;
    slowFirstTokens: number;
    slowGaps: number;
    incomplete: number;
}

/** Where counts come from. */
export interface EvidenceSource {
    readonly version: string;
    readonly route: string;
    readonly node: string;
    readonly incarnation: number;
}

/** One entry as it travels between nodes. */
export interface EvidenceEntry extends EvidenceSource {
    readonly counts: EvidenceCounts;
}

/** Creates counts of nothing. */
export function createEmptyCounts(): EvidenceCounts {
    return { trials: 0, failures: 0, timed: 0, slowFirstTokens: 0, slowGaps: 0, incomplete: 0 };
}

/** Adds counts to others. */
export function addCounts(target: EvidenceCounts, added: EvidenceCounts): void {
    target.trials += added.trials;
    target.failures += added.failures;
    target.timed += added.timed;
    target.slowFirstTokens += added.slowFirstTokens;
    target.slowGaps += added.slowGaps;
    target.incomplete += added.incomplete;
}

/** The evidence of all nodes on one move. Entries merge by taking the higher counts, so their order does not matter. */
export class MoveEvidence {
    private readonly entries = new Map<string, EvidenceEntry>();

    private constructor() {}

    static create(): MoveEvidence {
        return new MoveEvidence();
    }

    /** Returns the counts of a source, to be raised by the node that owns them. */
    openCounts(source: EvidenceSource): EvidenceCounts {
        const key = createKey(source);
        const existing = this.entries.get(key);
        if (existing !== undefined) {
            return existing.counts;
        }
        const counts = createEmptyCounts();
        this.entries.set(key, { ...source, counts });
        return counts;
    }

    /** Takes over an entry of another node; returns what it adds to what was known. */
    mergeEntry(entry: EvidenceEntry): EvidenceCounts {
        const known = this.openCounts(entry);
        const added: EvidenceCounts = {
            trials: Math.max(0, entry.counts.trials - known.trials),
            failures: Math.max(0, entry.counts.failures - known.failures),
            timed: Math.max(0, entry.counts.timed - known.timed),
            slowFirstTokens: Math.max(0, entry.counts.slowFirstTokens - known.slowFirstTokens),
            slowGaps: Math.max(0, entry.counts.slowGaps - known.slowGaps),
            incomplete: Math.max(0, entry.counts.incomplete - known.incomplete),
        };
        addCounts(known, added);
        return added;
    }

    /** Returns the sum over all nodes of one version, on one route or on all. */
    computeCounts(version: string, route?: string): EvidenceCounts {
        const sum = createEmptyCounts();
        for (const entry of this.entries.values()) {
            if (entry.version === version && (route === undefined || entry.route === route)) {
                addCounts(sum, entry.counts);
            }
        }
        return sum;
    }

    listEntries(): EvidenceEntry[] {
        return [...this.entries.values()];
    }
}

function createKey(source: EvidenceSource): string {
    return `${source.version}\n${source.route}\n${source.node}\n${source.incarnation}`;
}
