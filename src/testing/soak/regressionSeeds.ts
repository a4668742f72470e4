/** A soak that once broke a promise. */
export interface RegressionSeed {
    readonly seed: number;
    /** How long faults came, in minutes. */
    readonly minutes: number;
    /** What was seen and why. */
    readonly cause: string;
}

/** Seeds that are run again with `npm run soak -- --regressions`. */
export const regressionSeeds: readonly RegressionSeed[] = [
    { seed: 100, minutes: 0.4, cause: "the soak's own proxy passed a reset on as an end in order" },
    { seed: 104, minutes: 0.4, cause: "a popular request was refused because endpoints that ran it had crashed for other reasons" },
    {
        seed: 106,
        minutes: 0.4,
        cause: "the record of usage reports was shorter than what can be due; SIGHUP ended a process that was loading",
    },
    { seed: 107, minutes: 0.4, cause: "the record of usage reports was shorter than what can be due" },
];
