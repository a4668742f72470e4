import got, { Response } from "got";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { millisecondsPerSecond } from "../common/units.js";
import { Verdict } from "../common/verdict.js";
import { Balancer } from "./balancer.js";
import { createPrompt } from "./texts.js";
import { CallerOutcome, CallerRecord, TraceCall, TraceGeneration } from "./types.js";

import { parseJson, StreamEnd, StreamReader, StreamResult } from "./streamReader.js";
/** Times that a caller follows a refusal, sends a call again, or attaches again. */
const followLimit = 12;
const resendLimit = 4;
const reattachLimit = 40;
const reattachPauseMilliseconds = 150;
const resendPauseMilliseconds = 250;
const pollPauseMilliseconds = 200;
/** Time without any byte after which a caller gives a connection up, in milliseconds. */
const callerSilenceMilliseconds = 15_000;
const statusAccepted = 202;

const problemSchema = z.object({ title: z.string(), verdict: z.enum(Verdict) });
const wholeSchema = z.object({ choices: z.array(z.object({ text: z.string() })).min(1) });

/** Sends requests as the callers of a trace do: through a balancer, following refusals, attaching again when told. */
export class CallerClient {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 2_000 });

    private constructor(
        private readonly balancer: Balancer,
        private readonly tokens: Readonly<Record<string, string>>,
        private readonly killerText: string,
        private readonly generateAnswer: (prompt: string, tokens: number) => string,
    ) {}

    static create(
        balancer: Balancer,
        tokens: Readonly<Record<string, string>>,
        killerText: string,
        generateAnswer: (prompt: string, tokens: number) => string,
    ): CallerClient {
        return new CallerClient(balancer, tokens, killerText, generateAnswer);
    }

    /** Sends a generation and follows it to its end. */
    async sendGeneration(line: TraceGeneration): Promise<CallerRecord> {
        const prompt = createPrompt(line, this.killerText);
        const record = createRecord(
            line.service,
            line.team,
            undefined,
            line.at,
            this.generateAnswer(prompt, line.output_tokens),
            line.kills_endpoints,
        );
        for (let resend = 0; resend <= line.resends; resend += 1) {
            record.text = "";
            await this.followGeneration(line, prompt, record);
        }
        return record;
    }

    /** Sends a call; one that may not be repeated is sent again with the same key while its outcome is unknown. */
    async sendCall(line: TraceCall): Promise<CallerRecord> {
        const record = createRecord(line.service, line.team, line.key, line.at, undefined, false);
        if (line.sends_twice) {
            const twin = createRecord(line.service, line.team, line.key, line.at, undefined, false);
            await Promise.all([this.followCall(line, record), this.followCall(line, twin)]);
            record.notRunIds.push(...twin.notRunIds);
            return record;
        }
        await this.followCall(line, record);
        return record;
    }

    private async followGeneration(line: TraceGeneration, prompt: string, record: CallerRecord): Promise<void> {
        const startedAt = performance.now();
        const body = JSON.stringify({ model: line.service, prompt, max_tokens: line.output_tokens, stream: line.stream });
        for (let count = 0; count < followLimit; count += 1) {
            record.attempts += 1;
            const result = line.async ? await this.sendAsync(line, body, record) : await this.sendStream(line, body, record, startedAt);
            record.status = result.status;
            record.detail = result.detail;
            if (result.end !== StreamEnd.Refused) {
                record.outcome = createOutcome(result);
                return;
            }
            if (result.retryAfterSeconds === undefined) {
                break;
            }
            record.refusals += 1;
            await sleep(result.retryAfterSeconds * millisecondsPerSecond);
        }
        record.outcome = CallerOutcome.RefusedNotRun;
    }

    private async sendStream(line: TraceGeneration, body: string, record: CallerRecord, startedAt: number): Promise<StreamResult> {
        let requestId: string | undefined;
        const reader = StreamReader.create(record, startedAt);
        let result = await this.readStream("POST", "v1/completions", line.team, body, line.stream, reader, id => {
            requestId = id;
        });
        for (let count = 0; count < reattachLimit && result.end === StreamEnd.Broken && requestId !== undefined; count += 1) {
            await sleep(reattachPauseMilliseconds);
            const again = await this.readStream("GET", `v1/requests/${requestId}`, line.team, undefined, true, reader, () => {});
            // A node that cannot find the request yet does not end it.
            result = again.end === StreamEnd.Refused ? { ...again, end: StreamEnd.Broken } : again;
        }
        return result;
    }

    private async sendAsync(line: TraceGeneration, body: string, record: CallerRecord): Promise<StreamResult> {
        const accepted = await this.send("POST", "v1/completions", line.team, body, { prefer: "respond-async" });
        if (accepted === undefined || accepted.statusCode !== statusAccepted) {
            return createRefusedResult(accepted, record);
        }
        record.wasAccepted = true;
        const id = String(accepted.headers["x-request-id"]);
        const until = performance.now() + reattachLimit * millisecondsPerSecond;
        while (performance.now() < until) {
            await sleep(pollPauseMilliseconds);
            const answer = await this.send("GET", `v1/requests/${id}`, line.team, undefined, {});
            const whole = answer?.statusCode === 200 ? wholeSchema.safeParse(JSON.parse(answer.body)) : undefined;
            if (whole?.success === true) {
                record.text = whole.data.choices[0]?.text ?? "";
                return { end: StreamEnd.Whole, status: 200, verdict: Verdict.Ran, retryAfterSeconds: undefined, detail: "" };
            }
        }
        return { end: StreamEnd.Broken, status: 0, verdict: undefined, retryAfterSeconds: undefined, detail: `draft ${id} never ended` };
    }

    private async followCall(line: TraceCall, record: CallerRecord): Promise<void> {
        const body = JSON.stringify(line.body ?? {});
        const headers: Record<string, string> = line.key === undefined ? {} : { "idempotency-key": line.key };
        for (let count = 0; count <= resendLimit; count += 1) {
            record.attempts += 1;
            const answer = await this.send("POST", `services/${line.service}/${line.path}`, line.team, body, headers);
            const verdict = answer === undefined ? Verdict.MayHaveRun : readVerdict(answer);
            record.status = answer?.statusCode ?? 0;
            record.detail = answer === undefined ? "connection lost" : answer.body.slice(0, 200);
            if (answer !== undefined && verdict === Verdict.NotRun) {
                record.notRunIds.push(String(answer.headers["x-request-id"]));
            }
            if (verdict === Verdict.Ran) {
                record.wasAccepted = true;
                record.outcome = CallerOutcome.Finished;
                return;
            }
            record.outcome = verdict === Verdict.NotRun ? CallerOutcome.RefusedNotRun : CallerOutcome.ToldMayHaveRun;
            await sleep(Math.max(resendPauseMilliseconds, (readRetryAfter(answer) ?? 0) * millisecondsPerSecond));
        }
    }

    /** Sends a request to a ready node; goes on to the next while a connection is refused. */
    private async send(
        method: "GET" | "POST",
        path: string,
        team: string,
        body: string | undefined,
        headers: Record<string, string>,
    ): Promise<Response<string> | undefined> {
        try {
            return await got(`${this.balancer.pickUrl()}/${path}`, {
                method,
                headers: { ...headers, ...this.createHeaders(team) },
                ...(body === undefined ? {} : { body }),
                throwHttpErrors: false,
                retry: { limit: 0 },
                agent: { http: this.agent },
                timeout: { request: callerSilenceMilliseconds },
            });
        }
        catch {
            return undefined;
        }
    }

    private createHeaders(team: string): Record<string, string> {
        return { "authorization": `Bearer ${this.tokens[team] ?? ""}`, "content-type": "application/json" };
    }

    private async readStream(
        method: "GET" | "POST",
        path: string,
        team: string,
        body: string | undefined,
        isStream: boolean,
        reader: StreamReader,
        handleId: (id: string) => void,
    ): Promise<StreamResult> {
        const stream = got.stream(`${this.balancer.pickUrl()}/${path}`, {
            method,
            headers: {
                ...this.createHeaders(team),
                ...(isStream ? { accept: "text/event-stream" } : {}),
                ...(method === "GET" ? { "last-event-id": String(reader.countTokens()) } : {}),
            },
            ...(body === undefined ? {} : { body }),
            throwHttpErrors: false,
            retry: { limit: 0 },
            agent: { http: this.agent },
            timeout: { socket: callerSilenceMilliseconds },
        });
        const chunks: Buffer[] = [];
        let response: Response | undefined;
        stream.once("response", (received: Response) => {
            response = received;
            handleId(String(received.headers["x-request-id"]));
        });
        try {
            for await (const chunk of stream) {
                const isEvents = response?.statusCode === 200 && isStream;
                if (isEvents) {
                    reader.readChunk(chunk as Buffer);
                }
                else {
                    chunks.push(chunk as Buffer);
                }
            }
        }
        catch (error) {
            return {
                end: response === undefined ? StreamEnd.Refused : StreamEnd.Broken,
                status: 0,
                verdict: undefined,
                retryAfterSeconds: 0.05,
                detail: String(error),
            };
        }
        if (response?.statusCode === 200 && isStream) {
            return reader.createResult();
        }
        return readWhole(response, Buffer.concat(chunks).toString("utf8"), reader);
    }
}

