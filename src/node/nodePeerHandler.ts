import { AcceptanceGate } from "../callers/types.js";
import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { hashCall } from "../common/hashing.js";
import { Tracing } from "../common/tracing.js";
import { Verdict } from "../common/verdict.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { SharedObjectReplicator } from "../control/commands/sharedObjectReplicator.js";
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

/** Dependencies of the peer handler. */
export interface NodePeerHandlerDependencies {
    readonly clock: Clock;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly digests: DigestExchange;
    readonly replicator: SharedObjectReplicator;
    readonly service: RequestService;
    readonly table: RequestTable;
    readonly plainCalls: PlainCallRunner;
    readonly gate: AcceptanceGate;
    readonly notifier: UrgentNotifier;
}

/** Handles the calls that peers make to this node: digests, shared objects, request handover, streams and forwarded calls. */
export class NodePeerHandler implements PeerHandler {
    private constructor(private readonly dependencies: NodePeerHandlerDependencies) {}

    static create(dependencies: NodePeerHandlerDependencies): NodePeerHandler {
        return new NodePeerHandler(dependencies);
    }

    async handleExchange(digest: NodeDigest): Promise<NodeDigestInit> {
        const hasUrgentUpdate = this.dependencies.digests.applyDigest(digest);
        if (hasUrgentUpdate) {
            // The sender continues the request only after this response, so that all nodes of the failure domain have the crash record by then.
            await this.dependencies.notifier.sendUrgentDigest();
        }
        return this.dependencies.digests.createDigest();
    }

    createSharedObjectsResponse(known: readonly ObjectRevision[]): FetchSharedObjectsResponseInit {
        return this.dependencies.replicator.createResponse(known);
    }

    async adoptRequest(message: AdoptRequestRequest): Promise<boolean> {
        if (!this.dependencies.gate.isAccepting()) {
            return false;
        }
        const stored = storedRequestSchema.safeParse(JSON.parse(message.requestJson));
        if (!stored.success || this.dependencies.table.findRecord(message.requestId)?.getEnd()?.outcome === RequestOutcome.Finished) {
            return false;
        }
        return this.dependencies.service.adoptRequest(decodeRequest(stored.data), message.tokens);
    }

    async *followRequest(requestId: string, offset: number, signal: AbortSignal): AsyncIterable<FollowRequestEventInit> {
        const record = this.dependencies.table.findRecord(requestId);
        if (record === undefined || record.getEnd()?.outcome === RequestOutcome.HandedOver) {
            return;
        }
        const finishResponse = this.dependencies.table.addOpenResponse();
        this.dependencies.service.addReader(record);
        try {
            // The first event confirms that this node has the request, and names its team.
            yield { event: { case: "start", value: { requestJson: JSON.stringify(createRequestHead(record.request)) } } };
            let nextIndex = offset;
            while (!signal.aborted) {
                for (; nextIndex < record.tokens.length; nextIndex += 1) {
                    yield { event: { case: "token", value: { index: nextIndex, text: record.tokens[nextIndex] as string } } };
                }
                const end = record.getEnd();
                if (end !== undefined) {
                    yield createEndEvent(record);
                    return;
                }
                await record.waitForChange(nextIndex, signal);
            }
        }
        finally {
            this.dependencies.service.removeReader(record);
            finishResponse();
        }
    }

    async forwardCall(call: ForwardCallRequest): Promise<ForwardCallResponseInit> {
        const service = this.dependencies.configuration.findService(call.service);
        if (service === undefined || !this.dependencies.gate.isAccepting()) {
            return createRefusal(Diagnostics.Service_0_is_not_declared.code, "the peer does not declare the service or is shutting down");
        }
        const span = this.dependencies.tracing.startSpanFromHeaders("forwarded call", { traceparent: call.traceparent });
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
            arrivedAt: this.dependencies.clock.getWallTime(),
            fingerprint: hashCall(call.service, call.method, call.path, body),
        };
        const finishResponse = this.dependencies.table.addOpenResponse();
        const result = await this.dependencies.plainCalls.runCall(request, service, history, span, new AbortController().signal, true)
            .finally(finishResponse);
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
        const explanation = this.dependencies.table.findExplanation(requestId);
        return explanation === undefined ? undefined : JSON.stringify(explanation);
    }
}

function createRefusal(code: number, text: string): ForwardCallResponseInit {
    return { status: 0, verdict: Verdict.NotRun, failureCode: code, failureText: text };
}

function createRequestHead(request: ModelRequest): unknown {
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
