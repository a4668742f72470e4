import { parse as parseUuid, v7, validate, version } from "uuid";

const timestampBytes = 6;
const uuidVersionWithTime = 7;

/** Creates an identifier that sorts by its creation time (UUID version 7). */
export function createIdentifier(): string {
    return v7();
}

/** Returns the creation time in Unix milliseconds that an identifier shows, or undefined when it shows none. */
export function readIdentifierTime(identifier: string): number | undefined {
    if (!validate(identifier) || version(identifier) !== uuidVersionWithTime) {
        return undefined;
    }
    return Buffer.from(parseUuid(identifier)).readUIntBE(0, timestampBytes);
}
