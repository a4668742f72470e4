import { millisecondsPerSecond } from "../common/units.js";
import { MoveStage } from "./types.js";

/** Time before the deadline at which a move is completed or rolled back: two rounds of the duty and a slow response of the store. */
export const finishMarginMilliseconds = 600;
/** Time for the old version to finish its short requests: most calls and short streams take less. */
const shortRequestDrainMilliseconds = 500;
/** Upper limit of the time for the old version to finish its long streams: a draft of some hundred tokens takes about that. */
const longStreamDrainMilliseconds = 3_000;
/** Fraction of a move's duration that is reserved for the trial stage. */
const minimumTrialFraction = 0.5;
/** Fraction of the remaining exposure that long streams may use; the rest covers requests that are running. */
const longStreamExposureFraction = 0.8;

/** Progress of a move. Times are in milliseconds. */
export interface MoveProgress {
    readonly duration: number;
    readonly timeLeft: number;
    /** Attempts at the service since the order, and how many of them were at the new version. */
    readonly attempts: number;
    readonly exposedAttempts: number;
    /** Attempts of streams that cannot be resumed at another endpoint. */
    readonly nonResumableStreams: number;
}

/** Number of requests that a bad new version may receive: a share of all requests plus a constant. */
export interface ExposureLimit {
    /** Share of a service's requests, from 0 to 1. */
    readonly share: number;
    /** Number of requests allowed in addition to the share. */
    readonly slack: number;
}

/**
 * Computes when traffic moves from the old to the new version. It moves late on purpose: a new version that becomes bad late has then
 * received few requests. The lead times leave the old endpoints time to finish theirs before they stop.
 */
export class MoveSchedule {
    private constructor(private readonly limit: ExposureLimit) {}

    static create(limit: ExposureLimit): MoveSchedule {
        return new MoveSchedule(limit);
    }

    /** Returns the stage that a move should be in now, provided that there is no finding against the new version. */
    computeStage(progress: MoveProgress): MoveStage {
        const allStageLeadTime = finishMarginMilliseconds + shortRequestDrainMilliseconds;
        if (progress.timeLeft <= allStageLeadTime) {
            return MoveStage.All;
        }
        return progress.timeLeft <= allStageLeadTime + this.computeLongStreamTime(progress, allStageLeadTime)
            ? MoveStage.LongStreams
            : MoveStage.Trial;
    }

    /** Returns how long before the stage All new long streams start at the new version only, within the exposure limit. */
    private computeLongStreamTime(progress: MoveProgress, allStageLeadTime: number): number {
        const elapsed = Math.max(1, progress.duration - progress.timeLeft);
        const rate = progress.attempts / elapsed;
        const expected = progress.attempts + rate * progress.timeLeft;
        const allowed = this.limit.share * expected + this.limit.slack - progress.exposedAttempts - rate * allStageLeadTime;
        const streamRate = progress.nonResumableStreams / elapsed;
        const affordable = streamRate === 0 ? longStreamDrainMilliseconds : allowed * longStreamExposureFraction / streamRate;
        const longest = Math.min(longStreamDrainMilliseconds, progress.duration * (1 - minimumTrialFraction));
        return Math.min(longest, Math.max(millisecondsPerSecond, affordable));
    }
}
