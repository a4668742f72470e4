/** Throws when an invariant of the program is broken. Input from outside is validated elsewhere, never here. */
export function checkInvariant(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new Error(`Broken invariant: ${message}`);
    }
}

/** Returns a value that must be defined, or throws. */
export function checkDefined<T>(value: T | undefined, message: string): T {
    checkInvariant(value !== undefined, message);
    return value;
}
