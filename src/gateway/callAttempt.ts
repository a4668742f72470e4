import { IncomingMessage } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { readFraming, ResponseFraming } from "../endpoints/responseEnd.js";
import { AnsweredRequest, FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptShape } from "../fleet/types.js";
import { PromptObservation } from "../placement/engineSpeeds.js";
import { EndpointExchange, EndpointNotice } from "./endpointExchange.js";
import { BufferingResponseRelay, isEventStream, RelayOutcome } from "./responseRelay.js";
import { AttemptOptions, AttemptResult, AttemptSilence, CallAttemptDependencies, IncomingCall } from "./types.js";

const statusServerError = 500;
const statusGatewayTimeout = 504;
/** Time for which a stream runs on after its first event before it counts as harmless, in milliseconds; a poison request crashes its endpoint soon. */
const harmlessRunMilliseconds = 1_000;
/** Interval at which an attempt checks the silence of its endpoint and its connection, in milliseconds. */
const silenceCheckMilliseconds = 250;
/** Silence of an endpoint after which the network path to it is checked, in milliseconds. */
const pathCheckMilliseconds = 500;
/** Silence limit of an endpoint that accepts no connections, in milliseconds; one that does may go on. */
const lostPathSilenceMilliseconds = 900;
/** Time by which an answered request must have been sent later than one that waits, to raise doubt about the connection of the latter, in milliseconds. */
const minimumOvertakingMilliseconds = 500;
/** The same as a multiple of the expected time: engines do not answer in the order of arrival. */
const overtakingTimeRatio = 2;
/** Number of such requests that raise the doubt; urgent and small ones do not count, since endpoints serve them first. */
const overtakingRequests = 2;
/** Lower bound of the expected time that a response time is compared with; shorter times are mostly network latency. */
const minimumExpectedMilliseconds = 30;

/** Urgency values sent to engines for the first and the last rank; smaller is more urgent. */
const mostUrgent = 2;
const leastUrgent = 9;

/** Sends a call to one endpoint, relays the response, and records the outcome for the endpoint, its version and the request. */
export class CallAttempt {
    private readonly abortController = new AbortController();
    private readonly endpoint: FleetEndpoint;
    private exchange: EndpointExchange | undefined;
    private readonly sentAt: number;
    /** Slowness of the endpoint's host that the expected time already contains. */
    private readonly expectedSlowness: number;
    private firstEventAt: number | undefined;
    private lastReceivedAt: number;
    /** Whether the request has got past the point at which a poison request crashes its endpoint. */
    private isHarmless = false;
    /** Whether nothing has been received from the endpoint, on any connection, for longer than the silence limit. */
    private isSilent = false;
    /** Whether it was aborted because another attempt serves the call. */
    private isSuperseded = false;
    /** Time of the last data at the check before. */
    private receivedAtCheck: number;
    private quietChecks = 0;
    private hasCheckedPath = false;
    private isPathLost = false;
    private isPastDeadline = false;
    private isConnectionReused = false;
    /** Whether the endpoint is known to have the prompt's parts. */
    private hasRecordedParts = false;
    private framing: ResponseFraming | undefined;
    private unprocessedPromptTokens: number;
    /** Undefined if the time to the first event does not show the engine's speed. */
    private readonly promptObservation: PromptObservation | undefined;

    private constructor(private readonly dependencies: CallAttemptDependencies, private readonly options: AttemptOptions) {
        this.endpoint = options.placement.endpoint;
        this.unprocessedPromptTokens = options.placement.tokensToRead;
        this.sentAt = dependencies.clock.getMonotonicTime();
        this.expectedSlowness = this.endpoint.slowness.computeFactor(this.sentAt);
        this.lastReceivedAt = this.sentAt;
        this.receivedAtCheck = this.sentAt;
        const isWholeStream = options.stream !== undefined && options.lastEventId === undefined;
        this.promptObservation = isWholeStream
            ? dependencies.engineSpeeds.startObservation(options.placement, this.sentAt)
            : undefined;
    }

    static create(dependencies: CallAttemptDependencies, options: AttemptOptions): CallAttempt {
        return new CallAttempt(dependencies, options);
    }

