import { createHash } from "node:crypto";
import { readFileSync, renameSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { Script } from "node:vm";

/** How the compiled code of a program was found. */
export enum CodeCacheState {
    /** The cache was used. */
    Accepted = "accepted",
    /** The cache is of another set of runtime flags; the program was compiled. */
    Rejected = "rejected",
    /** There is no cache of this program, runtime and processor; it was compiled. */
    Missing = "missing",
}

/** A program that is ready to run. */
export interface LoadedProgram {
    readonly exports: Readonly<Record<string, unknown>>;
    readonly codeCache: CodeCacheState;
    /** Writes what the runtime has compiled of the program so far beside it, for its next starts. */
    readonly writeCodeCache: () => void;
}

const hashAlgorithm = "sha256";
const hashBytes = 32;

/**
 * Loads a bundled CommonJS program, with the compiled code that an earlier run has left beside it where that fits: compiling takes a
 * large part of the processor time of a start. Throws if the program cannot be read or fails while it is loaded.
 */
export function loadProgram(file: string): LoadedProgram {
    const source = readFileSync(file, "utf8");
    const cachedData = readCodeCache(file, source);
    const script = new Script(`(function (exports, require, module) { ${source}\n});`, { filename: file, cachedData });
    const program: { exports: Record<string, unknown>; } = { exports: {} };
    const run = script.runInThisContext() as (exports: object, require: NodeJS.Require, module: object) => void;
    run(program.exports, createRequire(file), program);
    return {
        exports: program.exports,
        codeCache: cachedData === undefined ? CodeCacheState.Missing : describeUse(script),
        writeCodeCache: () => {
            const code = script.createCachedData();
            writeFileSync(`${getCacheFile(file)}.new`, Buffer.concat([hashCode(source, code), code]));
            renameSync(`${getCacheFile(file)}.new`, getCacheFile(file));
        },
    };
}

function getCacheFile(file: string): string {
    return `${file}.cache`;
}

/** Returns the hash by which compiled code is known to be whole, and to be of a program, a runtime and a processor: the runtime checks only lengths. */
function hashCode(source: string, code: Buffer): Buffer {
    return createHash(hashAlgorithm).update(`${process.version} ${process.arch}\n${source}`).update(code).digest();
}

/** Returns the compiled code of a program; undefined if there is none that fits. */
function readCodeCache(file: string, source: string): Buffer | undefined {
    try {
        const cache = readFileSync(getCacheFile(file));
        const code = cache.subarray(hashBytes);
        return cache.subarray(0, hashBytes).equals(hashCode(source, code)) ? code : undefined;
    }
    catch {
        // Nothing was written: the start takes longer, and the log tells so.
        return undefined;
    }
}

function describeUse(script: Script): CodeCacheState {
    return script.cachedDataRejected === true ? CodeCacheState.Rejected : CodeCacheState.Accepted;
}
