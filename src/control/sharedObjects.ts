import { StoredObject } from "../provider/types.js";

/** What happened to an object that was offered to a node. */
export enum SharedObjectChange {
    Applied = "applied",
    AlreadyInForce = "already-in-force",
    RefusedLowerRevision = "lower-revision",
    RefusedUnreadable = "unreadable",
}

/** Takes over the objects under a prefix. */
export interface SharedObjectConsumer {
    readonly prefix: string;
    /** Puts an object in force; returns false when it cannot be read. */
    applyObject(object: StoredObject): boolean;
}

/** A node's copies of the shared objects. The revision of each only ever rises. */
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

    /** Puts an object in force unless a higher or equal revision of it is, or it cannot be read. */
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

    /** Returns the revision in force of an object, or 0. */
    getRevision(name: string): number {
        return this.objects.get(name)?.revision ?? 0;
    }

    /** Returns the sum of all revisions in force. Equal sums of nodes that differ are settled by the full lists. */
    getChecksum(): bigint {
        return this.checksum;
    }

    /** Returns the monotonic milliseconds of the last change. */
    getChangeTime(): number {
        return this.changedAt;
    }

    hasObjects(): boolean {
        return this.objects.size > 0;
    }
}
