import { createParser } from "eventsource-parser";
import got, { Got, Response } from "got";
import { Agent } from "node:http";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure, readErrorCode } from "../common/failure.js";
import { closeIdleConnections, createIdleConnectionHook } from "../common/idleConnections.js";
import { isNestedTooDeeply, parseJson } from "../common/json.js";
import { Metrics } from "../common/metrics.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { ObjectStore } from "./objectStore.js";
import { ObjectList, StoredObject, WatchEvent, WatchEventKind, WriteFailure, WriteOutcome } from "./types.js";

const storedObjectSchema = z.object({
    name: z.string(),
    revision: z.number().int(),
    // The object's reader rejects and logs a value that is left out.
    value: z.unknown().transform(value => (isNestedTooDeeply(value) ? undefined : value)),
});
const objectListSchema = z.object({ revision: z.number().int(), objects: z.array(storedObjectSchema) });
const writeResponseSchema = z.object({ revision: z.number().int() });
const watchEventSchema = z.object({
    kind: z.enum(WatchEventKind),
    revision: z.number().int(),
    object: storedObjectSchema.optional(),
});

const statusOk = 200;
const statusCreated = 201;
const statusNotFound = 404;
const statusGone = 410;
const statusPreconditionFailed = 412;
const statusServerError = 500;
const idleSocketMilliseconds = 4_000;
/** Error codes of connections that were never established, so that no part of the request was sent. */
const notConnectedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"]);

/** Connection settings of the object API. `timeout` (whole request) and `watchSilence` (idle timeout of a watch) are in milliseconds. */
export interface HttpObjectStoreOptions {
    readonly url: string;
    readonly token: string | undefined;
    readonly timeout: number;
    readonly watchSilence: number;
}

/** Object store behind the HTTP and JSON interface that docs/INTERFACES.md defines. Sends each call once, without retries. */
export class HttpObjectStore implements ObjectStore {
    private reachable = true;

    private constructor(
        private readonly client: Got,
        private readonly agent: Agent,
        private readonly options: HttpObjectStoreOptions,
        private readonly metrics: Metrics,
    ) {}

    static create(options: HttpObjectStoreOptions, metrics: Metrics): HttpObjectStore {
        const headers = options.token === undefined ? {} : { authorization: `Bearer ${options.token}` };
        const agent = new Agent({ keepAlive: true, timeout: idleSocketMilliseconds });
        const client = got.extend({
            prefixUrl: options.url,
            headers: { ...headers, "user-agent": undefined },
            decompress: false,
            retry: { limit: 0 },
            throwHttpErrors: false,
            timeout: { request: options.timeout },
            agent: { http: agent },
            hooks: { beforeError: [createIdleConnectionHook(agent)] },
        });
        return new HttpObjectStore(client, agent, options, metrics);
    }

    isReachable(): boolean {
        return this.reachable;
    }

    /** This interface has no eras: its store is never restored from a copy. */
    getEra(): number {
        return 0;
    }

    recordEra(): void {}

    /** Leaves the watches: their heartbeats show within the silence limit whether they have gone silent. */
    renewConnections(): void {
        closeIdleConnections(this.agent);
    }

    async getObject(name: string): Promise<Result<StoredObject | undefined, Failure>> {
        const response = await this.sendRead("get", `objects/${encodeURIComponent(name)}`);
        if (response.err) {
            return response;
        }
        if (response.val.statusCode === statusNotFound) {
            return Ok(undefined);
        }
        return this.parseResponse(response.val, storedObjectSchema);
    }

    async listObjects(prefix: string): Promise<Result<ObjectList, Failure>> {
        const response = await this.sendRead("list", `objects?prefix=${encodeURIComponent(prefix)}`);
        if (response.err) {
            return response;
        }
        return this.parseResponse(response.val, objectListSchema);
    }

    async createObject(name: string, value: unknown): Promise<Result<number, WriteFailure>> {
        return this.sendWrite("create", name, "PUT", { "if-none-match": "*" }, value);
    }

    async replaceObject(name: string, value: unknown, expectedRevision: number): Promise<Result<number, WriteFailure>> {
        return this.sendWrite("replace", name, "PUT", { "if-match": String(expectedRevision) }, value);
    }

    async removeObject(name: string, expectedRevision: number): Promise<Result<void, WriteFailure>> {
        const written = await this.sendWrite("remove", name, "DELETE", { "if-match": String(expectedRevision) }, undefined);
        return written.map(() => undefined);
    }

