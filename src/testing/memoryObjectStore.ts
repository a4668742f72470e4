import { Clock } from "../common/clock.js";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { RandomSource } from "../common/random.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { ObjectStore } from "../provider/objectStore.js";
import { createRevision, getEra, getStoreRevision, Revision } from "../provider/revision.js";
import { ObjectList, StoredObject, WatchEvent, WatchEventKind, WriteFailure, WriteOutcome } from "../provider/types.js";
import { PausableClock, VirtualClock } from "./virtualClock.js";

const watchPollMilliseconds = 20;
const heartbeatMilliseconds = 500;

/** What goes wrong between one viewer and the memory store. */
export interface StoreFaults {
    isDown: boolean;
    lostAnswerShare: number;
    staleReadShare: number;
    /** Longest time a call takes, in milliseconds; each takes a random part of it on either way. */
    delay: number;
}

/** The state that the viewers of one memory store share. */
export class MemoryObjects {
    history: StoredObject[] = [];
    readonly removals: { readonly revision: number; readonly object: StoredObject; }[] = [];
    objects = new Map<string, StoredObject>();
    revision: Revision = 0;

    /** Virtual time of each write, by its revision. */
    readonly writtenAt = new Map<number, number>();

    private constructor(private readonly getTime: () => number) {}

    static create(getTime: () => number = () => 0): MemoryObjects {
        return new MemoryObjects(getTime);
    }

    getEra(): number {
        return getEra(this.revision);
    }

    /** Returns a copy of all objects, from which the store can be restored later. */
    takeCopy(): ObjectList {
        return { revision: this.revision, objects: [...this.objects.values()] };
    }

    /** Restores a copy: later writes are gone, their revision numbers are assigned again, and a new era begins. */
    loadCopy(copy: ObjectList): void {
        const era = this.getEra() + 1;
        const move = (revision: Revision) => createRevision(era, getStoreRevision(revision));
        this.objects = new Map(copy.objects.map(object => [object.name, { ...object, revision: move(object.revision) }]));
        this.history = [...this.objects.values()].sort((left, right) => left.revision - right.revision);
        this.revision = move(copy.revision);
    }

    putObject(name: string, value: unknown): number {
        this.revision += 1;
        const object: StoredObject = { name, revision: this.revision, value: JSON.parse(JSON.stringify(value)) as unknown };
        this.writtenAt.set(this.revision, this.getTime());
        this.objects.set(name, object);
        this.history.push(object);
        return this.revision;
    }
}

/** One viewer's access to a memory store, with faults of its own, in virtual time. */
export class MemoryObjectStore implements ObjectStore {
    readonly faults: StoreFaults = { isDown: false, lostAnswerShare: 0, staleReadShare: 0, delay: 10 };
    private reachable = true;
    private era = 0;

    private constructor(
        private readonly shared: MemoryObjects,
        private readonly world: VirtualClock,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly timeLimit: number,
    ) {}

    /** The time limit of a call is in milliseconds. */
    static create(shared: MemoryObjects, world: VirtualClock, clock: Clock, random: RandomSource, timeLimit = 1_000): MemoryObjectStore {
        return new MemoryObjectStore(shared, world, clock, random, timeLimit);
    }

    isReachable(): boolean {
        return this.reachable;
    }

    getEra(): number {
        return this.era;
    }

    recordEra(era: number): void {
        this.era = Math.max(this.era, era);
    }

    renewConnections(): void {}

    async getObject(name: string): Promise<Result<StoredObject | undefined, Failure>> {
        return this.runRead(() => this.readObject(name));
    }

    async listObjects(prefix: string): Promise<Result<ObjectList, Failure>> {
        return this.runRead(() => {
            const isStale = this.random.pickFraction() < this.faults.staleReadShare;
            const bound = isStale ? Math.max(0, this.shared.revision - 1 - this.random.pickIndex(10)) : this.shared.revision;
            const latest = new Map<string, StoredObject>();
            for (const object of this.shared.history) {
                if (object.revision <= bound && object.name.startsWith(prefix) && this.shared.objects.has(object.name)) {
                    latest.set(object.name, object);
                }
            }
            return { revision: bound, objects: [...latest.values()] };
        });
    }

    async createObject(name: string, value: unknown): Promise<Result<Revision, WriteFailure>> {
        return this.runWrite(name, () => (this.shared.objects.has(name) ? undefined : this.shared.putObject(name, value)));
    }

