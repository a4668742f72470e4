import { z } from "zod";
import { ModelRequest } from "./types.js";

/** Schema of a generation request as stored with the platform and sent between nodes. */
export const storedRequestSchema = z.object({
    id: z.string(),
    team: z.string(),
    service: z.string(),
    is_chat: z.boolean(),
    prompt: z.string(),
    max_tokens: z.number().int().positive(),
    deadline: z.number(),
    arrived_at: z.number(),
    fingerprint: z.string(),
    is_async: z.boolean(),
    sampling: z.record(z.string(), z.unknown()).default({}),
});
export type StoredRequest = z.infer<typeof storedRequestSchema>;

/** Converts a request to its stored form. */
export function encodeRequest(request: ModelRequest): StoredRequest {
    return {
        id: request.id,
        team: request.team,
        service: request.service,
        is_chat: request.isChat,
        prompt: request.prompt,
        max_tokens: request.maxTokens,
        deadline: request.deadline,
        arrived_at: request.arrivedAt,
        fingerprint: request.fingerprint,
        is_async: request.isAsync,
        sampling: { ...request.sampling },
    };
}

/** Converts a stored request to a model request. */
export function decodeRequest(stored: StoredRequest): ModelRequest {
    return {
        id: stored.id,
        team: stored.team,
        service: stored.service,
        isChat: stored.is_chat,
        prompt: stored.prompt,
        maxTokens: stored.max_tokens,
        deadline: stored.deadline,
        arrivedAt: stored.arrived_at,
        fingerprint: stored.fingerprint,
        isAsync: stored.is_async,
        sampling: stored.sampling,
    };
}