    async *watchObjects(prefix: string, afterRevision: number, signal: AbortSignal): AsyncIterable<WatchEvent> {
        const events: WatchEvent[] = [];
        const parser = createParser({
            onEvent: event => {
                const parsed = watchEventSchema.safeParse(parseJson(event.data));
                if (parsed.success) {
                    events.push(parsed.data as WatchEvent);
                }
            },
        });
        const path = `watch?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}`;
        const stream = this.client.stream(path, {
            signal,
            timeout: { connect: this.options.timeout, response: this.options.timeout, socket: this.options.watchSilence },
        });
        const decoder = new TextDecoder();
        try {
            stream.once("response", (response: Response) => {
                if (response.statusCode === statusGone) {
                    events.push({ kind: WatchEventKind.Expired, revision: afterRevision });
                }
            });
            for await (const chunk of stream) {
                parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
                this.markReachable(true);
                yield* events.splice(0);
            }
            yield* events.splice(0);
        }
        catch (error) {
            if (!signal.aborted) {
                this.metrics.platformCalls.inc({ call: "watch", outcome: readErrorCode(error) || "error" });
            }
        }
        finally {
            stream.destroy();
        }
    }

    private markReachable(reachable: boolean): void {
        this.reachable = reachable;
        this.metrics.platformReachable.set(reachable ? 1 : 0);
    }

    private async sendRead(call: string, path: string): Promise<Result<Response<string>, Failure>> {
        try {
            const response = await this.client.get(path);
            this.recordResponse(call, response.statusCode);
            if (response.statusCode >= statusServerError || (response.statusCode !== statusOk && response.statusCode !== statusNotFound)) {
                return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_answered_with_status_0, response.statusCode));
            }
            return Ok(response);
        }
        catch (error) {
            this.recordCallFailure(call, error);
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, describeError(error)));
        }
    }

    private parseResponse<T>(response: Response<string>, schema: z.ZodType<T>): Result<T, Failure> {
        const parsed = schema.safeParse(parseJson(response.body));
        if (!parsed.success) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, "unexpected response format"));
        }
        return Ok(parsed.data);
    }

    private async sendWrite(
        call: string,
        name: string,
        method: "PUT" | "DELETE",
        headers: Record<string, string>,
        value: unknown,
    ): Promise<Result<number, WriteFailure>> {
        const body = value === undefined ? {} : { json: { value } };
        try {
            const response = await this.client(`objects/${encodeURIComponent(name)}`, { method, headers, ...body });
            this.recordResponse(call, response.statusCode);
            return this.parseWriteResponse(name, response);
        }
        catch (error) {
            this.recordCallFailure(call, error);
            // Only a connection that was never established proves that nothing was written.
            const outcome = notConnectedCodes.has(readErrorCode(error)) ? WriteOutcome.NotWritten : WriteOutcome.Unknown;
            const failure = Failure.create(Verdict.NotRun, Diagnostics.Write_of_0_has_an_unknown_outcome, name, describeError(error));
            return Err({ outcome, failure });
        }
    }

    private parseWriteResponse(name: string, response: Response<string>): Result<number, WriteFailure> {
        if (response.statusCode === statusOk || response.statusCode === statusCreated) {
            const parsed = writeResponseSchema.safeParse(parseJson(response.body));
            if (parsed.success) {
                return Ok(parsed.data.revision);
            }
            const failure = Failure.create(
                Verdict.NotRun,
                Diagnostics.Write_of_0_has_an_unknown_outcome,
                name,
                "unexpected response format",
            );
            return Err({ outcome: WriteOutcome.Unknown, failure });
        }
        if (response.statusCode === statusPreconditionFailed || response.statusCode === statusNotFound) {
            return Err({
                outcome: WriteOutcome.Conflict,
                failure: Failure.create(Verdict.NotRun, Diagnostics.Revision_conflict_on_0, name),
            });
        }
        const failure = Failure.create(Verdict.NotRun, Diagnostics.Platform_answered_with_status_0, response.statusCode);
        const outcome = response.statusCode >= statusServerError ? WriteOutcome.Unknown : WriteOutcome.NotWritten;
        return Err({ outcome, failure });
    }

    private recordResponse(call: string, status: number): void {
        this.metrics.platformCalls.inc({ call, outcome: String(status) });
        this.markReachable(status < statusServerError);
    }

    private recordCallFailure(call: string, error: unknown): void {
        this.metrics.platformCalls.inc({ call, outcome: readErrorCode(error) || "error" });
        this.markReachable(false);
    }
}
