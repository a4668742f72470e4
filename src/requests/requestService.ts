import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Metrics } from "../common/metrics.js";
import { Ok, Result } from "../common/results.js";
import { Span, Tracing } from "../common/tracing.js";
import { Verdict } from "../common/verdict.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { ServiceDeclaration } from "../config/types.js";
import { Draft, DraftOwner, DraftState, DraftStore } from "./commands/draftStore.js";
import { ModelRequestRunner } from "./commands/modelRequestRunner.js";
import { RequestRecord } from "./requestRecord.js";
import { RequestTable } from "./requestTable.js";
import { ModelRequest, RequestOutcome } from "./types.js";

/** Time for which a generation goes on after its caller went away, so that the caller can attach again, in milliseconds. */
const reattachGraceMilliseconds = 10_000;

/** The parts of a node that the request service needs. */
export interface RequestServiceParts {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly table: RequestTable;
    readonly runner: ModelRequestRunner;
    readonly drafts: DraftStore;
    readonly owner: DraftOwner;
}

/** Starts generations, keeps them running without their callers, and finds them again. */
export class RequestService {
    private readonly stopping = new AbortController();
    private readonly draftIds = new Set<string>();

    private constructor(private readonly parts: RequestServiceParts) {}

    static create(parts: RequestServiceParts): RequestService {
        return new RequestService(parts);
    }

    /** Starts a generation; the record that is returned ends when it does. */
    startRequest(request: ModelRequest, service: ServiceDeclaration, span: Span, tokens: readonly string[] = []): RequestRecord {
        const record = RequestRecord.create(request, span, tokens);
        this.parts.table.addRecord(record);
        record.history.hops.push(this.parts.owner.name);
        void this.runRecord(record, service);
        return record;
    }

    /** Stores a generation with the platform and starts it; it is accepted only when it is stored. */
    async startDraft(request: ModelRequest, service: ServiceDeclaration, span: Span): Promise<Result<RequestRecord, Failure>> {
        const stored = await this.parts.drafts.storeRequest(request, this.parts.owner);
        if (stored.err) {
            span.end();
            return stored;
        }
        return Ok(this.runDraft(request, service, span, []));
    }

    /** Takes over a stored generation whose owner is gone. */
    async adoptDraft(draft: Draft, tokens: readonly string[] = []): Promise<boolean> {
        const service = this.parts.configuration.findService(draft.request.service);
        if (service === undefined || draft.state !== DraftState.Pending || this.draftIds.has(draft.request.id)) {
            return false;
        }
        const adopted = await this.parts.drafts.adoptDraft(draft, this.parts.owner);
        this.parts.metrics.adoptions.inc({ outcome: adopted.ok ? "adopted" : "lost-race" });
        if (adopted.err) {
            return false;
        }
        const span = this.parts.tracing.startSpanFromHeaders("adopted request", {});
        this.runDraft(draft.request, service, span, tokens);
        return true;
    }

    /** Takes over a generation that another node hands on. */
    async adoptRequest(request: ModelRequest, tokens: readonly string[]): Promise<boolean> {
        const service = this.parts.configuration.findService(request.service);
        if (service === undefined || this.stopping.signal.aborted) {
            return false;
        }
        if (request.isAsync) {
            const draft = await this.parts.drafts.findDraft(request.id);
            if (draft.ok && draft.val !== undefined) {
                return this.adoptDraft(draft.val, tokens);
            }
            return false;
        }
        this.parts.metrics.adoptions.inc({ outcome: "handed-over" });
        const span = this.parts.tracing.startSpanFromHeaders("adopted request", {});
        const record = this.startRequest(request, service, span, tokens);
        this.scheduleCancel(record);
        return true;
    }

    /** Notes that a caller reads from a record. */
    addReader(record: RequestRecord): void {
        record.readerCount += 1;
    }

    /** Notes that a caller has stopped reading; without another reader the generation is cancelled after a while. */
    removeReader(record: RequestRecord): void {
        record.readerCount -= 1;
        if (record.readerCount === 0 && record.getEnd() === undefined) {
            this.scheduleCancel(record);
        }
    }

    /** Returns whether this node owns stored generations now. */
    hasDrafts(): boolean {
        return this.draftIds.size > 0;
    }

    stop(): void {
        this.stopping.abort();
    }

    private runDraft(request: ModelRequest, service: ServiceDeclaration, span: Span, tokens: readonly string[]): RequestRecord {
        this.draftIds.add(request.id);
        const record = this.startRequest(request, service, span, tokens);
        void this.storeDraftEnd(record);
        return record;
    }

    private async storeDraftEnd(record: RequestRecord): Promise<void> {
        const unsignalled = new AbortController().signal;
        while (record.getEnd() === undefined) {
            await record.waitForChange(record.tokens.length, unsignalled);
        }
        if (record.getEnd()?.outcome !== RequestOutcome.HandedOver) {
            await this.parts.drafts.storeEnd(record, this.parts.owner, this.stopping.signal);
        }
        this.draftIds.delete(record.request.id);
    }

    private scheduleCancel(record: RequestRecord): void {
        if (record.request.isAsync) {
            return;
        }
        setTimeout(() => {
            if (record.readerCount === 0) {
                record.cancellation.abort();
            }
        }, reattachGraceMilliseconds).unref();
    }

    private async runRecord(record: RequestRecord, service: ServiceDeclaration): Promise<void> {
        const { metrics, table, tracing } = this.parts;
        try {
            await this.parts.runner.runRequest(record, service);
        }
        catch (error) {
            record.finishWithFailure(
                Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, String(error)),
            );
        }
        const end = record.getEnd();
        const outcome = end?.outcome ?? RequestOutcome.Failed;
        if (end?.failure !== undefined) {
            tracing.recordFailure(record.span, end.failure.text);
        }
        record.span.setAttributes({
            "corianderward.attempts": record.history.attempts.length,
            "corianderward.verdict": record.history.verdict,
        });
        record.span.end();
        metrics.requests.inc({ service: service.name, team: record.request.team, outcome, verdict: record.history.verdict });
        table.finishRecord(record);
    }
}
