import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { describeError } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { DutyLease } from "./dutyLease.js";
import { DutyCredentials } from "./types.js";

/** Pause between two rounds of the duties in milliseconds: short against the notice of a reclaim. */
const roundMilliseconds = 250;

/** Pause between two looks whether this node holds the lease, in milliseconds: short against the term of a lease. */
const idleMilliseconds = 500;

/** A duty of the node that holds the lease. */
export interface Duty {
    runRound(credentials: DutyCredentials): Promise<void>;
}

/** Runs each duty while this node holds the lease; a slow call of one does not hold up the others. */
export class DutyRunner {
    private readonly stopping = new AbortController();

    private constructor(
        private readonly lease: DutyLease,
        private readonly duties: readonly Duty[],
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(lease: DutyLease, duties: readonly Duty[], clock: Clock, log: EventLog): DutyRunner {
        return new DutyRunner(lease, duties, clock, log);
    }

    async run(): Promise<void> {
        await Promise.all(this.duties.map(duty => this.runDuty(duty)));
    }

    stop(): void {
        this.stopping.abort();
    }

    private async runDuty(duty: Duty): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const credentials = this.lease.getCredentials();
            if (credentials === undefined) {
                await this.clock.sleep(idleMilliseconds, this.stopping.signal);
                continue;
            }
            await this.runRound(duty, credentials);
            await this.clock.sleep(roundMilliseconds, this.stopping.signal);
        }
    }

    private async runRound(duty: Duty, credentials: DutyCredentials): Promise<void> {
        try {
            await duty.runRound(credentials);
        }
        catch (error) {
            this.log.log(LogEvents.TaskFailed, { task: "duty", cause: describeError(error) });
        }
    }
}
