import { createParser } from "eventsource-parser";
import got, { Got } from "got";
import { Agent, ClientRequest, IncomingMessage } from "node:http";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ConnectionVerdict } from "./connectionVerdict.js";
import { EndpointRequest, readAnswerChunks, SilenceError } from "./endpointRequest.js";
import { CacheEvents, EngineModels, EngineOrder, ModelEndpointClient, TokenSink } from "./modelEndpoint.js";
import { FinishReason, GenerationAttempt, GenerationEnd, LoadReport, loadReportSchema } from "./types.js";

const endOfStream = "[DONE]";
/** Load is asked for every second: what the client would add to each request by itself is left out. */
const smallHeaders = { decompress: false, headers: { "user-agent": undefined } };
const statusOk = 200;
const idleSocketMilliseconds = 3_000;
const maximumEventBytes = 65_536;
const cancelTimeoutMilliseconds = 1_000;
/** The header by which an endpoint says that it refused a request before running it. */
export const notRunHeader = "x-request-not-run";
/** The header by which an endpoint says that it is leaving. */
export const leavingHeader = "x-endpoint-leaving";

/** One event of the stream, in the OpenAI completion shape with the engine's extensions. */
interface CompletionChunk {
    readonly id?: unknown;
    readonly choices?: readonly { readonly text?: unknown; readonly finish_reason?: unknown; }[];
    readonly usage?: unknown;
    readonly error?: unknown;
}

const usageSchema = z.object({
    prompt_tokens: z.number().int().min(0).default(0),
    prompt_tokens_details: z.object({ cached_tokens: z.number().int().min(0).default(0) }).optional(),
    recomputed_tokens: z.number().int().min(0).default(0),
});
const exportSchema = z.object({ handle: z.string() });
const cacheEventsSchema = z.object({ sequence: z.number().int(), stored: z.array(z.string()), evicted: z.array(z.string()) });
const modelsSchema = z.object({ fencing: z.number().int(), loaded: z.array(z.string()), loading: z.array(z.string()) });

/** Speaks the engine shape of docs/INTERFACES.md: OpenAI completions over SSE, with a few extensions. */
export class HttpModelEndpointClient implements ModelEndpointClient {
    private constructor(private readonly client: Got, private readonly agent: Agent) {}

    static create(): HttpModelEndpointClient {
        const agent = new Agent({ keepAlive: true, timeout: idleSocketMilliseconds, maxFreeSockets: 8 });
        return new HttpModelEndpointClient(
            got.extend({ ...smallHeaders, retry: { limit: 0 }, throwHttpErrors: false, agent: { http: agent } }),
            agent,
        );
    }

    async runGeneration(
        address: NetworkAddress,
        attempt: GenerationAttempt,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<Result<GenerationEnd, Failure>> {
        const body = JSON.stringify(createCompletionBody(attempt));
        const request = EndpointRequest.create({
            address,
            method: "POST",
            path: "/v1/completions",
            headers: {
                ...attempt.traceHeaders,
                "x-request-id": attempt.requestId,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            },
            body,
            agent: this.agent,
            connectTimeout: attempt.connectTimeout,
            silenceLimit: attempt.silenceLimit,
            signal,
        });
        try {
            const answer = await request.send();
            if (answer.statusCode !== statusOk) {
                answer.resume();
                return Err(createStatusFailure(answer));
            }
            const reader = CompletionReader.create(attempt, sink);
            await readAnswerChunks(answer, chunk => {
                reader.readChunk(chunk);
                return !reader.isFinished();
            });
            return reader.finish();
        }
        catch (error) {
            if (error instanceof SilenceError && request.connection.getVerdict() !== Verdict.NotRun) {
                return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_sent_nothing_for_0_milliseconds, attempt.silenceLimit));
            }
            return Err(request.connection.createFailure(error));
        }
        finally {
            request.close();
        }
    }

    async cancelGeneration(address: NetworkAddress, attemptId: string): Promise<void> {
        try {
            await this.client.delete(`http://${formatAddress(address)}/v1/attempts/${attemptId}`, {
                timeout: { request: cancelTimeoutMilliseconds },
            });
        }
        catch {
            // The engine also stops when it sees the closed connection.
        }
    }

    async exportCache(address: NetworkAddress, attemptId: string, timeLimit: number): Promise<Result<string, Failure>> {
        const answer = await this.send(address, "POST", `v1/attempts/${attemptId}/export`, exportSchema, timeLimit);
        return answer.map(exported => exported.handle);
    }

    async fetchLoad(address: NetworkAddress, timeLimit: number): Promise<Result<LoadReport, Failure>> {
        return this.send(address, "GET", "load", loadReportSchema, timeLimit);
    }

    async fetchCacheEvents(address: NetworkAddress, afterSequence: number, timeLimit: number): Promise<Result<CacheEvents, Failure>> {
        return this.send(address, "GET", `cache-events?after=${afterSequence}`, cacheEventsSchema, timeLimit);
    }

    async sendOrder(address: NetworkAddress, order: EngineOrder, timeLimit: number): Promise<Result<void, Failure>> {
        const answer = await this.send(address, "PUT", "orders/models", z.unknown(), timeLimit, order);
        return answer.map(() => undefined);
    }

    async fetchModels(address: NetworkAddress, timeLimit: number): Promise<Result<EngineModels, Failure>> {
        return this.send(address, "GET", "orders/models", modelsSchema, timeLimit);
    }

    private async send<T>(
        address: NetworkAddress,
        method: "GET" | "POST" | "PUT",
        path: string,
        schema: z.ZodType<T>,
        timeLimit: number,
        body?: unknown,
    ): Promise<Result<T, Failure>> {
        const connection = ConnectionVerdict.create();
        try {
            const call = this.client(`http://${formatAddress(address)}/${path}`, {
                method,
                timeout: { request: timeLimit },
                ...(body === undefined ? {} : { json: body }),
            });
            call.on("request", request => connection.observeRequest(request as unknown as ClientRequest));
            const answer = await call;
            if (answer.statusCode !== statusOk) {
                return Err(createStatusFailure(answer));
            }
            return Ok(schema.parse(JSON.parse(answer.body)));
        }
        catch (error) {
            return Err(connection.createFailure(error));
        }
    }
}

