import { Clock } from "../../common/clock.js";
import { ActiveAttempt, EndpointEntry, EndpointListener } from "../endpointRegistry.js";

/** Share of the notice within which a stream must be expected to finish to stay where it is. */
const stayShare = 0.5;
/** Notice that is assumed when none was announced, in milliseconds. */
const assumedNoticeMilliseconds = 2_000;
/** Time between the starts of two moves, in milliseconds, so that the largest export first. */
const moveIntervalMilliseconds = 5;

/** Moves streams off endpoints that will leave, those that would lose most first. */
export class StreamMover implements EndpointListener {
    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): StreamMover {
        return new StreamMover(clock);
    }

    handleLeaving(entry: EndpointEntry): void {
        void this.moveAttempts(entry);
    }

    handleRoom(): void {
        // Moved streams wait for room in the admission queue.
    }

    private async moveAttempts(entry: EndpointEntry): Promise<void> {
        const notice = entry.leavesAt === undefined ? assumedNoticeMilliseconds : entry.leavesAt - this.clock.getWallTime();
        const moving = [...entry.attempts].filter(attempt => !this.canFinish(attempt, notice));
        moving.sort((left, right) => right.countTokens() - left.countTokens());
        for (const attempt of moving) {
            attempt.startMove();
            await this.clock.sleep(moveIntervalMilliseconds);
        }
        // What was expected to finish and did not is moved before the notice runs out.
        await this.clock.sleep(Math.max(0, notice * stayShare));
        for (const attempt of entry.attempts) {
            attempt.startMove();
        }
    }

    private canFinish(attempt: ActiveAttempt, notice: number): boolean {
        return attempt.countRemainingTokens() * attempt.getTokenTime() < notice * stayShare;
    }
}
