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

/** Time for which a generation continues after its caller disconnected, so that the caller can attach again. */
const reattachGraceMilliseconds = 10_000;

/** Dependencies of the request service. */
export interface RequestServiceDependencies {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly table: RequestTable;
    readonly runner: ModelRequestRunner;
    readonly drafts: DraftStore;
    readonly owner: DraftOwner;
}

/** Starts and adopts generations, and keeps them running for a time after their callers disconnected. */
export class RequestService {
    private readonly stopping = new AbortController();
    private readonly ownedDraftIds = new Set<string>();

    private constructor(private readonly dependencies: RequestServiceDependencies) {}

    static create(dependencies: RequestServiceDependencies): RequestService {
        return new RequestService(dependencies);
    }

    /** Starts a generation, after the given tokens if any, and returns its record at once. */
    startRequest(request: ModelRequest, service: ServiceDeclaration, span: Span, tokens: readonly string[] = []): RequestRecord {
        const record = RequestRecord.create(request, span, tokens);
        this.dependencies.table.addRecord(record);
        record.history.hops.push(this.dependencies.owner.name);
        void this.runRecord(record, service);
        return record;
    }

    /** Stores an asynchronous generation with the platform, then starts it. Fails without starting it if it could not be stored. */
    async startDraft(request: ModelRequest, service: ServiceDeclaration, span: Span): Promise<Result<RequestRecord, Failure>> {
        const stored = await this.dependencies.drafts.storeRequest(request, this.dependencies.owner);
        if (stored.err) {
            span.end();
            return stored;
        }
        return Ok(this.runDraft(request, service, span, []));
    }

    /** Adopts a stored generation whose owner was lost; returns false if another node adopted it first or it cannot run here. */
    async adoptDraft(draft: Draft, tokens: readonly string[] = []): Promise<boolean> {
        const service = this.dependencies.configuration.findService(draft.request.service);
        if (service === undefined || draft.state !== DraftState.Pending || this.ownedDraftIds.has(draft.request.id)) {
            return false;
        }
        const adopted = await this.dependencies.drafts.adoptDraft(draft, this.dependencies.owner);
        this.dependencies.metrics.adoptions.inc({ outcome: adopted.ok ? "adopted" : "lost-race" });
        if (adopted.err) {
            return false;
        }
        const span = this.dependencies.tracing.startSpanFromHeaders("adopted request", {});
        this.runDraft(draft.request, service, span, tokens);
        return true;
    }

    /** Adopts a generation that a peer hands over; returns false if this node cannot run it. */
    async adoptRequest(request: ModelRequest, tokens: readonly string[]): Promise<boolean> {
        const service = this.dependencies.configuration.findService(request.service);
        if (service === undefined || this.stopping.signal.aborted) {
            return false;
        }
        if (request.isAsync) {
            const draft = await this.dependencies.drafts.findDraft(request.id);
            if (draft.ok && draft.val !== undefined) {
                return this.adoptDraft(draft.val, tokens);
            }
            return false;
        }
        this.dependencies.metrics.adoptions.inc({ outcome: "handed-over" });
        const span = this.dependencies.tracing.startSpanFromHeaders("adopted request", {});
        const record = this.startRequest(request, service, span, tokens);
        this.scheduleCancel(record);
        return true;
    }

    /** Counts a caller that starts to read from a record. */
    addReader(record: RequestRecord): void {
        record.readerCount += 1;
    }

    /** Counts a caller that stopped reading; without another reader the generation is cancelled after the grace time. */
    removeReader(record: RequestRecord): void {
        record.readerCount -= 1;
        if (record.readerCount === 0 && record.getEnd() === undefined) {
            this.scheduleCancel(record);
        }
    }

    /** Returns whether this node runs stored generations now. */
    hasDrafts(): boolean {
        return this.ownedDraftIds.size > 0;
    }

    /** Ends the running generations with a failure because the node stops. Another node adopts those that are stored. */
    endRequests(): void {
        for (const record of this.dependencies.table.listActive()) {
            record.isHandedOver ||= record.request.isAsync;
            record.isEndedByStop = true;
            record.cancellation.abort();
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    private runDraft(request: ModelRequest, service: ServiceDeclaration, span: Span, tokens: readonly string[]): RequestRecord {
        this.ownedDraftIds.add(request.id);
        const record = this.startRequest(request, service, span, tokens);
        void this.storeDraftEnd(record);
        return record;
    }

    private async storeDraftEnd(record: RequestRecord): Promise<void> {
        const neverAborted = new AbortController().signal;
        while (record.getEnd() === undefined) {
            await record.waitForChange(record.tokens.length, neverAborted);
        }
        if (record.getEnd()?.outcome !== RequestOutcome.HandedOver) {
            await this.dependencies.drafts.storeEnd(record, this.dependencies.owner, this.stopping.signal);
        }
        this.ownedDraftIds.delete(record.request.id);
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
        const { metrics, table, tracing } = this.dependencies;
        try {
            await this.dependencies.runner.runRequest(record, service);
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
