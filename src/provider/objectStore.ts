import { Failure } from "../common/failure.js";
import { Result } from "../common/results.js";
import { Revision } from "./revision.js";
import { ObjectList, StoredObject, WatchEvent, WatchOptions, WriteFailure } from "./types.js";

/** The platform's store of named objects. Its revision increases with every write to any object; conditional writes compare revisions. */
export interface ObjectStore {
    /** Returns an object, or undefined when no object has this name. */
    getObject(name: string): Promise<Result<StoredObject | undefined, Failure>>;
    /** Returns every object whose name starts with the prefix. */
    listObjects(prefix: string): Promise<Result<ObjectList, Failure>>;
    /** Creates an object and returns its revision; fails with a conflict when the name already exists. */
    createObject(name: string, value: unknown): Promise<Result<Revision, WriteFailure>>;
    /** Replaces an object and returns its new revision; fails with a conflict when its revision is not the expected one. */
    replaceObject(name: string, value: unknown, expectedRevision: Revision): Promise<Result<Revision, WriteFailure>>;
    /** Removes an object; fails with a conflict when its revision is not the expected one. */
    removeObject(name: string, expectedRevision: Revision): Promise<Result<void, WriteFailure>>;
    /** Yields the changes under a prefix that follow a revision, until the signal aborts or the connection ends. */
    watchObjects(prefix: string, afterRevision: Revision, signal: AbortSignal, options?: WatchOptions): AsyncIterable<WatchEvent>;
    /** Returns whether the last call was answered by the store, without a server error. */
    isReachable(): boolean;
    /**
     * Returns the highest era of the store that is known; 0 for a store without eras. An era begins when the store is restored from
     * a copy: what was written after the copy was made is gone, and revision numbers are assigned again.
     */
    getEra(): number;
    /** Records an era that a peer saw. If it is higher, running watches end with an Expired event. */
    recordEra(era: number): void;
    /** Ends watches and closes idle connections, because open connections may have gone silent: the next calls open new ones. */
    renewConnections(): void;
}

/** Creates an object when `current` is undefined, otherwise replaces it provided its revision is still that of `current`; returns the new revision. */
export function writeObject(
    store: ObjectStore,
    name: string,
    value: unknown,
    current: Pick<StoredObject, "revision"> | undefined,
): Promise<Result<Revision, WriteFailure>> {
    return current === undefined ? store.createObject(name, value) : store.replaceObject(name, value, current.revision);
}
