import { isUtf8 } from "node:buffer";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";

const defaultMaxTokens = 256;

const samplingShape = {
    temperature: z.number().min(0).max(2).nullish(),
    top_p: z.number().min(0).max(1).nullish(),
    seed: z.number().int().nullish(),
    stop: z.union([z.string(), z.array(z.string()).max(4)]).nullish(),
    presence_penalty: z.number().min(-2).max(2).nullish(),
    frequency_penalty: z.number().min(-2).max(2).nullish(),
};
const samplingKeys = Object.keys(samplingShape);

const commonShape = {
    model: z.string().min(1),
    stream: z.boolean().nullish(),
    n: z.literal(1).nullish(),
    stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
    ...samplingShape,
};

const completionSchema = z.looseObject({
    ...commonShape,
    prompt: z.union([z.string(), z.array(z.string()).length(1)]),
    max_tokens: z.number().int().positive().nullish(),
});

const contentSchema = z.union([z.string(), z.array(z.looseObject({ type: z.literal("text"), text: z.string() }))]);
const chatSchema = z.looseObject({
    ...commonShape,
    messages: z.array(z.looseObject({ role: z.string().min(1), content: contentSchema })).min(1),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
});

/** Validated body of a completion or chat completion request. */
export interface CompletionBody {
    readonly service: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly isStream: boolean;
    readonly includeUsage: boolean;
    readonly sampling: Readonly<Record<string, unknown>>;
}

/** Parses the body of a completion request. Fails when it is not valid UTF-8 or JSON, or does not match the schema. */
export function parseCompletionBody(body: Buffer): Result<CompletionBody, Failure> {
    return parseBody(body, completionSchema, value => ({
        prompt: typeof value.prompt === "string" ? value.prompt : value.prompt[0] as string,
        maxTokens: value.max_tokens ?? defaultMaxTokens,
    }));
}

/** Parses the body of a chat completion request and joins its messages to one prompt. Fails like `parseCompletionBody`. */
export function parseChatBody(body: Buffer): Result<CompletionBody, Failure> {
    return parseBody(body, chatSchema, value => ({
        prompt: formatMessages(value.messages),
        maxTokens: value.max_completion_tokens ?? value.max_tokens ?? defaultMaxTokens,
    }));
}

function formatMessages(messages: readonly { role: string; content: string | readonly { text: string; }[]; }[]): string {
    const lines = messages.map(message => {
        const content = typeof message.content === "string" ? message.content : message.content.map(part => part.text).join("");
        return `${message.role}: ${content}\n`;
    });
    return `${lines.join("")}assistant:`;
}

type CommonValue = z.infer<z.ZodObject<typeof commonShape>>;

function parseBody<T extends CommonValue>(
    body: Buffer,
    schema: z.ZodType<T>,
    readContent: (value: T) => { prompt: string; maxTokens: number; },
): Result<CompletionBody, Failure> {
    const json = parseJsonBody(body);
    if (json.err) {
        return json;
    }
    const parsed = schema.safeParse(json.val);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        const location = issue === undefined || issue.path.length === 0 ? "body" : issue.path.join(".");
        return Err(
            Failure.create(
                Verdict.NotRun,
                Diagnostics.Body_does_not_match_the_interface_0,
                `${location}: ${issue?.message ?? "not valid"}`,
            ),
        );
    }
    const value = parsed.data;
    return Ok({
        service: value.model,
        ...readContent(value),
        isStream: value.stream ?? false,
        includeUsage: value.stream_options?.include_usage ?? false,
        sampling: readSampling(value),
    });
}

function parseJsonBody(body: Buffer): Result<unknown, Failure> {
    if (!isUtf8(body)) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Body_is_not_valid_UTF_8));
    }
    try {
        return Ok(JSON.parse(body.toString("utf8")) as unknown);
    }
    catch (error) {
        return Err(Failure.create(Verdict.NotRun, Diagnostics.Body_is_not_valid_JSON_0, describeError(error)));
    }
}

function readSampling(value: CommonValue): Record<string, unknown> {
    const present = Object.entries(value).filter(([key, entry]) => samplingKeys.includes(key) && entry !== undefined);
    return Object.fromEntries(present);
}
