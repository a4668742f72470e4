import { millisecondsPerSecond } from "../common/units.js";
import { MoveStage } from "./types.js";

/** Time before the deadline at which a move is settled, in milliseconds: two rounds of the duty and a slow answer of the store. */
export const settleMarginMilliseconds = 600;
/** Time for which the old version ends its short requests, in milliseconds: most calls and short streams take less. */
const shortRequestMilliseconds = 500;
/** Time for which it ends its long streams, in milliseconds: a draft of some hundred tokens takes about that. */
const longStreamMilliseconds = 3_000;
/** Part of a move's time that is kept for the trial. */
const leastTrialShare = 0.5;
/** Part of the exposure still allowed that long streams may use; the rest covers requests that are under way. */
const usableExposureShare = 0.8;

/** How far a move has come. Times are in milliseconds. */
export interface MoveProgress {
    readonly duration: number;
    readonly timeLeft: number;
    /** Attempts at the service since the order, and those of them at the new version. */
    readonly attempts: number;
    readonly exposed: number;
    /** Attempts of streams that cannot go on elsewhere. */
    readonly boundStreams: number;
}

/** The exposure of a bad version that operators accept. */
export interface ExposureLimit {
    /** Share of a service's requests, from 0 to 1. */
    readonly share: number;
    /** Requests beyond that share. */
    readonly slack: number;
}

/**
 * Decides when requests leave the old version. It is late on purpose: a version that turns bad late has then met a small
 * part of the requests, and what the old endpoints still run when they stop is little.
 */
export class MoveSchedule {
    private constructor(private readonly limit: ExposureLimit) {}

    static create(limit: ExposureLimit): MoveSchedule {
        return new MoveSchedule(limit);
    }

    /** Returns the stage in which a move is to be now while nothing speaks against the new version. */
    computeStage(progress: MoveProgress): MoveStage {
        const allAt = settleMarginMilliseconds + shortRequestMilliseconds;
        if (progress.timeLeft <= allAt) {
            return MoveStage.All;
        }
        return progress.timeLeft <= allAt + this.computeLongStreamTime(progress, allAt) ? MoveStage.LongStreams : MoveStage.Trial;
    }

    /** Returns for how long long streams go to the new version before everything does. */
    private computeLongStreamTime(progress: MoveProgress, allAt: number): number {
        const elapsed = Math.max(1, progress.duration - progress.timeLeft);
        const rate = progress.attempts / elapsed;
        const expected = progress.attempts + rate * progress.timeLeft;
        const allowed = this.limit.share * expected + this.limit.slack - progress.exposed - rate * allAt;
        const streamRate = progress.boundStreams / elapsed;
        const affordable = streamRate === 0 ? longStreamMilliseconds : allowed * usableExposureShare / streamRate;
        const longest = Math.min(longStreamMilliseconds, progress.duration * (1 - leastTrialShare));
        return Math.min(longest, Math.max(millisecondsPerSecond, affordable));
    }
}
