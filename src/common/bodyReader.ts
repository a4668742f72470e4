import { IncomingMessage, ServerResponse } from "node:http";
import { BodyBudget, BodyReservation, computeHeadMemory } from "./bodyBudget.js";
import { BlockPool, BodyCollector } from "./bodyCollector.js";
import { Clock } from "./clock.js";
import { Diagnostics } from "./diagnostics.js";
import { Failure } from "./failure.js";
import { Verdict } from "./verdict.js";

/** Share of the budget that is kept in blocks for the next bodies. */
const freeShareOfBudget = 0.25;
/** Interval at which bodies that have stopped arriving are looked for, in milliseconds. */
const stallCheckMilliseconds = 1_000;

/** What a body may take. */
export interface BodyLimits {
    readonly bytes: number;
    /** Longest time without a byte, in milliseconds. */
    readonly idleTimeout: number;
}

/** The complete body of a request. */
export interface ReceivedBody {
    readonly bytes: Buffer;
    /** Whether the request had a body, which may be empty. */
    readonly isPresent: boolean;
}

/** Result of reading a body: undefined when the caller disconnected before its end. */
export type BodyResult = ReceivedBody | Failure | undefined;

/** Reads the bodies of requests within a budget of memory that they share. */
export class BodyReader {
    private readonly pool: BlockPool;
    private readonly open = new Set<BodyReading>();
    private timer: NodeJS.Timeout | undefined;

    private constructor(readonly budget: BodyBudget, private readonly clock: Clock) {
        this.pool = BlockPool.create(budget.capacity * freeShareOfBudget);
    }

    static create(budget: BodyBudget, clock: Clock): BodyReader {
        return new BodyReader(budget, clock);
    }

    /** Reads the body of a request, which holds its room until the response has closed. */
    async readBody(request: IncomingMessage, response: ServerResponse, limits: BodyLimits): Promise<BodyResult> {
        const length = request.headers["content-length"];
        if (Number(length ?? 0) > limits.bytes) {
            // Behind a request that is being served its parts would be kept until that one has been answered.
            request.resume();
            return createTooLarge(limits);
        }
        if (length === undefined && request.headers["transfer-encoding"] === undefined) {
            request.resume();
            return this.holdHead(request, response) ? { bytes: Buffer.alloc(0), isPresent: false } : createSpent();
        }
        const reading = BodyReading.create(request, limits, BodyCollector.create(this.pool), this.budget, this.clock);
        response.once("close", () => reading.release());
        this.open.add(reading);
        this.startChecks();
        try {
            return await reading.finished;
        }
        finally {
            this.open.delete(reading);
        }
    }

    /** Takes the room of a request without a body until its response has closed; returns false if there is none. */
    private holdHead(request: IncomingMessage, response: ServerResponse): boolean {
        const now = this.clock.getMonotonicTime();
        const reservation = this.budget.addReservation(() => {}, now, computeHeadMemory(request.rawHeaders));
        response.once("close", () => reservation.release());
        if (!reservation.open(now)) {
            reservation.release();
            return false;
        }
        reservation.settle(0);
        return true;
    }

    private startChecks(): void {
        if (this.timer !== undefined) {
            return;
        }
        this.timer = setInterval(() => {
            this.open.forEach(reading => reading.checkProgress());
            if (this.open.size === 0) {
                clearInterval(this.timer);
                this.timer = undefined;
            }
        }, stallCheckMilliseconds);
        this.timer.unref();
    }
}

/** One body while it is being read. */
class BodyReading {
    readonly finished: Promise<BodyResult>;
    private readonly reservation: BodyReservation;
    private finish: (result: BodyResult) => void = () => {};
    private isFinished = false;
    private readonly handleData = (part: Buffer) => this.addPart(part);

    private constructor(
        private readonly request: IncomingMessage,
        private readonly limits: BodyLimits,
        private readonly collector: BodyCollector,
        budget: BodyBudget,
        private readonly clock: Clock,
    ) {
        this.finished = new Promise(resolve => (this.finish = resolve));
        const now = clock.getMonotonicTime();
        this.reservation = budget.addReservation(() => this.end(createSpent()), now, computeHeadMemory(request.rawHeaders));
        if (!this.reservation.open(now)) {
            this.end(createSpent());
            return;
        }
        request.on("data", this.handleData);
        request.once("end", () => this.endWhole());
        // Not ended before: the caller disconnected while sending its body, so no response can be sent.
        request.once("close", () => this.end(undefined));
    }

    static create(
        request: IncomingMessage,
        limits: BodyLimits,
        collector: BodyCollector,
        budget: BodyBudget,
        clock: Clock,
    ): BodyReading {
        return new BodyReading(request, limits, collector, budget, clock);
    }

    /** Ends the reading when no byte has come for too long. */
    checkProgress(): void {
        if (this.clock.getMonotonicTime() - this.reservation.getReceivedAt() > this.limits.idleTimeout) {
            this.end(Failure.create(Verdict.NotRun, Diagnostics.Request_was_not_complete_in_time));
        }
    }

    /** Gives the room of the body back once nobody uses it any more. */
    release(): void {
        this.end(undefined);
        this.reservation.release();
    }

    private addPart(part: Buffer): void {
        const { collector, limits, reservation } = this;
        if (collector.getSize() + part.length > limits.bytes) {
            this.end(createTooLarge(limits));
            return;
        }
        const now = this.clock.getMonotonicTime();
        const growth = collector.computeGrowth(part);
        if (!reservation.addPart(part.length, now) || (growth > 0 && !reservation.takeRoom(growth, now))) {
            this.end(createSpent());
            return;
        }
        collector.addPart(part);
    }

    private endWhole(): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        const bytes = this.collector.finish();
        this.reservation.settle(bytes.length);
        this.finish({ bytes, isPresent: true });
    }

    private end(result: BodyResult): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        this.request.off("data", this.handleData);
        // What still comes is dropped: kept unread, parts of a few bytes would cost many times their size.
        this.request.resume();
        this.collector.release();
        this.reservation.release();
        this.finish(result);
    }
}

function createTooLarge(limits: BodyLimits): Failure {
    return Failure.create(Verdict.NotRun, Diagnostics.Body_is_larger_than_0_bytes, limits.bytes);
}

/** Returns the failure of a request for whose body there is no memory. */
export function createSpent(): Failure {
    return Failure.create(Verdict.NotRun, Diagnostics.Memory_for_request_bodies_is_spent).setRetryAfter(1);
}
