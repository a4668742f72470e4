import { AcceptanceGate } from "../callers/types.js";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { hashCall } from "../common/hashing.js";
import { Tracing } from "../common/tracing.js";
import { Verdict } from "../common/verdict.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { SharedObjectKeeper } from "../control/commands/sharedObjectKeeper.js";
import {
    AdoptRequestRequest,
    DigestExchange,
    FetchSharedObjectsResponseInit,
    FollowRequestEventInit,
    ForwardCallRequest,
    ForwardCallResponseInit,
    NodeDigest,
    NodeDigestInit,
    ObjectRevision,
    PeerHandler,
    UrgentNotifier,
} from "../peers/types.js";
import { PlainCallRunner } from "../requests/commands/plainCallRunner.js";
import { decodeRequest, storedRequestSchema } from "../requests/requestCodec.js";
import { RequestHistory, RequestRecord } from "../requests/requestRecord.js";
import { RequestService } from "../requests/requestService.js";
import { RequestTable } from "../requests/requestTable.js";
import { ModelRequest, RequestOutcome } from "../requests/types.js";

/** The parts of a node that its peers call on. */
export interface NodePeerHandlerParts {
    readonly clock: Clock;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly digests: DigestExchange;
    readonly keeper: SharedObjectKeeper;
    readonly service: RequestService;
    readonly table: RequestTable;
    readonly plainCalls: PlainCallRunner;
    readonly gate: AcceptanceGate;
    readonly notifier: UrgentNotifier;
}

/** What this node does when a peer calls it. */
export class NodePeerHandler implements PeerHandler {
    private constructor(private readonly parts: NodePeerHandlerParts) {}

    static create(parts: NodePeerHandlerParts): NodePeerHandler {
        return new NodePeerHandler(parts);
    }

    async handleExchange(digest: NodeDigest): Promise<NodeDigestInit> {
        const hasUrgentNews = this.parts.digests.applyDigest(digest);
        if (hasUrgentNews) {
            // The sender waits for this answer before it lets the request go on: by then the whole domain knows.
            await this.parts.notifier.sendUrgentDigest();
        }
        return this.parts.digests.createDigest();
    }

    createSharedObjectsAnswer(known: readonly ObjectRevision[]): FetchSharedObjectsResponseInit {
        return this.parts.keeper.createAnswer(known);
    }

    async adoptRequest(message: AdoptRequestRequest): Promise<boolean> {
        if (!this.parts.gate.isAccepting()) {
            return false;
        }
        const stored = storedRequestSchema.safeParse(JSON.parse(message.requestJson));
        if (!stored.success || this.parts.table.findRecord(message.requestId)?.getEnd()?.outcome === RequestOutcome.Finished) {
            return false;
        }
        return this.parts.service.adoptRequest(decodeRequest(stored.data), message.tokens);
    }

    async *followRequest(requestId: string, offset: number, signal: AbortSignal): AsyncIterable<FollowRequestEventInit> {
        const record = this.parts.table.findRecord(requestId);
        if (record === undefined || record.getEnd()?.outcome === RequestOutcome.HandedOver) {
            return;
        }
        this.parts.service.addReader(record);
        try {
            // The first event shows that the request is known, and whose it is.
            yield { event: { case: "start", value: { requestJson: JSON.stringify(createFollowHead(record.request)) } } };
            let sent = offset;
            while (!signal.aborted) {
                for (; sent < record.tokens.length; sent += 1) {
                    yield { event: { case: "token", value: { index: sent, text: record.tokens[sent] as string } } };
                }
                const end = record.getEnd();
                if (end !== undefined) {
                    yield createEndEvent(record);
                    return;
                }
                await record.waitForChange(sent, signal);
            }
        }
        finally {
            this.parts.service.removeReader(record);
        }
    }

    async forwardCall(call: ForwardCallRequest): Promise<ForwardCallResponseInit> {
        const service = this.parts.configuration.findService(call.service);
        if (service === undefined || !this.parts.gate.isAccepting()) {
            return createRefusal(Diagnostics.Service_0_is_not_declared.code, "the peer cannot take the call");
        }
        const span = this.parts.tracing.startSpanFromHeaders("forwarded call", { traceparent: call.traceparent });
        const history = RequestHistory.create();
        const body = Buffer.from(call.body);
        const request = {
            id: call.requestId,
            team: call.team,
            service: call.service,
            method: call.method,
            path: call.path,
            contentType: call.contentType === "" ? undefined : call.contentType,
            idempotencyKey: call.idempotencyKey === "" ? undefined : call.idempotencyKey,
            body,
            deadline: Number(call.deadlineMilliseconds),
            arrivedAt: this.parts.clock.getWallTime(),
            fingerprint: hashCall(call.service, call.method, call.path, body),
        };
        const result = await this.parts.plainCalls.runCall(request, service, history, span, new AbortController().signal, true);
        span.end();
        if (result.err) {
            return { ...createRefusal(result.val.message.code, result.val.text), verdict: result.val.verdict };
        }
        return {
            status: result.val.answer.status,
            contentType: result.val.answer.contentType ?? "",
            body: result.val.answer.body,
            verdict: Verdict.Ran,
            endpoint: history.attempts.at(-1)?.endpoint ?? "",
        };
    }

    describeRequest(requestId: string): string | undefined {
        const explanation = this.parts.table.findExplanation(requestId);
        return explanation === undefined ? undefined : JSON.stringify(explanation);
    }
}

function createRefusal(code: number, text: string): ForwardCallResponseInit {
    return { status: 0, verdict: Verdict.NotRun, failureCode: code, failureText: text };
}

function createFollowHead(request: ModelRequest): unknown {
    return { team: request.team, service: request.service, is_chat: request.isChat, arrived_at: request.arrivedAt };
}

function createEndEvent(record: RequestRecord): FollowRequestEventInit {
    const end = record.getEnd();
    return {
        event: {
            case: "end",
            value: {
                outcome: end?.outcome ?? RequestOutcome.Failed,
                finishReason: end?.generation?.finishReason ?? "",
                promptTokens: end?.generation?.promptTokens ?? 0,
                cachedTokens: end?.generation?.cachedTokens ?? 0,
                failureCode: end?.failure?.message.code ?? 0,
                failureText: end?.failure?.text ?? "",
                failureVerdict: end?.failure?.verdict ?? "",
            },
        },
    };
}
