import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { ObjectList, StoredObject, WatchEvent, WriteFailure } from "./types.js";

/** The platform's object API. Revisions rise with every write to any object. */
export interface ObjectStore {
    /** Returns an object, or undefined when there is none. */
    getObject(name: string): Promise<Result<StoredObject | undefined, Failure>>;
    /** Returns every object whose name starts with a prefix. */
    listObjects(prefix: string): Promise<Result<ObjectList, Failure>>;
    /** Creates an object that must not exist yet; returns its revision. */
    createObject(name: string, value: unknown): Promise<Result<number, WriteFailure>>;
    /** Replaces an object that must still have a revision; returns the new one. */
    replaceObject(name: string, value: unknown, expectedRevision: number): Promise<Result<number, WriteFailure>>;
    /** Removes an object that must still have a revision. */
    removeObject(name: string, expectedRevision: number): Promise<Result<void, WriteFailure>>;
    /** Reports changes under a prefix after a revision, until the signal aborts or the connection ends. */
    watchObjects(prefix: string, afterRevision: number, signal: AbortSignal): AsyncIterable<WatchEvent>;
    /** Says whether the last call got an answer. */
    isReachable(): boolean;
}

/** Creates an object that is not there yet, or replaces it at the revision at which it was read; returns the new one. */
export function writeObject(
    store: ObjectStore,
    name: string,
    value: unknown,
    current: Pick<StoredObject, "revision"> | undefined,
): Promise<Result<number, WriteFailure>> {
    return current === undefined ? store.createObject(name, value) : store.replaceObject(name, value, current.revision);
}
