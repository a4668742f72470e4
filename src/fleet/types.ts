import { z } from "zod";
import { nameSchema } from "../common/json.js";
import { maximumPort } from "../config/sectionReader.js";

/** More requests than any endpoint runs at once. A larger number would draw all calls of its service to one entry. */
const maximumSlots = 100_000;

/** Visible ASCII: an id is sent in a header of each request to the endpoint. */
const idPattern = /^[!-~]{1,200}$/;

/** Registration of an endpoint. */
export const endpointEntrySchema = z.object({
    id: z.string().regex(idPattern),
    /** Start time of its process, in Unix milliseconds: it distinguishes two incarnations under one id. */
    incarnation: z.number().int().min(0),
    service: nameSchema,
    address: z.object({ host: z.string().min(1), port: z.number().int().min(1).max(maximumPort) }),
    failureDomain: nameSchema,
    /** Version of its software. */
    version: nameSchema,
    /** Number of requests that it runs concurrently. */
    slots: z.number().int().positive().max(maximumSlots),
    /** Whether it is draining and gets no new requests. */
    isDraining: z.boolean(),
    /** Whether the provider may reclaim its host. */
    isReclaimable: z.boolean(),
    /** Remaining warm-up time in which it is slow, in milliseconds. */
    warmUpLeft: z.number().min(0),
});
export type EndpointEntry = z.infer<typeof endpointEntrySchema>;

/** Load that an endpoint reports with a response. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on its host at this moment, as a multiple of the usual time; undefined if it does not state that. */
    readonly slowness?: number | undefined;
}

/** One part of a prompt; requests share their leading parts. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Prompt parts, input tokens and output limit of a generation request, for the choice of an engine. */
export interface PromptShape {
    readonly parts: readonly PromptPart[];
    readonly inputTokens: number;
    readonly maxOutputTokens: number;
}