    /** Runs the attempt until the response is relayed or the attempt has failed. */
    async run(): Promise<AttemptResult> {
        const { dependencies, options } = this;
        const abort = () => this.abortController.abort();
        const disconnectSignal = options.caller.getDisconnectSignal();
        disconnectSignal.addEventListener("abort", abort);
        const deadlineTimer = setTimeout(() => {
            this.isPastDeadline = true;
            abort();
        }, Math.max(1, options.deadline - this.sentAt));
        const silenceTimer = setInterval(() => this.checkSilence(), silenceCheckMilliseconds);
        this.addLoad();
        const permit = dependencies.warmingEndpoints.takePermit(this.endpoint);
        try {
            const result = await this.sendRequest();
            if (permit !== undefined && (!result.mayHaveArrived || this.isMisdirected(result))) {
                dependencies.warmingEndpoints.releasePermit(permit);
            }
            return result;
        }
        finally {
            this.removeLoad();
            clearTimeout(deadlineTimer);
            clearInterval(silenceTimer);
            disconnectSignal.removeEventListener("abort", abort);
        }
    }

    /** Aborts the attempt, since another one serves the call. */
    abort(): void {
        this.isSuperseded = true;
        if (this.options.isRacing() && !this.isSilent) {
            this.recordLostRace();
        }
        this.abortController.abort();
    }

    /** Records the first event of the stream, which shows that the engine has processed the prompt. Later calls have no effect. */
    recordFirstEvent(): void {
        if (this.firstEventAt !== undefined) {
            return;
        }
        this.firstEventAt = this.dependencies.clock.getMonotonicTime();
        this.removePromptLoad();
        const { prompt } = this.options.call;
        if (prompt !== undefined && !this.hasRecordedParts) {
            this.recordPromptParts(prompt);
        }
        this.recordServed(this.firstEventAt);
        if (this.promptObservation !== undefined) {
            this.dependencies.engineSpeeds.recordFirstEvent(this.promptObservation, this.firstEventAt);
        }
    }

    private async sendRequest(): Promise<AttemptResult> {
        const { dependencies, options } = this;
        const { call } = options;
        const timeLeft = options.deadline - this.sentAt;
        const hop = call.span.startHop(this.endpoint.entry.id);
        const exchange = EndpointExchange.create(
            {
                call,
                endpoint: this.endpoint,
                headers: dependencies.headers.createHeaders(call, {
                    endpointId: this.endpoint.entry.id,
                    timeLeft,
                    lastEventId: options.lastEventId,
                    urgency: call.prompt === undefined ? undefined : computeUrgency(call, options.placement.expectedTime),
                    cacheSource: this.getCacheSource(),
                    traceHeaders: hop.createHeaders(),
                }),
                connections: dependencies.connections,
                expectedTime: options.placement.expectedTime,
                connectTimeout: Math.min(dependencies.timing.connectTimeout, timeLeft),
                silenceLimit: timeLeft,
                signal: this.abortController.signal,
            },
            dependencies.protocol,
            dependencies.crashCheck,
        );
        this.exchange = exchange;
        try {
            const sent = await exchange.sendRequest();
            this.applyNotice(exchange.getNotice());
            const result = sent.err ? this.handleFailure(sent.val, exchange) : await this.relayResponse(sent.val, exchange);
            hop.end(result.failure?.text);
            return result;
        }
        finally {
            exchange.close();
        }
    }

    /** Applies what the endpoint said of itself: it gets nothing new if it is leaving, or for the time for which it asked. */
    private applyNotice(notice: EndpointNotice | undefined): void {
        if (notice === undefined) {
            return;
        }
        this.dependencies.brittleEndpoints.recordRejectionLimit(this.endpoint.entry.service, notice.rejectionLimit);
        if (notice.isLeaving) {
            this.dependencies.directory.markLeaving(this.endpoint, "own request");
        }
        if (notice.requestedPause !== undefined) {
            this.endpoint.recordRequestedPause(this.dependencies.clock.getMonotonicTime() + notice.requestedPause);
        }
    }

    /** Returns whether another process answered at the endpoint's address. */
    private isMisdirected({ failure }: AttemptResult): boolean {
        return failure?.message === Diagnostics.Another_endpoint_has_the_address;
    }

    private getCacheSource(): string | undefined {
        const { cacheSource } = this.options.placement;
        return cacheSource === undefined ? undefined : formatAddress(cacheSource.entry.address);
    }

