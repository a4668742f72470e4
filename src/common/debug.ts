/** Throws when an invariant of the program is broken. Input from outside is validated elsewhere, never here. */
export function checkInvariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new Error(`Broken invariant: ${message}`);
    }
}
