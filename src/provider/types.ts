import { z } from "zod";
import { Failure } from "../common/failure.js";
import { listIssues, nameSchema } from "../common/json.js";
import { Revision } from "./revision.js";

/** An object of the platform's store, with the revision of its last write. */
export interface StoredObject {
    readonly name: string;
    readonly revision: Revision;
    readonly value: unknown;
    /** Status that this system wrote for the object; undefined in a store that has no status beside the value. */
    readonly status?: unknown;
}

/** Objects under a prefix, and the revision of the store at which they were read. */
export interface ObjectList {
    readonly revision: Revision;
    readonly objects: readonly StoredObject[];
}

/** Effect of a write that did not succeed. */
export enum WriteOutcome {
    /** The precondition (absence or revision) failed; nothing was written. */
    Conflict = "conflict",
    /** The platform refused the write or could not be reached; nothing was written. */
    NotWritten = "not-written",
    /** No usable response was received; the write may have taken effect. */
    Unknown = "unknown",
}

/** A failed write: its effect on the store and the failure to report. */
export interface WriteFailure {
    readonly outcome: WriteOutcome;
    readonly failure: Failure;
}

/** Kinds of events that a watch yields. */
export enum WatchEventKind {
    Changed = "changed",
    Removed = "removed",
    /** Shows that the watch is connected, and up to which revision it has reported all changes. */
    Heartbeat = "heartbeat",
    /** The store no longer has the history from the requested revision on, or was restored from a copy; the objects must be listed again. */
    Expired = "expired",
}

/** One event of a watch, with the revision of the store that it reports. */
export interface WatchEvent {
    readonly kind: WatchEventKind;
    readonly revision: Revision;
    readonly object?: StoredObject;
}

/** How a watch begins. */
export interface WatchOptions {
    /** Whether its first response comes at once, also without a change: it proves that the caller knows the latest state. */
    readonly isConfirmedAtOnce: boolean;
}

/** Purpose of a host: to run a gateway node (entry) or an endpoint. */
export enum HostRole {
    Entry = "entry",
    Endpoint = "endpoint",
}

/** Terms on which a host was bought: whether the cloud may reclaim it. */
export enum PurchaseKind {
    Reclaimable = "reclaimable",
    OnDemand = "on-demand",
}

/** State of a host in the host list. */
export enum HostState {
    Live = "live",
    Leaving = "leaving",
}

/** Wire format of a host in the host list. */
export const hostSchema = z.object({
    name: nameSchema,
    role: z.enum(HostRole),
    failure_domain: nameSchema,
    region: z.string().default("home"),
    address: z.string().min(1),
    group: z.string().default(""),
    purchase: z.enum(PurchaseKind).default(PurchaseKind.OnDemand),
    state: z.enum(HostState),
    /** Time at which a leaving host is removed, in Unix milliseconds. */
    leaves_at: z.number().optional(),
    price_per_hour: z.number().min(0).default(0),
});

/** An entry of the host list. */
export type ListedHost = z.infer<typeof hostSchema>;

/** Parses the entries of a host list. A malformed one is reported and left out; the others hold. */
export function parseHosts(items: readonly unknown[], reportFault: (fault: string) => void): ListedHost[] {
    return items.flatMap(item => {
        const parsed = hostSchema.safeParse(item);
        if (!parsed.success) {
            reportFault(listIssues(parsed.error).join("; "));
            return [];
        }
        return [parsed.data];
    });
}

/** Wire format of an offer: a machine class that the cloud sells in a failure domain, with its current price. */
export const offerSchema = z.object({
    failure_domain: z.string(),
    group: z.string(),
    purchase: z.enum(PurchaseKind),
    price_per_hour: z.number().min(0),
});
export type HostOffer = z.infer<typeof offerSchema>;

/** Wire format of a notice that the cloud will reclaim a host; `leaves_at` is in Unix milliseconds. */
export const noticeSchema = z.object({
    host: z.string(),
    leaves_at: z.number(),
});
export type ReclaimNotice = z.infer<typeof noticeSchema>;
