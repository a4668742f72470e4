import { Clock } from "../../common/clock.js";
import { ActiveAttempt, EndpointEntry, EndpointListener } from "../endpointRegistry.js";

/** A stream stays at its endpoint if it is expected to finish within this share of the notice. */
const finishableNoticeShare = 0.5;
/** Notice assumed if the endpoint's removal time was not announced. */
const assumedNoticeMilliseconds = 2_000;
/** Interval between the starts of two moves, so that the largest caches are exported first. */
const moveIntervalMilliseconds = 5;

/** Moves streams away from leaving endpoints, starting with the streams that have most tokens to recompute. */
export class StreamMover implements EndpointListener {
    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): StreamMover {
        return new StreamMover(clock);
    }

    handleLeaving(entry: EndpointEntry): void {
        void this.moveAttempts(entry);
    }

    handleFreeCapacity(): void {
        // Moved streams wait for a slot in the admission queue.
    }

    private async moveAttempts(entry: EndpointEntry): Promise<void> {
        const notice = entry.leavesAt === undefined ? assumedNoticeMilliseconds : entry.leavesAt - this.clock.getWallTime();
        const moving = [...entry.attempts].filter(attempt => !this.canFinishInPlace(attempt, notice));
        moving.sort((left, right) => right.countTokensToRecompute() - left.countTokensToRecompute());
        for (const attempt of moving) {
            attempt.startMove();
            await this.clock.sleep(moveIntervalMilliseconds);
        }
        // Move the streams that did not finish as expected before the notice ends.
        await this.clock.sleep(Math.max(0, notice * finishableNoticeShare));
        for (const attempt of entry.attempts) {
            attempt.startMove();
        }
    }

    private canFinishInPlace(attempt: ActiveAttempt, notice: number): boolean {
        return attempt.countRemainingTokens() * attempt.getTokenInterval() < notice * finishableNoticeShare;
    }
}
