import { IncomingMessage } from "node:http";
import { ReceivedBody } from "../common/bodyReader.js";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { hashCall } from "../common/hashing.js";
import { CheckedHead, findRequestFault } from "../common/headCheck.js";
import { RandomSource } from "../common/random.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { PromptPart, PromptShape } from "../fleet/types.js";
import { pickService, RouteTable } from "../routes/routeTable.js";
import { Route, RoutedTeam } from "../routes/types.js";
import { CallProtocol } from "./callProtocol.js";
import { HopTracing } from "./hopTracing.js";
import { IncomingCall } from "./types.js";

const idPattern = /^[!-~]{1,200}$/;
const partPattern = /^([0-9a-fA-F]+):(\d+)$/;
/** Largest number of parts read for one prompt; valid callers do not send more. */
const promptPartLimit = 256;

/** Head of a request, as the runtime or a peer received it. */
export type RequestHead = CheckedHead & Readonly<Pick<IncomingMessage, "method">>;

/** Reads a received request into a call: resolves its route and team, and reads its prompt and deadline. */
export class CallReader {
    private constructor(
        private readonly protocol: CallProtocol,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly tracing: HopTracing,
    ) {}

    static create(protocol: CallProtocol, clock: Clock, random: RandomSource, tracing: HopTracing): CallReader {
        return new CallReader(protocol, clock, random, tracing);
    }

    /** Returns the call, or the failure that is sent to the caller. `arrivedAt` is in monotonic milliseconds. */
    readCall(request: RequestHead, body: ReceivedBody, arrivedAt: number, table: RouteTable): Result<IncomingCall, Failure> {
        const { protocol } = this;
        const requestFault = findRequestFault(request);
        if (requestFault !== undefined) {
            return Err(createRejection(Diagnostics.Request_head_is_malformed_0, requestFault));
        }
        const target = request.url ?? "";
        const route = table.findRoute(readHost(request), target);
        if (route === undefined) {
            return Err(createRejection(Diagnostics.Path_0_is_not_served, target));
        }
        const team = this.readTeam(request, route, table);
        if (team.err) {
            return team;
        }
        const id = readHeader(request, protocol.attemptId);
        if (id === undefined) {
            return Err(createRejection(Diagnostics.Header_0_is_missing, protocol.attemptId));
        }
        if (!idPattern.test(id)) {
            return Err(
                createRejection(Diagnostics.Header_0_is_not_valid_1, protocol.attemptId, "expected 1 to 200 visible ASCII characters"),
            );
        }
        const timeLeft = this.readTimeLeft(request, route.timeLimit);
        if (timeLeft.err) {
            return timeLeft;
        }
        let fingerprint: string | undefined;
        return Ok({
            id,
            method: request.method ?? "GET",
            target,
            rawHeaders: request.rawHeaders,
            body: body.bytes,
            hasBody: body.isPresent,
            route,
            service: pickService(route, this.random),
            team: team.val,
            rank: team.val?.priority ?? route.priority,
            usesTeamKeys: table.hasTeams(),
            getFingerprint: () => fingerprint ??= hashCall(team.val?.name ?? "", request.method ?? "", target, body.bytes),
            prompt: this.readPrompt(request),
            lastEventId: readHeader(request, protocol.lastEventId),
            span: this.tracing.startCall(request, route.name),
            arrivedAt,
            deadline: arrivedAt + timeLeft.val,
        });
    }

    private readTeam(request: RequestHead, route: Route, table: RouteTable): Result<RoutedTeam | undefined, Failure> {
        if (!table.hasTeams()) {
            return Ok(undefined);
        }
        const scheme = `${this.protocol.authorizationScheme} `;
        const header = readHeader(request, "authorization");
        const hasExpectedScheme = header?.slice(0, scheme.length).toLowerCase() === scheme.toLowerCase();
        const team = hasExpectedScheme ? table.findTeamByKey((header as string).slice(scheme.length).trim()) : undefined;
        if (team !== undefined || route.isPublic) {
            return Ok(team);
        }
        return Err(createRejection(hasExpectedScheme ? Diagnostics.Token_is_not_known : Diagnostics.Authorization_is_missing));
    }

    private readTimeLeft(request: RequestHead, timeLimit: number): Result<number, Failure> {
        const header = readHeader(request, this.protocol.timeLeft);
        if (header === undefined) {
            return Ok(timeLimit);
        }
        const milliseconds = Number(header);
        if (header.trim() === "" || !Number.isFinite(milliseconds) || milliseconds < 0) {
            return Err(
                createRejection(
                    Diagnostics.Header_0_is_not_valid_1,
                    this.protocol.timeLeft,
                    "expected a non-negative number of milliseconds",
                ),
            );
        }
        return Ok(Math.min(milliseconds, timeLimit));
    }

    private readPrompt(request: RequestHead): PromptShape | undefined {
        const counts = readHeader(request, this.protocol.tokenCounts)?.split(",").map(Number);
        const [inputTokens, maxOutputTokens] = counts ?? [];
        if (!isTokenCount(inputTokens) || !isTokenCount(maxOutputTokens)) {
            return undefined;
        }
        const parts = parsePromptParts(readHeader(request, this.protocol.promptParts) ?? "");
        return { parts, inputTokens, maxOutputTokens };
    }
}

/** Parses the parts of a prompt. Stops at the first invalid part, because only an unbroken prefix of parts is useful. */
export function parsePromptParts(text: string): PromptPart[] {
    const parts: PromptPart[] = [];
    for (const item of text.split(",").slice(0, promptPartLimit)) {
        const match = partPattern.exec(item.trim());
        if (!match) {
            return parts;
        }
        parts.push({ id: (match[1] as string).toLowerCase(), tokens: Number(match[2]) });
    }
    return parts;
}

function readHeader(request: RequestHead, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" ? value : value?.[0];
}

function readHost(request: RequestHead): string {
    return (request.headers.host ?? "").replace(/:\d+$/, "").toLowerCase();
}

function isTokenCount(value: number | undefined): value is number {
    return value !== undefined && Number.isFinite(value) && value >= 0;
}

function createRejection(message: Parameters<typeof Failure.create>[1], ...values: (string | number)[]): Failure {
    return Failure.create(Verdict.NotRun, message, ...values);
}
