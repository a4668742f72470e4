import { parse as parseUuid, v7, validate, version } from "uuid";

/** Length of the timestamp at the start of a UUID of version 7, in bytes. */
const timestampBytes = 6;
const timestampedUuidVersion = 7;

/** Creates an identifier that sorts by its creation time (UUID version 7). */
export function createIdentifier(): string {
    return v7();
}

/** Returns the creation time encoded in an identifier, in Unix milliseconds; undefined unless it is a UUID of version 7. */
export function readIdentifierTime(identifier: string): number | undefined {
    if (!validate(identifier) || version(identifier) !== timestampedUuidVersion) {
        return undefined;
    }
    return Buffer.from(parseUuid(identifier)).readUIntBE(0, timestampBytes);
}