function createCompletionBody(attempt: GenerationAttempt): Record<string, unknown> {
    return {
        ...attempt.sampling,
        model: attempt.model,
        prompt: attempt.prompt,
        max_tokens: attempt.maxTokens,
        stream: true,
        priority: attempt.priority,
        attempt_id: attempt.attemptId,
        resume_tokens: attempt.emittedTokens,
        cache_handle: attempt.cacheHandle,
    };
}

/** Creates the failure for a status other than 200; the endpoint's headers may prove that nothing ran. */
export function createStatusFailure(response: Pick<IncomingMessage, "statusCode" | "headers">): Failure {
    if (response.headers[leavingHeader] !== undefined) {
        return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_is_leaving);
    }
    if (response.headers[notRunHeader] !== undefined) {
        return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_before_running_0, `status ${response.statusCode ?? 0}`);
    }
    return Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_failed_with_status_0, response.statusCode ?? 0);
}

/** Reads the events of one attempt and checks that they belong to it. */
class CompletionReader {
    private readonly decoder = new TextDecoder();
    private readonly parser;
    private failure: Failure | undefined;
    private finishReason: FinishReason | undefined;
    private usage: unknown;
    private hasEnded = false;

    private constructor(private readonly attempt: GenerationAttempt, private readonly sink: TokenSink) {
        this.parser = createParser({ onEvent: event => this.readEvent(event.data), maxBufferSize: maximumEventBytes });
    }

    static create(attempt: GenerationAttempt, sink: TokenSink): CompletionReader {
        return new CompletionReader(attempt, sink);
    }

    readChunk(chunk: Buffer): void {
        this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    }

    isFinished(): boolean {
        return this.hasEnded || this.failure !== undefined;
    }

    finish(): Result<GenerationEnd, Failure> {
        if (this.failure !== undefined) {
            return Err(this.failure);
        }
        if (!this.hasEnded || this.finishReason === undefined) {
            return Err(
                Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "the stream ended early"),
            );
        }
        const usage = usageSchema.safeParse(this.usage ?? {});
        const counts = usage.success ? usage.data : usageSchema.parse({});
        return Ok({
            finishReason: this.finishReason,
            promptTokens: counts.prompt_tokens,
            cachedTokens: counts.prompt_tokens_details?.cached_tokens ?? 0,
            recomputedTokens: counts.recomputed_tokens,
        });
    }

    private readEvent(data: string): void {
        if (this.isFinished()) {
            return;
        }
        if (data === endOfStream) {
            this.hasEnded = true;
            return;
        }
        let chunk: CompletionChunk;
        try {
            chunk = JSON.parse(data) as CompletionChunk;
        }
        catch {
            this.failure = Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_sent_an_answer_that_cannot_be_read);
            return;
        }
        this.readCompletionChunk(chunk);
    }

    private readCompletionChunk(chunk: CompletionChunk): void {
        if (chunk.error !== undefined) {
            this.failure = Failure.create(
                Verdict.MayHaveRun,
                Diagnostics.Connection_was_lost_after_the_request_was_sent_0,
                describeError(chunk.error),
            );
            return;
        }
        if (chunk.id !== this.attempt.attemptId) {
            this.failure = Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_names_another_request_0, String(chunk.id));
            return;
        }
        const choice = chunk.choices?.[0];
        if (typeof choice?.text === "string" && choice.text !== "") {
            this.sink.appendToken(choice.text);
        }
        if (choice?.finish_reason === FinishReason.Stop || choice?.finish_reason === FinishReason.Length) {
            this.finishReason = choice.finish_reason;
        }
        if (chunk.usage !== undefined) {
            this.usage = chunk.usage;
        }
    }
}