    async replaceObject(name: string, value: unknown, expectedRevision: Revision): Promise<Result<Revision, WriteFailure>> {
        return this.runWrite(name, () => {
            const current = this.shared.objects.get(name);
            // Like the platform's store, it compares its own revision numbers, which a restored copy assigns again.
            const isExpected = current !== undefined && getStoreRevision(current.revision) === getStoreRevision(expectedRevision);
            return isExpected ? this.shared.putObject(name, value) : undefined;
        }, getEra(expectedRevision));
    }

    async removeObject(name: string, expectedRevision: Revision): Promise<Result<void, WriteFailure>> {
        const removed = await this.runWrite(name, () => {
            const current = this.shared.objects.get(name);
            if (current?.revision !== expectedRevision) {
                return undefined;
            }
            this.shared.objects.delete(name);
            this.shared.revision += 1;
            return this.shared.revision;
        });
        return removed.map(() => undefined);
    }

    async *watchObjects(prefix: string, afterRevision: Revision, signal: AbortSignal): AsyncIterable<WatchEvent> {
        let seen = afterRevision;
        const era = getEra(afterRevision);
        let heartbeatAt = this.world.getMonotonicTime();
        while (!signal.aborted) {
            await this.clock.sleep(watchPollMilliseconds, signal);
            if (this.faults.isDown) {
                return;
            }
            if (this.shared.getEra() !== era || this.era > era) {
                this.recordEra(this.shared.getEra());
                yield { kind: WatchEventKind.Expired, revision: seen };
                return;
            }
            for (const object of this.shared.history) {
                if (object.revision > seen && object.name.startsWith(prefix)) {
                    seen = object.revision;
                    yield { kind: WatchEventKind.Changed, revision: object.revision, object };
                }
            }
            if (this.world.getMonotonicTime() - heartbeatAt > heartbeatMilliseconds) {
                heartbeatAt = this.world.getMonotonicTime();
                yield { kind: WatchEventKind.Heartbeat, revision: this.shared.revision };
            }
        }
    }

    private readObject(name: string): StoredObject | undefined {
        const current = this.shared.objects.get(name);
        if (current === undefined || this.random.pickFraction() >= this.faults.staleReadShare) {
            return current;
        }
        const earlier = this.shared.history.filter(object => object.name === name && object.revision < current.revision);
        return earlier.at(-1) ?? current;
    }

    private async runRead<T>(read: () => T): Promise<Result<T, Failure>> {
        await this.travel();
        if (this.faults.isDown) {
            this.reachable = false;
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, "down"));
        }
        const value = read();
        const era = this.shared.getEra();
        await this.travel();
        if (era < this.era) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, "answer of an earlier era"));
        }
        this.recordEra(era);
        this.reachable = true;
        return Ok(value);
    }

    private async runWrite(
        name: string,
        write: () => Revision | undefined,
        expectedEra?: number,
    ): Promise<Result<Revision, WriteFailure>> {
        const startedAt = this.world.getMonotonicTime();
        await this.travel();
        if (this.faults.isDown) {
            this.reachable = false;
            return Err({
                outcome: WriteOutcome.Unknown,
                failure: Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, "down"),
            });
        }
        const revision = write();
        const era = this.shared.getEra();
        await this.travel();
        const isLate = this.world.getMonotonicTime() - startedAt > this.timeLimit;
        const isOfEarlierEra = era < this.era;
        this.recordEra(era);
        const isConditionOutdated = revision !== undefined && expectedEra !== undefined && expectedEra !== era;
        if (isLate || isOfEarlierEra || isConditionOutdated || this.random.pickFraction() < this.faults.lostAnswerShare) {
            return Err({
                outcome: WriteOutcome.Unknown,
                failure: Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, "answer lost"),
            });
        }
        this.reachable = true;
        if (revision === undefined) {
            return Err({
                outcome: WriteOutcome.Conflict,
                failure: Failure.create(Verdict.NotRun, Diagnostics.Revision_conflict_on_0, name),
            });
        }
        return Ok(revision);
    }

    /** Takes the time of one way; a paused process neither sends nor receives. */
    private async travel(): Promise<void> {
        if (this.clock instanceof PausableClock) {
            await this.clock.waitWhilePaused();
        }
        await this.world.sleep(this.random.pickFraction() * this.faults.delay);
        if (this.clock instanceof PausableClock) {
            await this.clock.waitWhilePaused();
        }
    }
}
