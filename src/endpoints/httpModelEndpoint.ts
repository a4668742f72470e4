import { createParser, ParseError } from "eventsource-parser";
import got, { Got, TimeoutError } from "got";
import { ClientRequest, IncomingMessage } from "node:http";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { createResponseLimit } from "../common/responseLimit.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { ConnectionTracker } from "./connectionTracker.js";
import { EndpointRequest, SilenceError } from "./endpointRequest.js";
import { computeSuspiciousSilence, GuardedAgent, readStatedIdleTimeout } from "./guardedAgent.js";
import { CacheEvents, EngineModels, EngineOrder, ModelEndpointClient, TokenSink } from "./modelEndpoint.js";
import { FinishReason, GenerationAttempt, GenerationEnd, LoadReport, loadReportSchema } from "./types.js";

const endOfStream = "[DONE]";
/** Omits the headers that the client adds by default: load is polled every second. */
const minimalHeaderOptions = { decompress: false, headers: { "user-agent": undefined } };
const statusOk = 200;
const idleSocketMilliseconds = 3_000;
const maximumEventBytes = 65_536;
/** Largest report of an endpoint that is read, in bytes: a list of the cached prompt parts has some hundred kilobytes. */
const maximumReportBytes = 4_194_304;
const cancelTimeoutMilliseconds = 1_000;
/** Header with the id of an attempt, which an endpoint echoes. */
export const attemptIdHeader = "x-attempt-id";
/** Response header of an endpoint that refused a request before running it. */
export const notRunHeader = "x-request-not-run";
/** Response header of an endpoint that is leaving and accepts no new requests. */
export const leavingHeader = "x-endpoint-leaving";

/** One event of a completion stream, in the OpenAI format with the engine's extensions. */
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

/** Client for model engines that offer OpenAI completions over server-sent events, with the extensions listed in docs/INTERFACES.md. */
export class HttpModelEndpointClient implements ModelEndpointClient {
    private constructor(private readonly client: Got, private readonly agent: GuardedAgent) {}

