import { createHash, timingSafeEqual } from "node:crypto";

/** Returns the SHA-256 hash of a text or of bytes, in lower-case hexadecimal. */
export function hashSha256(content: string | Uint8Array): string {
    return createHash("sha256").update(content).digest("hex");
}

/** Returns the first 4 bytes of a text's SHA-256 hash as an unsigned big-endian integer. */
export function hashToNumber(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** Returns the fingerprint of a call, which identifies it in claims and in the quarantine; every node computes the same one. */
export function hashCall(service: string, method: string, path: string, body: Uint8Array): string {
    return createHash("sha256").update(`${service}\n${method}\n${path}\n`).update(body).digest("hex");
}

/** Returns whether two hexadecimal hashes are equal; the comparison takes constant time for hashes of equal length. */
export function compareHashes(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left, "utf8");
    const rightBytes = Buffer.from(right, "utf8");
    if (leftBytes.length !== rightBytes.length) {
        return false;
    }
    return timingSafeEqual(leftBytes, rightBytes);
}

/** Returns the candidates for a key in the order of rendezvous hashing, highest score first. */
export function listByRendezvousRank<T>(key: string, candidates: readonly T[], getName: (candidate: T) => string): T[] {
    const scored = candidates.map(candidate => ({ candidate, score: hashSha256(`${key}\n${getName(candidate)}`) }));
    scored.sort((left, right) => (left.score < right.score ? 1 : -1));
    return scored.map(entry => entry.candidate);
}
