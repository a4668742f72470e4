import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { describeError } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { ObjectStore } from "./objectStore.js";
import { getEra, Revision } from "./revision.js";
import { ObjectList, StoredObject, WatchEvent, WatchEventKind } from "./types.js";

/** Backoff after a failed call, doubled with each further failure up to the maximum. It limits the number of calls, which are counted during an outage too. */
const initialBackoffMilliseconds = 100;
const maximumBackoffMilliseconds = 1_000;

/** Pause after a batch of changes before the next call: changes occur in groups, and one call returns a whole group. */
const batchPauseMilliseconds = 200;

/** Pause between two checks whether a suspended watch must start again, in milliseconds: short compared with the time to apply a change. */
const suspensionPollMilliseconds = 250;

/** Receives the objects and changes that an `ObjectWatcher` reads. */
export interface ObjectChangeHandler {
    /** Handles the complete list of objects. Called at the start and whenever the watch history has expired. */
    handleListing(list: ObjectList): void;
    handleChange(object: StoredObject): void;
    handleRemoval(name: string, revision: number): void;
}

/** Keeps a handler up to date with all objects under a prefix: lists them, watches for changes, and lists again when the watch history has expired. */
export class ObjectWatcher {
    private readonly stopController = new AbortController();
    /** Ends the running watch, or the pause after it. */
    private watchController = new AbortController();
    private revision: Revision | undefined;
    /** Era of the store in the last complete list; undefined before the first. */
    private era: number | undefined;
    private consecutiveFailures = 0;
    private outageStartedAt: number | undefined;
    private outageEndedAt = -Infinity;
    private confirmedAt = -Infinity;
    /** Whether the next watch first confirms what is known: nothing was heard of the store for a time, or its watch may have gone silent. */
    private isConfirmationDue = false;
    private handleRelist: () => void = () => {};
    private getBatchPause: () => number = () => batchPauseMilliseconds;
    private isSuspended: () => boolean = () => false;

    private constructor(
        private readonly store: ObjectStore,
        private readonly prefix: string,
        private readonly handler: ObjectChangeHandler,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(store: ObjectStore, prefix: string, handler: ObjectChangeHandler, clock: Clock, log: EventLog): ObjectWatcher {
        return new ObjectWatcher(store, prefix, handler, clock, log);
    }

    /** Sets a function that is called after each complete list, so that peers whose watches missed the same changes can be sent them. */
    setRelistHandler(handleRelist: () => void): void {
        this.handleRelist = handleRelist;
    }

    /** Sets the function that returns the pause after a batch of changes, in milliseconds. The pause is longer where the changes also arrive by another path, such as a relay. */
    setBatchPauseSource(getBatchPause: () => number): void {
        this.getBatchPause = getBatchPause;
    }

    /** Sets a function that returns whether the changes arrive by another path, so that this node need not watch the store. */
    setSuspensionSource(isSuspended: () => boolean): void {
        this.isSuspended = isSuspended;
    }

    /** Lists and watches until `stop` is called. */
    async run(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            if (this.revision !== undefined && this.isSuspended()) {
                this.isConfirmationDue = true;
                await this.clock.sleep(suspensionPollMilliseconds, this.stopController.signal);
                continue;
            }
            this.watchController = new AbortController();
            const hasSucceeded = this.revision === undefined ? await this.listAll() : await this.watchOnce(this.revision);
            if (this.stopController.signal.aborted) {
                return;
            }
            if (this.watchController.signal.aborted) {
                continue;
            }
            if (hasSucceeded) {
                this.recordSuccess();
                continue;
            }
            this.recordFailure();
            const pause = initialBackoffMilliseconds * 2 ** Math.min(this.consecutiveFailures - 1, 8);
            await this.clock.sleep(Math.min(pause, maximumBackoffMilliseconds), this.stopController.signal);
        }
    }

    /** Ends the running watch or the pause after it, so that another one confirms at once what is known. What has been read stays. */
    renewWatch(): void {
        this.isConfirmationDue = true;
        this.watchController.abort();
    }

    /** Aborts the current watch or pause and ends `run`. */
    stop(): void {
        this.stopController.abort();
    }

    /** Returns whether the objects have been listed and the last call to the store succeeded. */
    isSynchronized(): boolean {
        return this.revision !== undefined && this.outageStartedAt === undefined;
    }

