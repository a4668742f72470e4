import { IncomingMessage } from "node:http";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { Verdict } from "../common/verdict.js";
import { formatAddress } from "../config/sectionReader.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { RelayEnd, WholeAnswerRelay } from "./answerRelay.js";
import { EndpointExchange } from "./endpointExchange.js";
import { AttemptEnd, AttemptOptions, CallAttemptParts, IncomingCall } from "./types.js";

const statusServerError = 500;
const statusGatewayTimeout = 504;
/** Interval at which an attempt looks whether its endpoint has gone silent, in milliseconds. */
const silenceCheckMilliseconds = 250;
/** Least expected time against which an answer's time is judged, in milliseconds: shorter ones are mostly the network's. */
const leastExpectedMilliseconds = 30;

/** Urgency of the first and of the last rank. */
const mostUrgent = 2;
const leastUrgent = 9;

/** Sends a call to one endpoint and relays the answer. */
export class CallAttempt {
    private readonly stopping = new AbortController();
    private readonly endpoint: FleetEndpoint;
    private readonly sentAt: number;
    private firstEventAt: number | undefined;
    private heardAt: number;
    private isSilent = false;
    private isLate = false;
    private waitingTokens: number;

    private constructor(private readonly parts: CallAttemptParts, private readonly options: AttemptOptions) {
        this.endpoint = options.placement.endpoint;
        this.waitingTokens = options.placement.tokensToRead;
        this.sentAt = parts.clock.getMonotonicTime();
        this.heardAt = this.sentAt;
    }

    static create(parts: CallAttemptParts, options: AttemptOptions): CallAttempt {
        return new CallAttempt(parts, options);
    }

    /** Runs the attempt to its end. */
    async run(): Promise<AttemptEnd> {
        const { options } = this;
        const stop = () => this.stopping.abort();
        const leaving = options.caller.getLeavingSignal();
        leaving.addEventListener("abort", stop);
        const deadlineTimer = setTimeout(() => {
            this.isLate = true;
            stop();
        }, Math.max(1, options.deadline - this.sentAt));
        const silenceTimer = options.mayRunAgain ? setInterval(() => this.checkSilence(), silenceCheckMilliseconds) : undefined;
        this.addLoad();
        try {
            return await this.exchange();
        }
        finally {
            this.removeLoad();
            clearTimeout(deadlineTimer);
            clearInterval(silenceTimer);
            leaving.removeEventListener("abort", stop);
        }
    }

    /** Records that the endpoint has read the prompt. */
    recordFirstEvent(): void {
        if (this.firstEventAt !== undefined) {
            return;
        }
        this.firstEventAt = this.parts.clock.getMonotonicTime();
        this.removePromptLoad();
        this.recordServed(this.firstEventAt);
    }

    private async exchange(): Promise<AttemptEnd> {
        const { parts, options } = this;
        const { call } = options;
        const timeLeft = options.deadline - this.sentAt;
        const hop = call.span.startHop(this.endpoint.entry.id);
        const exchange = EndpointExchange.create({
            call,
            endpoint: this.endpoint,
            headers: parts.headers.createHeaders(call, {
                endpointId: this.endpoint.entry.id,
                timeLeft,
                lastEventId: options.lastEventId,
                urgency: call.prompt === undefined ? undefined : computeUrgency(call, options.placement.expectedTime),
                cacheSource: this.getCacheSource(),
                traceHeaders: hop.createHeaders(),
            }),
            agent: parts.connections.getAgent(this.endpoint),
            connectTimeout: Math.min(parts.timing.connectTimeout, timeLeft),
            silenceLimit: timeLeft,
            signal: this.stopping.signal,
        }, parts.protocol);
        try {
            const sent = await exchange.sendRequest();
            const end = sent.err ? this.settleFailure(sent.val, exchange) : await this.relay(sent.val, exchange);
            hop.end(end.failure?.text);
            return end;
        }
        finally {
            exchange.close();
        }
    }

    private getCacheSource(): string | undefined {
        const { cacheSource } = this.options.placement;
        return cacheSource === undefined ? undefined : formatAddress(cacheSource.entry.address);
    }

    private async relay(answer: IncomingMessage, exchange: EndpointExchange): Promise<AttemptEnd> {
        const { options } = this;
        this.markHeard();
        const load = exchange.readLoad(answer);
        if (load !== undefined) {
            this.endpoint.recordLoad(load, this.heardAt);
        }
        const status = answer.statusCode ?? 0;
        if (status >= statusServerError && status !== statusGatewayTimeout) {
            this.endpoint.recordError();
            this.recordVersionAttempt(false, undefined);
            if (options.mayRunAgain && !options.caller.hasBegun()) {
                answer.on("error", () => exchange.close());
                answer.resume();
                return this.createEnd(Failure.create(Verdict.Ran, Diagnostics.Endpoint_failed_with_status_0, status));
            }
        }
        answer.on("data", () => this.markHeard());
        const isStream = options.stream !== undefined && status < statusServerError;
        const relay = isStream ? options.stream : WholeAnswerRelay.create(options.caller);
        const end = await relay.forwardAnswer(answer, exchange);
        if (end !== RelayEnd.Whole) {
            return this.settleBroken();
        }
        this.recordAnswered(status);
        return this.createEnd(undefined);
    }

