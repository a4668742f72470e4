import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { describeError } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { DutyLease } from "./dutyLease.js";
import { DutyCredentials } from "./types.js";

/** Pause between two rounds of a duty, in milliseconds: short compared with the notice period of a reclaim. */
const roundPauseMilliseconds = 250;

/** Pause between two checks whether this node holds the lease, in milliseconds: short compared with the term of a lease. */
const leasePollMilliseconds = 500;

/** A task that runs in rounds on the node that holds the duty lease. */
export interface Duty {
    runRound(credentials: DutyCredentials): Promise<void>;
}

/** Runs the duties while this node holds the lease, each in its own loop so that a slow call of one does not delay the others. */
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

    /** Runs the duties; resolves after `stop` when the running rounds have ended. */
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
                await this.clock.sleep(leasePollMilliseconds, this.stopping.signal);
                continue;
            }
            await this.runRound(duty, credentials);
            await this.clock.sleep(roundPauseMilliseconds, this.stopping.signal);
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
