import { z } from "zod";
import { EventLog } from "../common/eventLog.js";
import { nameSchema } from "../common/json.js";
import { LogEvents } from "../common/logEvents.js";
import { ObjectChangeHandler } from "../provider/objectWatcher.js";
import { getEra, Revision } from "../provider/revision.js";
import { ObjectList, StoredObject } from "../provider/types.js";

/** Every evacuation that is in force, complete up to a revision of the store; the wire format between nodes. */
export const evacuationListSchema = z.object({
    revision: z.number().min(0),
    evacuations: z.array(z.object({ failureDomain: nameSchema, revision: z.number().min(0) })),
});
export type EvacuationList = z.infer<typeof evacuationListSchema>;

/** An evacuation that was ordered or ended. */
export interface EvacuationChange {
    readonly failureDomain: string;
    readonly isEvacuated: boolean;
}

/** Called after a change, which is in force by then. */
export type EvacuationListener = (change: EvacuationChange) => void;

const storeSource = "store";

/**
 * Follows the operator's orders to evacuate failure domains: from the order until its removal nothing new is sent to the endpoints
 * there. Nodes that do not read the store receive the orders from peers. What is complete up to a newer revision wins, so that neither
 * an older list of a peer nor a change that a watch delivers late brings back an order that has ended.
 */
export class Evacuations implements ObjectChangeHandler {
    /** Revision of the order for each evacuated failure domain. */
    private readonly revisionsByDomain = new Map<string, Revision>();
    private readonly listeners: EvacuationListener[] = [];
    private revision: Revision = 0;

    private constructor(private readonly prefix: string, private readonly log: EventLog) {}

    /** `prefix` is that of the objects that hold orders; the rest of an object's name is the failure domain. */
    static create(prefix: string, log: EventLog): Evacuations {
        return new Evacuations(prefix, log);
    }

    addListener(listener: EvacuationListener): void {
        this.listeners.push(listener);
    }

    /** Returns whether nothing new may be sent to the endpoints of a failure domain. */
    isEvacuated(failureDomain: string): boolean {
        return this.revisionsByDomain.has(failureDomain);
    }

    count(): number {
        return this.revisionsByDomain.size;
    }

    /** Returns the revision of the store up to which this node knows all orders. */
    getRevision(): Revision {
        return this.revision;
    }

    handleListing(list: ObjectList): void {
        const evacuations = list.objects.map(object => ({ failureDomain: this.readFailureDomain(object.name), revision: object.revision }));
        this.applyList({ revision: list.revision, evacuations }, storeSource);
    }

    /** Puts an order in force. Only its name counts: whatever the operator wrote there, the order is to be followed. */
    handleChange(object: StoredObject): void {
        if (object.revision <= this.revision) {
            return;
        }
        this.revision = object.revision;
        this.startEvacuation(this.readFailureDomain(object.name), object.revision, storeSource);
    }

    handleRemoval(name: string, revision: Revision): void {
        if (revision <= this.revision) {
            return;
        }
        this.revision = revision;
        this.endEvacuation(this.readFailureDomain(name), storeSource);
    }

    /** Returns what this node knows, to send to nodes that know less. */
    createList(): EvacuationList {
        const evacuations = [...this.revisionsByDomain].map(([failureDomain, revision]) => ({ failureDomain, revision }));
        return { revision: this.revision, evacuations };
    }

    /**
     * Applies a complete list of the store or of a peer if it is newer than what this node knows. An order that is missing has ended,
     * unless it is from an earlier era of the store: a copy from which the store is restored may lack it, and only its removal ends it.
     */
    applyList(list: EvacuationList, source: string): void {
        if (list.revision <= this.revision) {
            return;
        }
        this.revision = list.revision;
        const listed = new Set(list.evacuations.map(({ failureDomain }) => failureDomain));
        for (const [failureDomain, revision] of this.revisionsByDomain) {
            if (!listed.has(failureDomain) && getEra(revision) === getEra(list.revision)) {
                this.endEvacuation(failureDomain, source);
            }
        }
        list.evacuations.forEach(({ failureDomain, revision }) => this.startEvacuation(failureDomain, revision, source));
    }

    private readFailureDomain(name: string): string {
        return name.slice(this.prefix.length);
    }

    private startEvacuation(failureDomain: string, revision: Revision, source: string): void {
        const wasEvacuated = this.isEvacuated(failureDomain);
        this.revisionsByDomain.set(failureDomain, revision);
        if (!wasEvacuated) {
            this.publishChange({ failureDomain, isEvacuated: true }, source);
        }
    }

    private endEvacuation(failureDomain: string, source: string): void {
        if (this.revisionsByDomain.delete(failureDomain)) {
            this.publishChange({ failureDomain, isEvacuated: false }, source);
        }
    }

    private publishChange(change: EvacuationChange, source: string): void {
        this.log.log(LogEvents.EvacuationChanged, { ...change, source, revision: this.revision });
        this.listeners.forEach(listener => listener(change));
    }
}
