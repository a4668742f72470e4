/** Counts of the attempts at one version on one route. Counts never decrease. */
export interface EvidenceCounts {
    trials: number;
    failures: number;
    /** Attempts whose latencies could be compared with the old version's. */
    timed: number;
    slowFirstTokens: number;
    slowGaps: number;
    incomplete: number;
}

/** Key of an evidence entry: version and route, and the node and its incarnation that counted. */
export interface EvidenceSource {
    readonly version: string;
    readonly route: string;
    readonly node: string;
    readonly incarnation: number;
}

/** Counts of one source, as exchanged between nodes. */
export interface EvidenceEntry extends EvidenceSource {
    readonly counts: EvidenceCounts;
}

export function createEmptyCounts(): EvidenceCounts {
    return { trials: 0, failures: 0, timed: 0, slowFirstTokens: 0, slowGaps: 0, incomplete: 0 };
}

/** Adds counts to a target in place. */
export function addCounts(target: EvidenceCounts, added: EvidenceCounts): void {
    target.trials += added.trials;
    target.failures += added.failures;
    target.timed += added.timed;
    target.slowFirstTokens += added.slowFirstTokens;
    target.slowGaps += added.slowGaps;
    target.incomplete += added.incomplete;
}

/** Evidence of all nodes about one move. Entries merge by the higher count, so digests may arrive repeatedly and in any order. */
export class MoveEvidence {
    private readonly entries = new Map<string, EvidenceEntry>();

    private constructor() {}

    static create(): MoveEvidence {
        return new MoveEvidence();
    }

    /** Returns the counts of a source for in-place increments; only the source's own node may increment them. */
    getOrCreateCounts(source: EvidenceSource): EvidenceCounts {
        const key = createKey(source);
        const existing = this.entries.get(key);
        if (existing !== undefined) {
            return existing.counts;
        }
        const counts = createEmptyCounts();
        this.entries.set(key, { ...source, counts });
        return counts;
    }

    /** Merges an entry of another node; returns the increase over the counts present before. */
    mergeEntry(entry: EvidenceEntry): EvidenceCounts {
        const known = this.getOrCreateCounts(entry);
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

    /** Returns the counts of a version summed over all nodes, on one route or on all. */
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
