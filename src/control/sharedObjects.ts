import { StoredObject } from "../provider/types.js";

/** Result of applying an object; the refusals are values of a metric's label. */
export enum SharedObjectChange {
    Applied = "applied",
    AlreadyInForce = "already-in-force",
    RefusedLowerRevision = "lower-revision",
    RefusedUnreadable = "unreadable",
}

/** Applies the objects whose names begin with a prefix. */
export interface SharedObjectConsumer {
    readonly prefix: string;
    /** Applies an object; returns false when its value is invalid. */
    applyObject(object: StoredObject): boolean;
}

/** The node's copies of the shared objects. The revision of each object never decreases, so late or stale reads do no harm. */
export class SharedObjects {
    private readonly objects = new Map<string, StoredObject>();
    private readonly consumers: SharedObjectConsumer[] = [];
    private checksum = 0n;
    private changedAt = -Infinity;

    private constructor(private readonly getTime: () => number) {}

    /** The time is monotonic, in milliseconds. */
    static create(getTime: () => number): SharedObjects {
        return new SharedObjects(getTime);
    }

    addConsumer(consumer: SharedObjectConsumer): void {
        this.consumers.push(consumer);
    }

    /** Applies an object unless the node has an equal or higher revision, or the object's value is invalid. */
    applyObject(object: StoredObject): SharedObjectChange {
        const current = this.getRevision(object.name);
        if (object.revision < current) {
            return SharedObjectChange.RefusedLowerRevision;
        }
        if (object.revision === current) {
            return SharedObjectChange.AlreadyInForce;
        }
        const consumer = this.consumers.find(candidate => object.name.startsWith(candidate.prefix));
        if (consumer === undefined || !consumer.applyObject(object)) {
            return SharedObjectChange.RefusedUnreadable;
        }
        this.objects.set(object.name, object);
        this.checksum += BigInt(object.revision - current);
        this.changedAt = this.getTime();
        return SharedObjectChange.Applied;
    }

    listObjects(): StoredObject[] {
        return [...this.objects.values()];
    }

    /** Returns the applied revision of an object, or 0 when there is none. */
    getRevision(name: string): number {
        return this.objects.get(name)?.revision ?? 0;
    }

    /** Returns the sum of all applied revisions. Nodes may differ and still have equal sums; the revisions in digests show that. */
    getChecksum(): bigint {
        return this.checksum;
    }

    /** Returns the time of the last change in monotonic milliseconds, or -Infinity. */
    getChangeTime(): number {
        return this.changedAt;
    }

    hasObjects(): boolean {
        return this.objects.size > 0;
    }
}