function readWhole(response: Response | undefined, body: string, reader: StreamReader): StreamResult {
    const whole = response?.statusCode === 200 ? wholeSchema.safeParse(JSON.parse(body)) : undefined;
    if (whole?.success === true) {
        reader.readWholeText(whole.data.choices[0]?.text ?? "");
        return { end: StreamEnd.Whole, status: 200, verdict: Verdict.Ran, retryAfterSeconds: undefined, detail: "" };
    }
    if (response?.statusCode === statusAccepted) {
        return { end: StreamEnd.Broken, status: statusAccepted, verdict: undefined, retryAfterSeconds: undefined, detail: "handed over" };
    }
    return createRefusedResult(
        response === undefined ? undefined : { ...response, body } as Response<string>,
        reader.record,
        response,
        body,
    );
}

function createRefusedResult(
    answer: Response<string> | undefined,
    record: CallerRecord,
    response: Response | undefined = answer,
    body = answer?.body ?? "",
): StreamResult {
    if (response === undefined) {
        return { end: StreamEnd.Refused, status: 0, verdict: undefined, retryAfterSeconds: 0.05, detail: "connection refused" };
    }
    const problem = problemSchema.safeParse(parseJson(body));
    const verdict = problem.success ? problem.data.verdict : Verdict.MayHaveRun;
    const detail = problem.success ? problem.data.title : body.slice(0, 200);
    if (verdict === Verdict.NotRun) {
        record.notRunIds.push(String(response.headers["x-request-id"]));
        return { end: StreamEnd.Refused, status: response.statusCode, verdict, retryAfterSeconds: readRetryAfter(response), detail };
    }
    return { end: StreamEnd.Failed, status: response.statusCode, verdict, retryAfterSeconds: undefined, detail };
}

function readVerdict(answer: Response<string>): Verdict {
    const header = answer.headers["x-request-verdict"];
    return Object.values(Verdict).find(verdict => verdict === header) ?? Verdict.MayHaveRun;
}

function readRetryAfter(answer: Pick<Response, "headers"> | undefined): number | undefined {
    const header = answer?.headers["retry-after"];
    return header === undefined ? undefined : Number(header);
}

function createOutcome(result: StreamResult): CallerOutcome {
    switch (result.end) {
        case StreamEnd.Whole:
            return CallerOutcome.Finished;
        case StreamEnd.Failed:
            return CallerOutcome.Failed;
        default:
            return CallerOutcome.Lost;
    }
}

function createRecord(
    service: string,
    team: string,
    key: string | undefined,
    at: number,
    expectedText: string | undefined,
    kills: boolean,
): CallerRecord {
    return {
        service,
        team,
        key,
        at,
        expectedText,
        kills,
        notRunIds: [],
        refusals: 0,
        attempts: 0,
        outcome: CallerOutcome.Lost,
        text: "",
        status: 0,
        wasAccepted: false,
        firstToken: undefined,
        gaps: [],
        detail: "",
    };
}
