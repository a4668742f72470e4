import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { ObjectStore } from "./objectStore.js";
import { ObjectList, StoredObject, WatchEvent, WatchEventKind } from "./types.js";

/** First pause after a failed call, in milliseconds; it doubles up to the longest: each call is counted, also in an outage. */
const firstPauseMilliseconds = 100;
const longestPauseMilliseconds = 1_000;

/** Pause after changes before the next call, in milliseconds: changes come in groups, and one call brings a whole group. */
export const groupMilliseconds = 200;

/** Takes what a follower reads. */
export interface ObjectHandler {
    /** Called with everything that is there, at the start and whenever the history was lost. */
    handleListing(list: ObjectList): void;
    handleChange(object: StoredObject): void;
    handleRemoval(name: string, revision: number): void;
}

/** Follows every object under a prefix: lists them, then watches for changes, and lists again when the history is lost. */
export class ObjectFollower {
    private readonly stopping = new AbortController();
    private revision: number | undefined;
    private failuresInRow = 0;
    private lostAt: number | undefined;
    private currentAt = -Infinity;
    private handleLateNews: () => void = () => {};
    private getGroupPause: () => number = () => groupMilliseconds;

    private constructor(
        private readonly store: ObjectStore,
        private readonly prefix: string,
        private readonly handler: ObjectHandler,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(store: ObjectStore, prefix: string, handler: ObjectHandler, clock: Clock, log: EventLog): ObjectFollower {
        return new ObjectFollower(store, prefix, handler, clock, log);
    }

    /** Says what to do after changes were found by listing again: others' watches may have missed them too. */
    setLateNewsHandler(handleLateNews: () => void): void {
        this.handleLateNews = handleLateNews;
    }

    /** Says where the pause after changes is looked up, in milliseconds; it is longer where the changes come another way too. */
    setGroupPause(getGroupPause: () => number): void {
        this.getGroupPause = getGroupPause;
    }

    /** Runs until stop is called. */
    async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const isReached = this.revision === undefined ? await this.listAll() : await this.watchOnce(this.revision);
            if (this.stopping.signal.aborted) {
                return;
            }
            if (isReached) {
                this.recordReached();
                continue;
            }
            this.recordFailure();
            const pause = firstPauseMilliseconds * 2 ** Math.min(this.failuresInRow - 1, 8);
            await this.clock.sleep(Math.min(pause, longestPauseMilliseconds), this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Whether its last call got an answer. */
    isCurrent(): boolean {
        return this.revision !== undefined && this.lostAt === undefined;
    }

    /** Returns the monotonic time at which the last outage ended, or -Infinity when there was none. */
    getRegainedAt(): number {
        return this.currentAt;
    }

    private async listAll(): Promise<boolean> {
        const listed = await this.store.listObjects(this.prefix);
        if (listed.err) {
            return false;
        }
        this.recordReached();
        this.revision = listed.val.revision;
        this.handler.handleListing(listed.val);
        this.handleLateNews();
        return true;
    }

    /** Watches until the watch ends; returns whether it got any answer. */
    private async watchOnce(after: number): Promise<boolean> {
        let hasAnswer = false;
        let hasChange = false;
        for await (const event of this.store.watchObjects(this.prefix, after, this.stopping.signal)) {
            hasAnswer = true;
            this.recordReached();
            if (event.kind === WatchEventKind.Expired) {
                this.log.log(LogEvents.DependencyLost, { dependency: `watch ${this.prefix}`, cause: "history is gone", revision: after });
                this.revision = undefined;
                return true;
            }
            this.revision = Math.max(event.revision, this.revision ?? 0);
            if (event.kind === WatchEventKind.Heartbeat) {
                if (hasChange) {
                    hasChange = false;
                    await this.clock.sleep(this.getGroupPause(), this.stopping.signal);
                }
                continue;
            }
            hasChange = true;
            this.applyChange(event);
        }
        return hasAnswer;
    }

    private applyChange(event: WatchEvent): void {
        if (event.object === undefined) {
            return;
        }
        if (event.kind === WatchEventKind.Changed) {
            this.handler.handleChange(event.object);
            return;
        }
        this.handler.handleRemoval(event.object.name, event.object.revision);
    }

    private recordReached(): void {
        this.failuresInRow = 0;
        if (this.lostAt === undefined) {
            return;
        }
        this.currentAt = this.clock.getMonotonicTime();
        const away = Math.round(this.currentAt - this.lostAt);
        this.lostAt = undefined;
        this.log.log(LogEvents.DependencyRegained, { dependency: `store ${this.prefix}`, milliseconds: away });
    }

    private recordFailure(): void {
        this.failuresInRow += 1;
        if (this.lostAt === undefined) {
            this.lostAt = this.clock.getMonotonicTime();
            this.log.log(LogEvents.DependencyLost, { dependency: `store ${this.prefix}`, cause: "no answer", revision: this.revision });
        }
    }
}