    /** Returns the monotonic time in milliseconds at which the last outage ended, or -Infinity if there was no outage. */
    getOutageEndedAt(): number {
        return this.outageEndedAt;
    }

    /** Returns the monotonic time in milliseconds up to which every change is known to have been handled, or -Infinity before the first list. */
    getConfirmedAt(): number {
        return this.confirmedAt;
    }

    private async listAll(): Promise<boolean> {
        const startedAt = this.clock.getMonotonicTime();
        const listed = await this.store.listObjects(this.prefix);
        if (listed.err) {
            return false;
        }
        this.recordSuccess();
        this.recordEra(listed.val.revision);
        this.revision = listed.val.revision;
        try {
            this.handler.handleListing(listed.val);
        }
        catch (error) {
            this.log.log(LogEvents.TaskFailed, { task: "apply a list of the store", prefix: this.prefix, cause: describeError(error) });
        }
        this.confirmedAt = startedAt;
        this.handleRelist();
        return true;
    }

    /** Treats a restore of the store from a copy like the end of an outage: what was written after the copy is still being written again. */
    private recordEra(revision: Revision): void {
        const era = getEra(revision);
        if (this.era !== undefined && era > this.era) {
            this.outageEndedAt = this.clock.getMonotonicTime();
            this.log.log(LogEvents.StoreRestored, { dependency: `store ${this.prefix}`, era, before: this.era });
        }
        this.era = era;
    }

    /** Watches until the watch ends; returns whether any event was received. */
    private async watchOnce(afterRevision: Revision): Promise<boolean> {
        let hasReceivedEvent = false;
        let hasChange = false;
        const signal = AbortSignal.any([this.stopController.signal, this.watchController.signal]);
        const options = { isConfirmedAtOnce: this.isConfirmationDue };
        this.isConfirmationDue = false;
        for await (const event of this.store.watchObjects(this.prefix, afterRevision, signal, options)) {
            hasReceivedEvent = true;
            this.recordSuccess();
            if (event.kind === WatchEventKind.Expired) {
                this.log.log(LogEvents.DependencyLost, {
                    dependency: `watch ${this.prefix}`,
                    cause: "history is gone or the store was restored",
                    revision: afterRevision,
                });
                this.revision = undefined;
                return true;
            }
            this.revision = Math.max(event.revision, this.revision ?? 0);
            if (event.kind === WatchEventKind.Heartbeat) {
                this.confirmedAt = this.clock.getMonotonicTime();
                if (this.isSuspended()) {
                    return true;
                }
                if (hasChange) {
                    hasChange = false;
                    await this.clock.sleep(this.getBatchPause(), signal);
                }
                continue;
            }
            hasChange = true;
            this.applyChange(event);
        }
        return hasReceivedEvent;
    }

    /** Applies one change. An object that cannot be handled must not keep later changes from being applied. */
    private applyChange(event: WatchEvent): void {
        const { object, kind } = event;
        if (object === undefined) {
            return;
        }
        try {
            if (kind === WatchEventKind.Changed) {
                this.handler.handleChange(object);
            }
            else {
                this.handler.handleRemoval(object.name, object.revision);
            }
        }
        catch (error) {
            this.log.log(LogEvents.TaskFailed, { task: "apply a change of the store", object: object.name, cause: describeError(error) });
        }
    }

    /** Resets the backoff; logs the end of an outage. */
    private recordSuccess(): void {
        this.consecutiveFailures = 0;
        if (this.outageStartedAt === undefined) {
            return;
        }
        this.outageEndedAt = this.clock.getMonotonicTime();
        const outageMilliseconds = Math.round(this.outageEndedAt - this.outageStartedAt);
        this.outageStartedAt = undefined;
        this.log.log(LogEvents.DependencyRegained, { dependency: `store ${this.prefix}`, milliseconds: outageMilliseconds });
    }

    /** Counts a failed call; logs the start of an outage. */
    private recordFailure(): void {
        this.consecutiveFailures += 1;
        if (this.outageStartedAt === undefined) {
            this.outageStartedAt = this.clock.getMonotonicTime();
            this.log.log(LogEvents.DependencyLost, { dependency: `store ${this.prefix}`, cause: "no answer", revision: this.revision });
        }
    }
}