    static create(): HttpModelEndpointClient {
        const agent = GuardedAgent.createGuarded({
            getIdleLimit: headers => Math.min(idleSocketMilliseconds, readStatedIdleTimeout(headers) ?? Infinity),
            maxFreeSockets: 8,
        });
        return new HttpModelEndpointClient(
            got.extend({
                ...minimalHeaderOptions,
                retry: { limit: 0 },
                throwHttpErrors: false,
                agent: { http: agent },
                handlers: [createResponseLimit(maximumReportBytes)],
            }),
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
                [attemptIdHeader]: attempt.attemptId,
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            },
            body,
            agent: this.agent,
            connectTimeout: attempt.connectTimeout,
            silenceLimit: attempt.silenceLimit,
            suspiciousSilence: computeSuspiciousSilence(attempt.silenceLimit),
            handleSuspiciousSilence: () => this.agent.closeSilent(address),
            signal,
        });
        try {
            const response = await request.send();
            if (response.statusCode !== statusOk) {
                response.resume();
                return Err(createAttemptFailure(response, attempt.attemptId, request.isConnectionReused()));
            }
            const reader = CompletionReader.create(attempt, sink);
            await request.readChunks(chunk => {
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
            // The engine also stops when it detects that the connection was closed.
        }
    }

    async exportCache(address: NetworkAddress, attemptId: string, timeLimit: number): Promise<Result<string, Failure>> {
        const response = await this.send(address, "POST", `v1/attempts/${attemptId}/export`, exportSchema, timeLimit);
        return response.map(exported => exported.handle);
    }

    async fetchLoad(address: NetworkAddress, timeLimit: number): Promise<Result<LoadReport, Failure>> {
        return this.send(address, "GET", "load", loadReportSchema, timeLimit);
    }

    async fetchCacheEvents(address: NetworkAddress, afterSequence: number, timeLimit: number): Promise<Result<CacheEvents, Failure>> {
        return this.send(address, "GET", `cache-events?after=${afterSequence}`, cacheEventsSchema, timeLimit);
    }

    async sendOrder(address: NetworkAddress, order: EngineOrder, timeLimit: number): Promise<Result<void, Failure>> {
        const response = await this.send(address, "PUT", "orders/models", z.unknown(), timeLimit, order);
        return response.map(() => undefined);
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
        const connection = ConnectionTracker.create();
        try {
            const call = this.client(`http://${formatAddress(address)}/${path}`, {
                method,
                timeout: { request: timeLimit },
                ...(body === undefined ? {} : { json: body }),
            });
            call.on("request", request => connection.observeRequest(request as unknown as ClientRequest));
            const response = await call;
            if (response.statusCode !== statusOk) {
                return Err(createStatusFailure(response));
            }
            return Ok(schema.parse(JSON.parse(response.body)));
        }
        catch (error) {
            if (error instanceof TimeoutError && connection.getVerdict() !== Verdict.NotRun) {
                this.agent.closeSilent(address);
            }
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

/** Creates the failure for an unsuccessful response; its headers may prove that the request has not run. */
export function createStatusFailure(response: Pick<IncomingMessage, "statusCode" | "headers">): Failure {
    if (response.headers[leavingHeader] !== undefined) {
        return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_is_leaving);
    }
    if (response.headers[notRunHeader] !== undefined) {
        return Failure.create(Verdict.NotRun, Diagnostics.Endpoint_refused_before_running_0, `status ${response.statusCode ?? 0}`);
    }
    return Failure.create(Verdict.MayHaveRun, Diagnostics.Endpoint_failed_with_status_0, response.statusCode ?? 0);
}

/**
 * Creates the failure for an unsuccessful response to an attempt. A refusal that names another attempt, or that names none on a
 * connection that has carried earlier requests, may be that of an earlier attempt and proves nothing about this one.
 */
export function createAttemptFailure(
    response: Pick<IncomingMessage, "statusCode" | "headers">,
    attemptId: string,
    isConnectionReused: boolean,
): Failure {
    const failure = createStatusFailure(response);
    const namedId = response.headers[attemptIdHeader];
    if (failure.verdict !== Verdict.NotRun || namedId === attemptId || (namedId === undefined && !isConnectionReused)) {
        return failure;
    }
    return Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_names_another_request_0, String(namedId));
}

/** Decodes the completion events of one attempt, checks that they carry its attempt id, and passes the tokens to the sink. */
class CompletionReader {
    private readonly decoder = new TextDecoder();
    private readonly parser;
    private failure: Failure | undefined;
    private finishReason: FinishReason | undefined;
    private usage: unknown;
    private hasReceivedEndMarker = false;

    private constructor(private readonly attempt: GenerationAttempt, private readonly sink: TokenSink) {
        this.parser = createParser({
            onEvent: event => this.readEvent(event.data),
            onError: error => this.handleParseError(error),
            maxBufferSize: maximumEventBytes,
        });
    }

    static create(attempt: GenerationAttempt, sink: TokenSink): CompletionReader {
        return new CompletionReader(attempt, sink);
    }

    readChunk(chunk: Buffer): void {
        this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    }

    /** Returns whether the end marker was received or an event was invalid; later events are ignored. */
    isFinished(): boolean {
        return this.hasReceivedEndMarker || this.failure !== undefined;
    }

    /** Returns the result of the generation, or the failure when an event was invalid or the stream was truncated. */
    finish(): Result<GenerationEnd, Failure> {
        if (this.failure !== undefined) {
            return Err(this.failure);
        }
        if (!this.hasReceivedEndMarker || this.finishReason === undefined) {
            return Err(
                Failure.create(
                    Verdict.MayHaveRun,
                    Diagnostics.Connection_was_lost_after_the_request_was_sent_0,
                    "the event stream ended before its end marker or without a finish reason",
                ),
            );
        }
        const usage = usageSchema.safeParse(this.usage ?? {});
        const tokenCounts = usage.success ? usage.data : usageSchema.parse({});
        return Ok({
            finishReason: this.finishReason,
            promptTokens: tokenCounts.prompt_tokens,
            cachedTokens: tokenCounts.prompt_tokens_details?.cached_tokens ?? 0,
            recomputedTokens: tokenCounts.recomputed_tokens,
        });
    }

    /** Ends the reading of a stream with an event that is too large. Unknown fields are ignored, as the format of event streams has it. */
    private handleParseError(error: ParseError): void {
        if (error.type === "max-buffer-size-exceeded") {
            const message = Diagnostics.Endpoint_sent_an_answer_that_cannot_be_read_0;
            this.failure ??= Failure.create(Verdict.MayHaveRun, message, `an event is larger than ${maximumEventBytes} bytes`);
        }
    }

    private readEvent(data: string): void {
        if (this.isFinished()) {
            return;
        }
        if (data === endOfStream) {
            this.hasReceivedEndMarker = true;
            return;
        }
        let chunk: CompletionChunk;
        try {
            chunk = JSON.parse(data) as CompletionChunk;
        }
        catch {
            const message = Diagnostics.Endpoint_sent_an_answer_that_cannot_be_read_0;
            this.failure = Failure.create(Verdict.MayHaveRun, message, "an event holds no JSON");
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
