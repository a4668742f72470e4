/** The result of a bench: flat fields with units in their names. */
export type BenchFields = Record<string, number | string | boolean>;

/** What a bench prints: its fields, the bounds it was judged by, and whether they hold. */
export interface BenchResult {
    readonly fields: BenchFields;
    /** Bounds by the name of the field they are about. */
    readonly atMost: Record<string, number>;
    readonly atLeast: Record<string, number>;
}

/** A measurement that is run by its name. */
export interface Bench {
    readonly name: string;
    readonly description: string;
    run(): Promise<BenchResult>;
}

/** Says whether every bound holds. */
export function isWithinBounds(result: BenchResult): boolean {
    const read = (name: string) => Number(result.fields[name] ?? Number.NaN);
    const upperHold = Object.entries(result.atMost).every(([name, bound]) => read(name) <= bound);
    const lowerHold = Object.entries(result.atLeast).every(([name, bound]) => read(name) >= bound);
    return upperHold && lowerHold;
}
