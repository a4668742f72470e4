import { z } from "zod";
import { Failure } from "../common/failure.js";

/** An object of the platform with the revision that its last write gave it. */
export interface StoredObject {
    readonly name: string;
    readonly revision: number;
    readonly value: unknown;
    /** What the product wrote beside the value; only a store that keeps both has it. */
    readonly status?: unknown;
}

/** Objects under a prefix, and the store's revision when they were read. */
export interface ObjectList {
    readonly revision: number;
    readonly objects: readonly StoredObject[];
}

/** What is known of a write that did not succeed. */
export enum WriteOutcome {
    /** The condition did not hold; nothing was written. */
    Conflict = "conflict",
    /** The platform refused or was never reached; nothing was written. */
    NotWritten = "not-written",
    /** The answer was lost; the write may have taken effect. */
    Unknown = "unknown",
}

/** A write that did not succeed. */
export interface WriteFailure {
    readonly outcome: WriteOutcome;
    readonly failure: Failure;
}

/** What a watch reports. */
export enum WatchEventKind {
    Changed = "changed",
    Removed = "removed",
    /** Shows that the watch is alive and how far it has come. */
    Heartbeat = "heartbeat",
    /** The watch cannot go on from the revision asked for; list again. */
    Expired = "expired",
}

/** One event of a watch. */
export interface WatchEvent {
    readonly kind: WatchEventKind;
    readonly revision: number;
    readonly object?: StoredObject;
}

/** What a host is for. */
export enum HostRole {
    Entry = "entry",
    Endpoint = "endpoint",
}

/** How a host was bought. */
export enum PurchaseKind {
    Reclaimable = "reclaimable",
    OnDemand = "on-demand",
}

/** Whether a host stays. */
export enum HostState {
    Live = "live",
    Leaving = "leaving",
}

/** The wire shape of a host in the host list. */
export const hostSchema = z.object({
    name: z.string().min(1),
    role: z.enum(HostRole),
    failure_domain: z.string().min(1),
    region: z.string().default("home"),
    address: z.string().min(1),
    group: z.string().default(""),
    purchase: z.enum(PurchaseKind).default(PurchaseKind.OnDemand),
    state: z.enum(HostState),
    /** Unix milliseconds at which a leaving host is taken away. */
    leaves_at: z.number().optional(),
    price_per_hour: z.number().min(0).default(0),
});

/** A host as the host list shows it. */
export type ListedHost = z.infer<typeof hostSchema>;

/** A machine class that the cloud offers in a failure domain, with its price now. */
export const offerSchema = z.object({
    failure_domain: z.string(),
    group: z.string(),
    purchase: z.enum(PurchaseKind),
    price_per_hour: z.number().min(0),
});
export type HostOffer = z.infer<typeof offerSchema>;

/** A reclaim that the cloud has announced. */
export const noticeSchema = z.object({
    host: z.string(),
    leaves_at: z.number(),
});
export type ReclaimNotice = z.infer<typeof noticeSchema>;
