/** Throws when an invariant of the program is violated. External input must be validated by a schema instead. */
export function checkInvariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new Error(`Invariant violated: ${message}`);
    }
}