    private async relayResponse(response: IncomingMessage, exchange: EndpointExchange): Promise<AttemptResult> {
        const { options } = this;
        if (this.isSuperseded) {
            return this.handleTruncatedResponse(exchange);
        }
        this.recordActivity();
        this.framing = readFraming(response);
        const load = exchange.readLoad(response);
        if (load !== undefined) {
            this.endpoint.recordLoad(load, this.lastReceivedAt);
        }
        const status = response.statusCode ?? 0;
        if (status >= statusServerError && status !== statusGatewayTimeout) {
            this.endpoint.recordErrorResponse();
            this.recordVersionAttempt(false, undefined);
            if (options.mayRetry() && !options.caller.hasStarted()) {
                return this.discardFailure(response, exchange);
            }
        }
        const relay = isEventStream(status, response.headers["content-type"]) ? options.stream : undefined;
        if (relay === undefined && options.caller.hasStarted()) {
            // The caller has a part of a stream; the document of a failure cannot continue it.
            return this.discardFailure(response, exchange);
        }
        if (relay === undefined || !options.isRacing()) {
            options.handleResponse();
        }
        for (const event of ["data", "end"]) {
            response.on(event, () => {
                this.recordActivity();
                options.handleResponse();
            });
        }
        const outcome = await (relay ?? BufferingResponseRelay.create(options.caller)).forwardResponse(response, exchange);
        if (outcome !== RelayOutcome.Complete) {
            return this.handleTruncatedResponse(exchange);
        }
        this.recordCompleteResponse(status);
        if (status < statusServerError) {
            this.recordHarmless();
        }
        return this.createResult(undefined);
    }

    /** Discards a failure's document, so that its connection can be reused. */
    private discardFailure(response: IncomingMessage, exchange: EndpointExchange): AttemptResult {
        response.on("error", () => exchange.close());
        response.resume();
        return this.createResult(Failure.create(Verdict.Ran, Diagnostics.Endpoint_failed_with_status_0, response.statusCode ?? 0));
    }

    private recordCompleteResponse(status: number): void {
        if (status >= statusServerError || this.options.stream !== undefined) {
            return;
        }
        const completedAt = this.dependencies.clock.getMonotonicTime();
        this.recordServed(completedAt);
        if (this.endpoint.countRequests() <= this.endpoint.entry.slots) {
            this.dependencies.callPlacement.recordCallTime(this.options.call.service, completedAt - this.sentAt);
        }
    }

    /** Records the first event of a stream, or a complete response, as a success of the endpoint and its version. */
    private recordServed(servedAt: number): void {
        const timeRatio = this.computeTimeRatio(servedAt);
        this.endpoint.recordAnswer(this.describeRequest(this.sentAt));
        this.endpoint.recordSuccess(timeRatio / this.computeUnexpectedSlowness(servedAt));
        this.recordVersionAttempt(true, timeRatio);
    }

    /** Records that the endpoint took at least the time until now, which would be unknown otherwise. */
    private recordLostRace(): void {
        const now = this.dependencies.clock.getMonotonicTime();
        const timeRatio = this.computeTimeRatio(now);
        if (timeRatio > 1 && this.firstEventAt === undefined) {
            this.endpoint.recordLatency(timeRatio / this.computeUnexpectedSlowness(now));
            this.recordVersionAttempt(true, timeRatio);
        }
    }

    private recordHarmless(): void {
        this.isHarmless = true;
        this.dependencies.poisonRequestDetector.recordSuccess(this.options.call);
    }

    /** Counts the loss of the connection against the request, unless it ran on for so long that it is not the cause. */
    private recordLoss(): void {
        if (!this.isHarmless) {
            this.dependencies.poisonRequestDetector.recordLoss(this.endpoint, this.options.call);
        }
    }

    /** Returns the time since the attempt was sent as a multiple of the expected time. */
    private computeTimeRatio(at: number): number {
        return (at - this.sentAt) / Math.max(minimumExpectedMilliseconds, this.options.placement.expectedTime);
    }

    /** Returns how much slower than expected the endpoint's host has become; that passes soon and is no property of the endpoint. */
    private computeUnexpectedSlowness(at: number): number {
        return Math.max(1, this.endpoint.slowness.computeFactor(at) / this.expectedSlowness);
    }

