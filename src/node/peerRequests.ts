import { z } from "zod";
import { RemoteRequests } from "../callers/types.js";
import { Clock } from "../common/clock.js";
import { Failure } from "../common/failure.js";
import { selectByRendezvous } from "../common/hashing.js";
import { Err, Ok, Result } from "../common/results.js";
import { Span, Tracing } from "../common/tracing.js";
import { Verdict } from "../common/verdict.js";
import { FinishReason } from "../endpoints/types.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { FollowRequestEvent, ForwardCallResponse, Member, PeerLink } from "../peers/types.js";
import { findMessage } from "../requests/commands/draftStore.js";
import { CallForwarder, PlainCallResult } from "../requests/commands/plainCallRunner.js";
import { RequestHistory, RequestRecord } from "../requests/requestRecord.js";
import { PlainRequest, RequestOutcome } from "../requests/types.js";

/** Peers asked for one request. */
const followTries = 16;
/** Peers asked to take one call. */
const forwardTries = 3;
/** Time for which the first event of a followed request is awaited, in milliseconds. */
const firstEventMilliseconds = 1_000;
/** Added to the call's own time limit for the hop, in milliseconds. */
const forwardMarginMilliseconds = 500;

const headSchema = z.object({ team: z.string(), service: z.string(), is_chat: z.boolean(), arrived_at: z.number() });

/** Reads requests that other nodes own, and hands calls to nodes that reach the platform. */
export class PeerRequests implements RemoteRequests, CallForwarder {
    private constructor(
        private readonly directory: MemberDirectory,
        private readonly link: PeerLink,
        private readonly clock: Clock,
        private readonly tracing: Tracing,
    ) {}

    static create(directory: MemberDirectory, link: PeerLink, clock: Clock, tracing: Tracing): PeerRequests {
        return new PeerRequests(directory, link, clock, tracing);
    }

    async followRequest(requestId: string, offset: number): Promise<RequestRecord | undefined> {
        const inDomain = selectByRendezvous(requestId, this.directory.listDomainMembers(), member => member.name);
        const elsewhere = this.directory.listMembers().filter(member => !inDomain.includes(member));
        const members = [...inDomain, ...elsewhere].filter(member => this.directory.isAlive(member)).slice(0, followTries);
        const found = await Promise.all(members.map(member => this.followAt(member, requestId, offset)));
        return found.find(record => record !== undefined);
    }

    async forwardCall(request: PlainRequest, history: RequestHistory): Promise<Result<PlainCallResult, Failure> | undefined> {
        const reachable = this.directory.listMembers().filter(member =>
            this.directory.isAlive(member) && !member.isLeaving && member.platformReachable
        );
        const ownFirst = reachable.sort((left, right) => this.getDistance(left) - this.getDistance(right));
        for (const member of ownFirst.slice(0, forwardTries)) {
            const result = await this.forwardTo(member, request, history);
            if (result.ok || result.val.verdict !== Verdict.NotRun) {
                return result;
            }
        }
        return undefined;
    }

    private getDistance(member: Member): number {
        return member.failureDomain === this.directory.identity.failureDomain ? 0 : 1;
    }

    private async forwardTo(member: Member, request: PlainRequest, history: RequestHistory): Promise<Result<PlainCallResult, Failure>> {
        const remaining = request.deadline - this.clock.getWallTime();
        const answer = await this.link.forwardCall(member.address, {
            requestId: request.id,
            team: request.team,
            service: request.service,
            method: request.method,
            path: request.path,
            idempotencyKey: request.idempotencyKey ?? "",
            contentType: request.contentType ?? "",
            body: request.body,
            deadlineMilliseconds: BigInt(Math.round(request.deadline)),
        }, Math.max(1, remaining) + forwardMarginMilliseconds);
        history.hops.push(member.name);
        if (answer.err) {
            return answer;
        }
        return readForwardAnswer(answer.val);
    }

    private async followAt(member: Member, requestId: string, offset: number): Promise<RequestRecord | undefined> {
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(), firstEventMilliseconds);
        const events = this.link.followRequest(member.address, requestId, offset, abort.signal)[Symbol.asyncIterator]();
        try {
            const first = await events.next();
            clearTimeout(timer);
            if (first.done === true || first.value.event.case !== "start") {
                return undefined;
            }
            const head = headSchema.parse(JSON.parse(first.value.event.value.requestJson));
            const span = this.tracing.startSpanFromHeaders("follow request", {});
            const record = createMirror(requestId, head, span);
            record.history.hops.push(member.name);
            void this.relayEvents(record, events, span);
            record.cancellation.signal.addEventListener("abort", () => abort.abort(), { once: true });
            return record;
        }
        catch {
            clearTimeout(timer);
            return undefined;
        }
    }

    private async relayEvents(record: RequestRecord, events: AsyncIterator<FollowRequestEvent>, span: Span): Promise<void> {
        try {
            for (;;) {
                const next = await events.next();
                if (next.done === true) {
                    break;
                }
                applyEvent(record, next.value);
            }
        }
        catch {
            // The end below covers a connection that broke.
        }
        record.finishWithoutAnswer(RequestOutcome.HandedOver);
        span.end();
    }
}

function readForwardAnswer(answer: ForwardCallResponse): Result<PlainCallResult, Failure> {
    if (answer.status === 0) {
        return Err(Failure.createFormatted(readVerdict(answer.verdict), findMessage(answer.failureCode), answer.failureText));
    }
    const contentType = answer.contentType === "" ? undefined : answer.contentType;
    return Ok({ answer: { status: answer.status, contentType, body: Buffer.from(answer.body) }, isReplayed: false });
}

function readVerdict(text: string): Verdict {
    return Object.values(Verdict).find(verdict => verdict === text) ?? Verdict.MayHaveRun;
}

function createMirror(requestId: string, head: z.infer<typeof headSchema>, span: Span): RequestRecord {
    return RequestRecord.create({
        id: requestId,
        team: head.team,
        service: head.service,
        isChat: head.is_chat,
        prompt: "",
        maxTokens: 0,
        deadline: 0,
        arrivedAt: head.arrived_at,
        fingerprint: "",
        isAsync: true,
        sampling: {},
    }, span);
}

function applyEvent(record: RequestRecord, event: FollowRequestEvent): void {
    if (event.event.case === "token") {
        record.appendRelayedToken(event.event.value.text);
        return;
    }
    if (event.event.case !== "end") {
        return;
    }
    const end = event.event.value;
    const finishReason = Object.values(FinishReason).find(reason => reason === end.finishReason);
    if (finishReason !== undefined) {
        record.history.verdict = Verdict.Ran;
        record.finish({ finishReason, promptTokens: end.promptTokens, cachedTokens: end.cachedTokens, recomputedTokens: 0 });
        return;
    }
    if (end.failureCode !== 0) {
        record.finishWithFailure(Failure.createFormatted(readVerdict(end.failureVerdict), findMessage(end.failureCode), end.failureText));
        return;
    }
    record.finishWithoutAnswer(RequestOutcome.HandedOver);
}
