import assert from "node:assert/strict";
import { test } from "node:test";
import { applyLimitMilliseconds, GossipTestFleet, GossipTestNode } from "../testing/gossipFleet.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { StoreFollower } from "./storeFollower.js";
import { WatchScheduler } from "./watchScheduler.js";

const stepMilliseconds = 50;
/** What a node needs from its decision to read the store until a change is in force there, in milliseconds. */
const ownReadMilliseconds = 500;

/** Fleet in which the nodes that do not follow peers watch the store in the product's own turns. */
class WatchingFleet {
    readonly fleet: GossipTestFleet;
    private readonly turns = new Map<GossipTestNode, number>();

    constructor(readonly clock: VirtualClock, count: number) {
        this.fleet = new GossipTestFleet(clock, count, ["a", "b", "c"]);
    }

    /** Runs until `time`; responses of the store reach only the nodes that `isConnected` names. */
    async runUntil(time: number, isConnected: (node: GossipTestNode) => boolean): Promise<void> {
        while (this.clock.getMonotonicTime() < time) {
            await this.clock.runUntil(this.clock.getMonotonicTime() + stepMilliseconds);
            this.fleet.runDueExchanges(stepMilliseconds);
            this.fleet.nodes.forEach(node => this.watchStore(node, isConnected(node)));
        }
    }

    listReading(): GossipTestNode[] {
        return this.fleet.nodes.filter(node => !node.follower.isFollowing());
    }

    /** A watch has its response at the end of its turn; the response to a node's first read comes at once. */
    private watchStore(node: GossipTestNode, isConnected: boolean): void {
        const now = this.clock.getMonotonicTime();
        if (node.follower.isFollowing() && node.confirmedAt > -Infinity) {
            return;
        }
        if (now >= (this.turns.get(node) ?? 0)) {
            const scheduler = WatchScheduler.create(node.table, node.plan, node.follower, this.clock, applyLimitMilliseconds);
            this.turns.set(node, now + scheduler.computeWait(true));
            node.confirmedAt = isConnected ? now : node.confirmedAt;
        }
    }
}

for (const count of [21, 74]) {
    test(`in a calm fleet of ${count} nodes only the readers watch the store`, async () => {
        const world = new WatchingFleet(VirtualClock.create(), count);
        await world.runUntil(10_000, () => true);
        for (let time = 10_000; time < 30_000; time += 500) {
            await world.runUntil(time, () => true);
            assert.equal(world.listReading().length <= 3, true, `${world.listReading().length} read at ${time}`);
        }
    });

    // Pattern: the nodes that read the store for all others lose it at once, while they and their peers go on exchanging digests.
    test(`each of ${count} nodes reads the store itself in time after its readers were cut off from it`, async () => {
        const clock = VirtualClock.create();
        const world = new WatchingFleet(clock, count);
        await world.runUntil(10_000, () => true);
        const readers = new Set(world.listReading());
        await world.runUntil(clock.getMonotonicTime() + applyLimitMilliseconds - ownReadMilliseconds, node => !readers.has(node));
        const late = world.fleet.nodes.filter(node =>
            !readers.has(node) && node.follower.isFollowing() && clock.getMonotonicTime() - node.follower.getAge() < 10_000
        );
        assert.deepEqual(late.map(node => node.name), []);
    });
}

test("a confirmation counts as soon as what the peer had applied is applied here too", () => {
    const clock = VirtualClock.create();
    const revisions = { configuration: 5, directory: 7, evacuations: 1 };
    for (const behind of [{ configuration: 4 }, { directory: 6 }, { evacuations: 0 }]) {
        const follower = StoreFollower.create({ isFollowingReader: () => true }, clock, applyLimitMilliseconds);
        let applied = { ...revisions, ...behind };
        follower.setAppliedSource(() => applied);
        follower.recordConfirmation({ confirmedAt: 0, revisions });
        assert.equal(follower.isFollowing(), false);
        applied = revisions;
        // The next peer is ahead again, as the readers are while endpoints change all the time.
        follower.recordConfirmation({ confirmedAt: 0, revisions: { ...revisions, directory: 8 } });
        assert.equal(follower.isFollowing(), true);
    }
});
