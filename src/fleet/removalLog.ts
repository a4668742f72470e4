import { Revision } from "../provider/revision.js";

/** Removals that are kept: more than a large fleet replaces between two exchanges of digests. */
const maximumRemovals = 1_000;

interface Removal {
    readonly id: string;
    readonly revision: Revision;
}

/** The latest removals of endpoints in the order of their revisions, to send a node those that it has not received. */
export class RemovalLog {
    private removals: Removal[] = [];
    /** Every later removal is in the log; Infinity before the first complete list. */
    private completeSince: Revision = Infinity;
    private latest: Revision = 0;

    private constructor() {}

    static create(): RemovalLog {
        return new RemovalLog();
    }

    /** Starts the log anew at a revision of which this node has a complete list: earlier removals may never have reached it. */
    startAt(revision: Revision): void {
        this.removals = [];
        this.completeSince = revision;
        this.recordRevision(revision);
    }

    /** Starts the log anew above the latest revision, so that nodes that have it get a complete list. */
    startAfterLatest(): void {
        this.removals = [];
        this.completeSince = this.latest + 1;
    }

    /** Records that a change with this revision was applied. */
    recordRevision(revision: Revision): void {
        this.latest = Math.max(this.latest, revision);
    }

    /** Records a removal. One that is applied after later changes was missed by nodes that have these changes, so the log starts anew. */
    recordRemoval(id: string, revision: Revision | undefined): void {
        if (revision === undefined || revision < this.latest) {
            this.startAfterLatest();
            return;
        }
        this.recordRevision(revision);
        this.removals.push({ id, revision });
        const oldest = this.removals.length > maximumRemovals ? this.removals.shift() : undefined;
        if (oldest !== undefined) {
            this.completeSince = Math.max(this.completeSince, oldest.revision);
        }
    }

    /** Returns the ids removed after a revision; undefined if the log does not go back that far. */
    listRemovalsSince(revision: Revision): string[] | undefined {
        if (revision < this.completeSince) {
            return undefined;
        }
        return this.removals.filter(removal => removal.revision > revision).map(removal => removal.id);
    }
}
