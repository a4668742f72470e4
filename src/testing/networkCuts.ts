import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Err, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress } from "../config/types.js";
import { CacheEvents, EngineModels, EngineOrder, ModelEndpointClient, TokenSink } from "../endpoints/modelEndpoint.js";
import { PlainEndpointClient } from "../endpoints/plainEndpoint.js";
import { GenerationAttempt, GenerationEnd, LoadReport, PlainCall, PlainResponse } from "../endpoints/types.js";
import {
    AdoptRequestInit,
    ExplainRequestResponse,
    FetchSharedObjectsResponse,
    FollowRequestEvent,
    ForwardCallInit,
    ForwardCallResponse,
    NodeDigest,
    NodeDigestInit,
    ObjectRevisionInit,
    PeerLink,
    PeerResult,
} from "../peers/types.js";

/** How long a call into a cut takes to fail, in milliseconds. */
const cutDelayMilliseconds = 300;

/** Which failure domains cannot reach which others. A cut has a direction. */
export class NetworkCuts {
    private readonly cuts = new Set<string>();
    private readonly domainOf = new Map<string, string>();

    private constructor(readonly clock: Clock) {}

    static create(clock: Clock): NetworkCuts {
        return new NetworkCuts(clock);
    }

    /** Notes in which failure domain an address is. */
    addAddress(address: NetworkAddress, domain: string): void {
        this.domainOf.set(formatAddress(address), domain);
    }

    /** Cuts what one domain sends to another. */
    addCut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    /** Cuts two domains off from each other. */
    addMutualCut(left: string, right: string): void {
        this.addCut(left, right);
        this.addCut(right, left);
    }

    removeCuts(): void {
        this.cuts.clear();
    }

    isCut(from: string, to: NetworkAddress): boolean {
        return this.cuts.has(`${from}>${this.domainOf.get(formatAddress(to)) ?? ""}`);
    }

    /** Says whether the answers from an address to a domain are lost. */
    isAnswerCut(from: string, to: NetworkAddress): boolean {
        return this.cuts.has(`${this.domainOf.get(formatAddress(to)) ?? ""}>${from}`);
    }

    /** Makes a call from a domain; inside a cut it fails, after its effect when only the answer is lost. */
    async runCall<T>(
        from: string,
        to: NetworkAddress,
        verdict: Verdict,
        call: () => Promise<Result<T, Failure>>,
    ): Promise<Result<T, Failure>> {
        if (this.isCut(from, to)) {
            await this.clock.sleep(cutDelayMilliseconds);
            return Err(Failure.create(verdict, Diagnostics.Endpoint_refused_the_connection_0, "cut off"));
        }
        const result = await call();
        if (this.isAnswerCut(from, to)) {
            await this.clock.sleep(cutDelayMilliseconds);
            return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "answer cut off"));
        }
        return result;
    }
}

/** A peer link that respects cuts. */
export class CuttablePeerLink implements PeerLink {
    private constructor(private readonly inner: PeerLink, private readonly domain: string, private readonly cuts: NetworkCuts) {}

    static create(inner: PeerLink, domain: string, cuts: NetworkCuts): CuttablePeerLink {
        return new CuttablePeerLink(inner, domain, cuts);
    }

    exchangeDigests(address: NetworkAddress, digest: NodeDigestInit): Promise<PeerResult<NodeDigest>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.exchangeDigests(address, digest));
    }

    fetchSharedObjects(address: NetworkAddress, known: readonly ObjectRevisionInit[]): Promise<PeerResult<FetchSharedObjectsResponse>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.fetchSharedObjects(address, known));
    }

    adoptRequest(address: NetworkAddress, request: AdoptRequestInit): Promise<PeerResult<boolean>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.adoptRequest(address, request));
    }

    async *followRequest(
        address: NetworkAddress,
        requestId: string,
        offset: number,
        signal: AbortSignal,
    ): AsyncIterable<FollowRequestEvent> {
        if (this.cuts.isCut(this.domain, address)) {
            await this.cuts.clock.sleep(cutDelayMilliseconds, signal);
            return;
        }
        yield* this.inner.followRequest(address, requestId, offset, signal);
    }

    forwardCall(address: NetworkAddress, call: ForwardCallInit, timeLimit: number): Promise<PeerResult<ForwardCallResponse>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.forwardCall(address, call, timeLimit));
    }

    describeRequest(address: NetworkAddress, requestId: string): Promise<PeerResult<ExplainRequestResponse>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.describeRequest(address, requestId));
    }

    stop(): void {
        this.inner.stop();
    }
}

/** An engine client that respects cuts. */
export class CuttableModelClient implements ModelEndpointClient {
    private constructor(private readonly inner: ModelEndpointClient, private readonly domain: string, private readonly cuts: NetworkCuts) {}

    static create(inner: ModelEndpointClient, domain: string, cuts: NetworkCuts): CuttableModelClient {
        return new CuttableModelClient(inner, domain, cuts);
    }

    runGeneration(
        address: NetworkAddress,
        attempt: GenerationAttempt,
        sink: TokenSink,
        signal: AbortSignal,
    ): Promise<Result<GenerationEnd, Failure>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.runGeneration(address, attempt, sink, signal));
    }

    cancelGeneration(address: NetworkAddress, attemptId: string): Promise<void> {
        return this.inner.cancelGeneration(address, attemptId);
    }

    exportCache(address: NetworkAddress, attemptId: string, timeLimit: number): Promise<Result<string, Failure>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.exportCache(address, attemptId, timeLimit));
    }

    fetchLoad(address: NetworkAddress, timeLimit: number): Promise<Result<LoadReport, Failure>> {
        return this.cuts.runCall(this.domain, address, Verdict.MayHaveRun, () => this.inner.fetchLoad(address, timeLimit));
    }

    fetchCacheEvents(address: NetworkAddress, afterSequence: number, timeLimit: number): Promise<Result<CacheEvents, Failure>> {
        return this.cuts.runCall(
            this.domain,
            address,
            Verdict.NotRun,
            () => this.inner.fetchCacheEvents(address, afterSequence, timeLimit),
        );
    }

    sendOrder(address: NetworkAddress, order: EngineOrder, timeLimit: number): Promise<Result<void, Failure>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.sendOrder(address, order, timeLimit));
    }

    fetchModels(address: NetworkAddress, timeLimit: number): Promise<Result<EngineModels, Failure>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.fetchModels(address, timeLimit));
    }
}

/** A client of plain services that respects cuts. */
export class CuttablePlainClient implements PlainEndpointClient {
    private constructor(private readonly inner: PlainEndpointClient, private readonly domain: string, private readonly cuts: NetworkCuts) {}

    static create(inner: PlainEndpointClient, domain: string, cuts: NetworkCuts): CuttablePlainClient {
        return new CuttablePlainClient(inner, domain, cuts);
    }

    sendCall(
        address: NetworkAddress,
        call: PlainCall,
        signal: AbortSignal,
        handleSilence?: () => void,
    ): Promise<Result<PlainResponse, Failure>> {
        return this.cuts.runCall(this.domain, address, Verdict.NotRun, () => this.inner.sendCall(address, call, signal, handleSilence));
    }
}
