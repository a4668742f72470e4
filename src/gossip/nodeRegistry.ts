import { z } from "zod";
import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { nameSchema } from "../common/json.js";
import { LogEvents } from "../common/logEvents.js";
import { millisecondsPerMinute } from "../common/units.js";
import { parseAddress } from "../config/sectionReader.js";
import { ObjectStore } from "../provider/objectStore.js";
import { ObjectChangeHandler } from "../provider/objectWatcher.js";
import { ObjectList, StoredObject, WriteOutcome } from "../provider/types.js";
import { PeerIdentity, PeerTable } from "./peerTable.js";

/** Prefix of the store objects in which nodes register, so that they discover one another. */
export const nodePrefix = "nodes/";
/** Delay after a failed registration, in milliseconds. */
const retryDelayMilliseconds = 1_000;

/** Largest lead of another node's clock that is believed, in milliseconds: an incarnation is the time at which its process started. */
const maximumClockLeadMilliseconds = 24 * 60 * millisecondsPerMinute;

const nodeSchema = z.object({
    name: nameSchema,
    failureDomain: nameSchema,
    address: z.string().refine(text => (parseAddress(text)?.port ?? 0) > 0, "expected an IP number and a port"),
    incarnation: z.number().int().min(0),
    processor: z.number().positive().optional(),
});

/** Registers this node in the store and discovers the other nodes from their entries there. */
export class NodeRegistry implements ObjectChangeHandler {
    private readonly stopping = new AbortController();
    /** Whether this node's entry was stored; false while it is being written. */
    private isRegistered = false;
    /** Whether it was stored before: a store that was restored from a copy may lack it again. */
    private wasRegistered = false;

    private constructor(
        private readonly store: ObjectStore,
        private readonly table: PeerTable,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly handleFirstProcess: () => void,
    ) {}

    /** `handleFirstProcess` is called if the store had no entry of an earlier process of this node. */
    static create(
        store: ObjectStore,
        table: PeerTable,
        clock: Clock,
        log: EventLog,
        handleFirstProcess: () => void = () => {},
    ): NodeRegistry {
        return new NodeRegistry(store, table, clock, log, handleFirstProcess);
    }

    handleListing(list: ObjectList): void {
        const listed = new Set(list.objects.map(object => object.name.slice(nodePrefix.length)));
        if (this.isRegistered && !this.isListed(list)) {
            // A store that was restored from a copy has lost entries.
            void this.registerNode();
        }
        list.objects.forEach(object => this.handleChange(object));
        this.table.recordFleetList();
        for (const peer of this.table.listPeers()) {
            if (!listed.has(peer.name) && !this.table.isReachable(peer)) {
                this.table.removePeer(peer.name);
            }
        }
    }

    handleChange(object: StoredObject): void {
        const parsed = nodeSchema.safeParse(object.value);
        if (!parsed.success) {
            this.log.log(LogEvents.EndpointEntryFaulty, { entry: object.name, revision: object.revision, fault: parsed.error.message });
            return;
        }
        if (parsed.data.incarnation > this.clock.getWallTime() + maximumClockLeadMilliseconds) {
            const fault = `incarnation ${parsed.data.incarnation} is a time in the future`;
            this.log.log(LogEvents.EndpointEntryFaulty, { entry: object.name, revision: object.revision, fault });
            return;
        }
        this.table.addPeer(parsed.data);
    }

    handleRemoval(name: string): void {
        const peer = this.table.findPeer(name.slice(nodePrefix.length));
        if (peer !== undefined && !this.table.isReachable(peer)) {
            this.table.removePeer(peer.name);
        }
    }

    /** Writes this node's entry to the store, with retries until it is stored or `stop` is called. */
    async registerNode(): Promise<void> {
        const { identity } = this.table;
        const name = nodePrefix + identity.name;
        this.isRegistered = false;
        while (!this.stopping.signal.aborted) {
            if (await this.writeEntry(name, identity)) {
                this.isRegistered = true;
                this.wasRegistered = true;
                return;
            }
            await this.clock.sleep(retryDelayMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns whether a list has the entry of this node's current incarnation. */
    private isListed(list: ObjectList): boolean {
        const { name, incarnation } = this.table.identity;
        return list.objects.some(object => {
            const parsed = nodeSchema.safeParse(object.value);
            return parsed.success && parsed.data.name === name && parsed.data.incarnation === incarnation;
        });
    }

    private async writeEntry(name: string, identity: PeerIdentity): Promise<boolean> {
        const created = await this.store.createObject(name, identity);
        if (created.ok) {
            if (!this.wasRegistered) {
                this.handleFirstProcess();
            }
            return true;
        }
        if (created.val.outcome !== WriteOutcome.Conflict) {
            return false;
        }
        const found = await this.store.getObject(name);
        if (found.err || found.val === undefined) {
            return false;
        }
        const replaced = await this.store.replaceObject(name, identity, found.val.revision);
        return replaced.ok;
    }
}