    private handleTruncatedResponse(exchange: EndpointExchange): AttemptResult {
        if (!this.abortController.signal.aborted) {
            this.endpoint.recordMissingResponse(this.dependencies.clock.getMonotonicTime());
            this.recordLoss();
        }
        this.isConnectionReused = exchange.isConnectionReused();
        if (this.isSuperseded) {
            return this.createResult(this.createSupersededFailure(Verdict.MayHaveRun));
        }
        return this.createResult(Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_broke_off));
    }

    private createSupersededFailure(verdict: Verdict): Failure {
        if (!this.isSilent) {
            return Failure.create(verdict, Diagnostics.Another_attempt_serves_the_request);
        }
        const { connection } = this.getSilence();
        return Failure.create(verdict, Diagnostics.Endpoint_sent_nothing_for_0_milliseconds, Math.round(connection));
    }

    private handleFailure(failure: Failure, exchange: EndpointExchange): AttemptResult {
        const { dependencies, options } = this;
        const now = dependencies.clock.getMonotonicTime();
        if (this.isPastDeadline && this.firstEventAt === undefined) {
            // A missed deadline is evidence of a slow version, not of a failure.
            this.recordVersionAttempt(true, this.computeTimeRatio(now));
        }
        const { code } = failure.message;
        if (code === Diagnostics.Another_endpoint_has_the_address.code) {
            dependencies.directory.markRemoved(this.endpoint, "own request");
        }
        else if (code === Diagnostics.Endpoint_refused_before_running_0.code) {
            this.recordActivity();
            this.endpoint.recordRefusal(now, dependencies.brittleEndpoints.computePauseAfterRejection(this.endpoint.entry.service));
        }
        else if (code === Diagnostics.Endpoint_failed_with_status_0.code) {
            this.endpoint.recordErrorResponse();
        }
        else if (!options.caller.isCallerDisconnected() && (this.isSilent || !this.isSuperseded) && !this.isEvacuatedUnsent(exchange)) {
            this.endpoint.recordMissingResponse(now);
            this.recordPathEvidence(exchange);
            this.recordCrashEvidence(code, exchange);
        }
        this.isConnectionReused = exchange.isConnectionReused();
        if (this.isSuperseded) {
            return this.createResult(this.createSupersededFailure(failure.verdict));
        }
        const mayHaveArrived = failure.verdict !== Verdict.NotRun || exchange.hasConnection();
        return this.createResult(failure, mayHaveArrived);
    }

    /** Returns whether the request was not sent because its endpoint's failure domain is evacuated: that is no evidence against the endpoint. */
    private isEvacuatedUnsent(exchange: EndpointExchange): boolean {
        return !exchange.hasConnection() && this.dependencies.evacuations.isEvacuated(this.endpoint.entry.failureDomain);
    }

    private recordPathEvidence(exchange: EndpointExchange): void {
        const hasNoConnection = !exchange.hasConnection() && !this.abortController.signal.aborted;
        if (hasNoConnection || (this.isSilent && this.isSuperseded)) {
            this.dependencies.paths.recordFailure(this.endpoint);
        }
        if (hasNoConnection) {
            this.recordUnreachable(this.sentAt);
        }
    }

    /** Records that the endpoint accepted no connection since a time, unless it sent data meanwhile or the node's own path is lost. */
    private recordUnreachable(since: number): void {
        const { clock, paths } = this.dependencies;
        if (this.endpoint.lastReceivedAt <= since && !paths.isUnreachable(this.endpoint.entry.service)) {
            this.endpoint.recordUnreachable(clock.getMonotonicTime());
        }
    }

    private recordCrashEvidence(code: number, exchange: EndpointExchange): void {
        const { dependencies } = this;
        if (!exchange.hasConnection()) {
            void dependencies.poisonRequestDetector.checkEndpoint(this.endpoint);
            return;
        }
        if (code === Diagnostics.Connection_was_lost_after_the_request_was_sent_0.code && !this.abortController.signal.aborted) {
            this.recordLoss();
        }
    }

    /** Records a success or failure of the endpoint's version. Lost connections are not recorded: endpoints are lost on any version. */
    private recordVersionAttempt(hasSucceeded: boolean, timeRatio: number | undefined): void {
        const { entry } = this.endpoint;
        const { call } = this.options;
        this.dependencies.versions.recordAttempt({
            service: call.service,
            route: call.route.name,
            version: entry.version,
            load: this.endpoint.countRequests() / entry.slots,
            hasSucceeded,
            // The times of both versions are compared as multiples of the same speed, whenever another one was learned.
            timeRatio: timeRatio === undefined ? undefined : timeRatio / this.dependencies.engineSpeeds.getFactor(call.service),
        });
    }

    private createResult(failure: Failure | undefined, mayHaveArrived = true): AttemptResult {
        const { isPastDeadline, isConnectionReused, framing, sentAt } = this;
        return { failure, mayHaveArrived, isPastDeadline, isConnectionReused, silence: this.getSilence(), framing, sentAt };
    }

    private getSilence(): AttemptSilence {
        const now = this.dependencies.clock.getMonotonicTime();
        return { connection: now - this.lastReceivedAt, endpoint: now - Math.max(this.lastReceivedAt, this.endpoint.lastReceivedAt) };
    }

    private recordActivity(): void {
        this.lastReceivedAt = this.dependencies.clock.getMonotonicTime();
        this.endpoint.recordContact(this.lastReceivedAt);
        this.hasCheckedPath = false;
        this.isPathLost = false;
        this.isSilent = false;
        this.dependencies.paths.recordContact(this.endpoint);
        if (!this.isHarmless && this.firstEventAt !== undefined && this.lastReceivedAt - this.firstEventAt >= harmlessRunMilliseconds) {
            this.recordHarmless();
        }
    }

    /**
     * Reports when nothing has been received from the endpoint, on any of its connections or on that of the attempt, for too long,
     * again and again while that lasts. Checks the network path before that, also for attempts that only wait: later calls can avoid
     * a lost one.
     */
    private checkSilence(): void {
        const endpointSilence = this.countEndpointSilence();
        if (endpointSilence > pathCheckMilliseconds && !this.hasCheckedPath) {
            this.hasCheckedPath = true;
            void this.checkPath();
        }
        const limit = this.isPathLost ? lostPathSilenceMilliseconds : this.dependencies.timing.endpointSilence;
        this.isSilent = endpointSilence > limit;
        if (this.isSilent || this.isConnectionSilent(this.exchange?.getSilence() ?? 0)) {
            this.options.handleSilence();
        }
    }

    /**
     * Counts the checks, as milliseconds, since anything was received from the endpoint. The time itself would count a standstill of this
     * process too, and that of a caller who does not read.
     */
    private countEndpointSilence(): number {
        const receivedAt = Math.max(this.lastReceivedAt, this.endpoint.lastReceivedAt);
        const isQuiet = receivedAt === this.receivedAtCheck && this.exchange?.isWaitingForData() === true;
        this.receivedAtCheck = receivedAt;
        this.quietChecks = isQuiet ? this.quietChecks + 1 : 0;
        return this.quietChecks * silenceCheckMilliseconds;
    }

    /**
     * Returns whether the attempt's connection may carry nothing any more while others to the endpoint do: the events of its stream
     * have stopped, or the endpoint has answered several comparable requests that were sent much later. `silence` is in milliseconds.
     */
    private isConnectionSilent(silence: number): boolean {
        if (this.framing !== undefined) {
            return silence > this.dependencies.timing.endpointSilence;
        }
        const limit = Math.max(minimumOvertakingMilliseconds, this.options.placement.expectedTime * overtakingTimeRatio);
        return silence >= limit && this.endpoint.countAnswersAhead(this.describeRequest(this.sentAt + limit)) >= overtakingRequests;
    }

    private describeRequest(sentAt: number): AnsweredRequest {
        const { call, placement } = this.options;
        return { sentAt, rank: call.rank, tokens: placement.tokensToRead };
    }

    private async checkPath(): Promise<void> {
        const checkedSince = this.dependencies.clock.getMonotonicTime();
        this.isPathLost = !await this.dependencies.pathProber.checkEndpoint(this.endpoint);
        if (this.isPathLost) {
            this.recordUnreachable(checkedSince);
        }
    }

    private addLoad(): void {
        const { call, placement } = this.options;
        this.endpoint.running += 1;
        this.endpoint.promptTokens += placement.tokensToRead;
        // Beside another attempt the request is no further demand, and only its first event shows that the prompt is read here.
        if (call.prompt !== undefined && !this.options.isRacing()) {
            this.recordPromptParts(call.prompt);
            this.dependencies.work.recordWork(call.service, placement.tokensToRead, call.prompt.maxOutputTokens, call.route.priority);
        }
    }

    private recordPromptParts({ parts }: PromptShape): void {
        this.hasRecordedParts = true;
        parts.forEach(part => this.endpoint.cache.recordPart(part, this.sentAt));
        this.dependencies.placementUpdates.addPlacement(this.endpoint, parts);
    }

    private removeLoad(): void {
        this.endpoint.running -= 1;
        this.removePromptLoad();
    }

    private removePromptLoad(): void {
        this.endpoint.promptTokens -= this.unprocessedPromptTokens;
        this.unprocessedPromptTokens = 0;
    }
}

/** Returns the urgency of a generation. One that is expected to miss its objective anyway yields to those that can still meet theirs. */
function computeUrgency(call: IncomingCall, expectedTime: number): number {
    if (expectedTime > call.route.objective) {
        return leastUrgent;
    }
    return Math.min(leastUrgent, mostUrgent + call.rank);
}
