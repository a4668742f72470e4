/** Says whether a request may have run on an endpoint. */
export enum Verdict {
    /** No endpoint can have seen a complete request. */
    NotRun = "NotRun",
    /** The request may have run; nothing proves that it did or did not. */
    MayHaveRun = "MayHaveRun",
    /** The request ran. */
    Ran = "Ran",
}

const verdictRank: Record<Verdict, number> = {
    [Verdict.NotRun]: 0,
    [Verdict.MayHaveRun]: 1,
    [Verdict.Ran]: 2,
};

/** Returns the stronger of two verdicts: a later layer may raise a verdict but never lower it. */
export function raiseVerdict(current: Verdict, observed: Verdict): Verdict {
    if (verdictRank[observed] > verdictRank[current]) {
        return observed;
    }
    return current;
}
