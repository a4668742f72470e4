import { z } from "zod";

/** An endpoint as it registered itself. */
export const endpointEntrySchema = z.object({
    id: z.string().min(1),
    /** Start time of its process in Unix milliseconds: it tells two lives under one id apart. */
    incarnation: z.number(),
    service: z.string().min(1),
    address: z.object({ host: z.string().min(1), port: z.number().int().min(1) }),
    failureDomain: z.string().min(1),
    /** Version of its software. */
    version: z.string(),
    /** Requests that it runs at the same time. */
    slots: z.number().int().positive(),
    /** It leaves: it gets no new requests. */
    isDraining: z.boolean(),
    /** Whether its host may be reclaimed. */
    isReclaimable: z.boolean(),
    /** How much longer it is slow after its start, in milliseconds. */
    warmUpLeft: z.number().min(0),
});
export type EndpointEntry = z.infer<typeof endpointEntrySchema>;

/** Load that an endpoint tells of itself with an answer. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** One part of a prompt; requests share their leading parts. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a generation asks of an engine. */
export interface PromptShape {
    readonly parts: readonly PromptPart[];
    readonly inputTokens: number;
    readonly maxOutputTokens: number;
}
