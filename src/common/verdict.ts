/** Whether a request may have run on an endpoint. */
export enum Verdict {
    /** No endpoint can have received the complete request. */
    NotRun = "NotRun",
    /** It is unknown whether the request ran. */
    MayHaveRun = "MayHaveRun",
    /** The request ran. */
    Ran = "Ran",
}

/** Strength of each verdict: a higher rank replaces a lower one. */
const verdictRank: Record<Verdict, number> = {
    [Verdict.NotRun]: 0,
    [Verdict.MayHaveRun]: 1,
    [Verdict.Ran]: 2,
};

/** Returns the stronger of two verdicts, because a later layer may raise a verdict but never lower it. */
export function raiseVerdict(current: Verdict, observed: Verdict): Verdict {
    if (verdictRank[observed] > verdictRank[current]) {
        return observed;
    }
    return current;
}
