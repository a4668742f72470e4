import { z } from "zod";
import { RemoteRequests } from "../callers/types.js";
import { Clock } from "../common/clock.js";
import { findDiagnosticMessage } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { listByRendezvousRank } from "../common/hashing.js";
import { Err, Ok, Result } from "../common/results.js";
import { Span, Tracing } from "../common/tracing.js";
import { Verdict } from "../common/verdict.js";
import { FinishReason } from "../endpoints/types.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { FollowRequestEvent, ForwardCallResponse, Member, PeerLink } from "../peers/types.js";
import { CallForwarder, PlainCallResult } from "../requests/commands/plainCallRunner.js";
import { RequestHistory, RequestRecord } from "../requests/requestRecord.js";
import { PlainRequest, RequestOutcome } from "../requests/types.js";

/** Maximum number of peers that are queried for one request. */
const followPeerLimit = 16;
/** Maximum number of peers to which one call is forwarded in turn. */
const forwardPeerLimit = 3;
/** Time limit for the first event of a followed request. */
const firstEventMilliseconds = 1_000;
/** Margin for the hop to the peer, added to the remaining time of the call. */
const forwardHopMarginMilliseconds = 500;

const requestHeadSchema = z.object({ team: z.string(), service: z.string(), is_chat: z.boolean(), arrived_at: z.number() });

/** Follows requests that run on other nodes, and forwards plain calls to peers that can reach the platform. */
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
        const sameDomainMembers = listByRendezvousRank(requestId, this.directory.listDomainMembers(), member => member.name);
        const otherDomainMembers = this.directory.listMembers().filter(member => !sameDomainMembers.includes(member));
        const members = [...sameDomainMembers, ...otherDomainMembers].filter(member => this.directory.isReachable(member)).slice(
            0,
            followPeerLimit,
        );
        const found = await Promise.all(members.map(member => this.followOnPeer(member, requestId, offset)));
        return found.find(record => record !== undefined);
    }

    async forwardCall(request: PlainRequest, history: RequestHistory): Promise<Result<PlainCallResult, Failure> | undefined> {
        const reachable = this.directory.listMembers().filter(member =>
            this.directory.isReachable(member) && !member.isLeaving && member.isPlatformReachable
        );
        const nearestFirst = reachable.sort((left, right) => this.getDomainRank(left) - this.getDomainRank(right));
        for (const member of nearestFirst.slice(0, forwardPeerLimit)) {
            const result = await this.forwardToPeer(member, request, history);
            if (result.ok || result.val.verdict !== Verdict.NotRun) {
                return result;
            }
        }
        return undefined;
    }

    /** Returns 0 for members of the local failure domain and 1 for all others. */
    private getDomainRank(member: Member): number {
        return member.failureDomain === this.directory.identity.failureDomain ? 0 : 1;
    }

    private async forwardToPeer(member: Member, request: PlainRequest, history: RequestHistory): Promise<Result<PlainCallResult, Failure>> {
        const remaining = request.deadline - this.clock.getWallTime();
        const response = await this.link.forwardCall(member.address, {
            requestId: request.id,
            team: request.team,
            service: request.service,
            method: request.method,
            path: request.path,
            idempotencyKey: request.idempotencyKey ?? "",
            contentType: request.contentType ?? "",
            body: request.body,
            deadlineMilliseconds: BigInt(Math.round(request.deadline)),
        }, Math.max(1, remaining) + forwardHopMarginMilliseconds);
        history.hops.push(member.name);
        if (response.err) {
            return response;
        }
        return readForwardResponse(response.val);
    }

    private async followOnPeer(member: Member, requestId: string, offset: number): Promise<RequestRecord | undefined> {
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(), firstEventMilliseconds);
        const events = this.link.followRequest(member.address, requestId, offset, abort.signal)[Symbol.asyncIterator]();
        try {
            const first = await events.next();
            clearTimeout(timer);
            if (first.done === true || first.value.event.case !== "start") {
                return undefined;
            }
            const head = requestHeadSchema.parse(JSON.parse(first.value.event.value.requestJson));
            const span = this.tracing.startSpanFromHeaders("follow request", {});
            const record = createFollowedRecord(requestId, head, span);
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
            // A lost connection ends the record below like the end of the stream.
        }
        record.finishWithoutResponse(RequestOutcome.HandedOver);
        span.end();
    }
}

function readForwardResponse(response: ForwardCallResponse): Result<PlainCallResult, Failure> {
    if (response.status === 0) {
        return Err(
            Failure.createFormatted(readVerdict(response.verdict), findDiagnosticMessage(response.failureCode), response.failureText),
        );
    }
    const contentType = response.contentType === "" ? undefined : response.contentType;
    return Ok({ answer: { status: response.status, contentType, body: Buffer.from(response.body) }, isReplayed: false });
}

function readVerdict(text: string): Verdict {
    return Object.values(Verdict).find(verdict => verdict === text) ?? Verdict.MayHaveRun;
}

/** Creates the local record of a request that runs on another node; it contains only the fields that the follower needs. */
function createFollowedRecord(requestId: string, head: z.infer<typeof requestHeadSchema>, span: Span): RequestRecord {
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
        record.finishWithFailure(
            Failure.createFormatted(readVerdict(end.failureVerdict), findDiagnosticMessage(end.failureCode), end.failureText),
        );
        return;
    }
    record.finishWithoutResponse(RequestOutcome.HandedOver);
}