    private recordAnswered(status: number): void {
        if (status >= statusServerError || this.options.stream !== undefined) {
            return;
        }
        const answeredAt = this.parts.clock.getMonotonicTime();
        this.recordServed(answeredAt);
        if (this.endpoint.countRequests() <= this.endpoint.entry.slots) {
            this.parts.callPlacement.recordCallTime(this.options.call.service, answeredAt - this.sentAt);
        }
    }

    /** Counts the first event or the whole answer for the endpoint, its version and the request. */
    private recordServed(servedAt: number): void {
        const timeRatio = this.computeTimeRatio(servedAt);
        this.endpoint.recordSuccess(timeRatio);
        this.recordVersionAttempt(true, timeRatio);
        this.parts.crashes.recordSuccess(this.options.call);
    }

    /** Returns the time since the attempt was sent as a multiple of what was expected. */
    private computeTimeRatio(at: number): number {
        return (at - this.sentAt) / Math.max(leastExpectedMilliseconds, this.options.placement.expectedTime);
    }

    private settleBroken(): AttemptEnd {
        if (!this.stopping.signal.aborted) {
            this.endpoint.recordLoss(this.parts.clock.getMonotonicTime());
            this.parts.crashes.recordLoss(this.endpoint, this.options.call.getFingerprint());
        }
        return this.createEnd(Failure.create(Verdict.MayHaveRun, Diagnostics.Answer_broke_off));
    }

    private settleFailure(failure: Failure, exchange: EndpointExchange): AttemptEnd {
        const { parts, options } = this;
        const now = parts.clock.getMonotonicTime();
        if (this.isLate && this.firstEventAt === undefined) {
            this.recordVersionAttempt(true, this.computeTimeRatio(now));
        }
        const { code } = failure.message;
        if (code === Diagnostics.Another_endpoint_has_the_address.code) {
            parts.directory.markGone(this.endpoint, "own request");
        }
        else if (code === Diagnostics.Endpoint_refused_before_running_0.code) {
            this.markHeard();
            this.endpoint.recordRefusal(now);
        }
        else if (code === Diagnostics.Endpoint_failed_with_status_0.code) {
            this.endpoint.recordError();
        }
        else if (!options.caller.isCallerGone()) {
            this.endpoint.recordLoss(now);
            this.recordSignOfDeath(code, exchange);
        }
        if (this.isSilent) {
            const limit = parts.timing.endpointSilence;
            return this.createEnd(Failure.create(failure.verdict, Diagnostics.Endpoint_sent_nothing_for_0_milliseconds, limit));
        }
        const hasArrived = failure.verdict !== Verdict.NotRun || exchange.hasConnection();
        return this.createEnd(failure, hasArrived);
    }

    private recordSignOfDeath(code: number, exchange: EndpointExchange): void {
        const { parts, options } = this;
        if (!exchange.hasConnection()) {
            parts.crashes.recordDeath(this.endpoint);
            return;
        }
        if (code === Diagnostics.Connection_was_lost_after_the_request_was_sent_0.code && !this.stopping.signal.aborted) {
            parts.crashes.recordLoss(this.endpoint, options.call.getFingerprint());
        }
    }

    /** Counts for or against the endpoint's version. Lost connections do not count: endpoints are lost on any version. */
    private recordVersionAttempt(hasSucceeded: boolean, timeRatio: number | undefined): void {
        const { entry } = this.endpoint;
        const { call } = this.options;
        this.parts.versions.recordAttempt({
            service: call.service,
            route: call.route.name,
            version: entry.version,
            load: this.endpoint.countRequests() / entry.slots,
            hasSucceeded,
            timeRatio,
        });
    }

    private createEnd(failure: Failure | undefined, hasArrived = true): AttemptEnd {
        return { failure, hasArrived, isLate: this.isLate, sentAt: this.sentAt };
    }

    private markHeard(): void {
        this.heardAt = this.parts.clock.getMonotonicTime();
        this.endpoint.heardAt = this.heardAt;
    }

    /** Gives up an endpoint from which nothing comes any more, on this connection or any other. */
    private checkSilence(): void {
        const now = this.parts.clock.getMonotonicTime();
        const limit = this.parts.timing.endpointSilence;
        if (now - this.heardAt > limit && now - this.endpoint.heardAt > limit) {
            this.isSilent = true;
            this.stopping.abort();
        }
    }

    private addLoad(): void {
        const { call, placement } = this.options;
        this.endpoint.running += 1;
        this.endpoint.promptTokens += placement.tokensToRead;
        if (call.prompt !== undefined) {
            call.prompt.parts.forEach(part => this.endpoint.cache.recordPart(part));
            this.parts.work.recordWork(call.service, placement.tokensToRead, call.prompt.maxOutputTokens);
            this.parts.news.addPlacement(this.endpoint, call.prompt.parts);
        }
    }

    private removeLoad(): void {
        this.endpoint.running -= 1;
        this.removePromptLoad();
    }

    private removePromptLoad(): void {
        this.endpoint.promptTokens -= this.waitingTokens;
        this.waitingTokens = 0;
    }
}

/** Returns how urgent a generation is for its engine. One that is late anyway lets those before it that may still be in time. */
function computeUrgency(call: IncomingCall, expectedTime: number): number {
    if (expectedTime > call.route.objective) {
        return leastUrgent;
    }
    return Math.min(leastUrgent, mostUrgent + call.rank);
}
