import assert from "node:assert/strict";
import { test } from "node:test";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { SeededRandom } from "../../common/random.js";
import { Err, Ok } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { LeaseManager } from "../../control/commands/leaseManager.js";
import { OrderSender, orderTimeLimitMilliseconds } from "../../control/commands/orderSender.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointDescription } from "../../endpoints/types.js";
import { MemoryObjects, MemoryObjectStore } from "../memoryObjectStore.js";
import { PausableClock, VirtualClock } from "../virtualClock.js";

const schedules = 500;
const candidates = 3;
const term = 3_000;
const scheduleMilliseconds = 30_000;
const orderIntervalMilliseconds = 250;

interface AcceptedOrder {
    readonly holder: number;
    readonly fencing: number;
}

/** An endpoint that records the orders it accepts. */
class RecordingEndpoint {
    readonly accepted: AcceptedOrder[] = [];
    private fencing = 0;

    constructor(private readonly checksFencing: boolean) {}

    acceptOrder(holder: number, fencing: number): boolean {
        if (this.checksFencing && fencing < this.fencing) {
            return false;
        }
        this.fencing = fencing;
        this.accepted.push({ holder, fencing });
        return true;
    }

    getFencing(): number {
        return this.fencing;
    }
}

test("500 seeded schedules of pauses, lost answers and outages: no order of an earlier holder is accepted after one of a later holder", async () => {
    let changes = 0;
    for (let seed = 1; seed <= schedules; seed += 1) {
        for (const checksFencing of [true, false]) {
            changes += await runSchedule(seed, checksFencing);
        }
    }
    assert.ok(changes > schedules, `only ${changes} changes of holder; the schedules prove little`);
});

/** Runs one schedule; returns how often the holder changed. */
async function runSchedule(seed: number, checksFencing: boolean): Promise<number> {
    const world = VirtualClock.create();
    const objects = MemoryObjects.create();
    const random = SeededRandom.create(seed);
    const endpoint = new RecordingEndpoint(checksFencing);
    const clocks: PausableClock[] = [];
    const stores: MemoryObjectStore[] = [];
    const leases: LeaseManager[] = [];
    const stopping = new AbortController();
    for (let index = 0; index < candidates; index += 1) {
        const clock = PausableClock.create(world);
        const store = MemoryObjectStore.create(objects, world, clock, SeededRandom.create(seed * 10 + index));
        const lease = LeaseManager.create(
            store,
            clock,
            { name: `node-${index}`, incarnation: 1 },
            "leases/test",
            term,
            { recordAcquisition: () => {} },
        );
        const client = createClient(endpoint, index, world, clock, SeededRandom.create(seed * 10 + index + 5), checksFencing);
        const sender = OrderSender.create(client, lease, clock, () => checksFencing);
        clocks.push(clock);
        stores.push(store);
        leases.push(lease);
        void lease.runRounds();
        void sendOrders(sender, clock, stopping.signal);
    }
    while (world.getMonotonicTime() < scheduleMilliseconds) {
        const index = random.pickIndex(candidates);
        const store = stores[index] as MemoryObjectStore;
        switch (random.pickIndex(5)) {
            case 0:
                clocks[index]?.addPause(random.pickIndex(3 * term));
                break;
            case 1:
                store.faults.lostAnswerShare = 0.5;
                break;
            case 2:
                store.faults.isDown = true;
                break;
            case 3:
                store.faults.delay = random.pickIndex(1_500);
                break;
            default:
                Object.assign(store.faults, {
                    isDown: false,
                    lostAnswerShare: 0,
                    delay: 10,
                    staleReadShare: random.pickFraction() < 0.3 ? 0.3 : 0,
                });
        }
        await world.runUntil(world.getMonotonicTime() + 300 + random.pickIndex(1_500));
    }
    stopping.abort();
    leases.forEach(lease => lease.stop());
    await world.runUntil(scheduleMilliseconds + 20_000);
    let highest = 0;
    const holders = new Map<number, number>();
    for (const order of endpoint.accepted) {
        assert.ok(order.fencing >= highest, `seed ${seed}, checks ${checksFencing}: order ${order.fencing} accepted after ${highest}`);
        assert.equal(holders.get(order.fencing) ?? order.holder, order.holder, `seed ${seed}: one fencing number, two holders`);
        holders.set(order.fencing, order.holder);
        highest = order.fencing;
    }
    return holders.size;
}

async function sendOrders(sender: OrderSender, clock: PausableClock, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        if (sender.isSendAllowed("group")) {
            await sender.sendModels(createDescription(), ["model"]);
        }
        await clock.sleep(orderIntervalMilliseconds, signal);
    }
}

/**
 * Carries orders with delays. An endpoint that checks may get them at any time, also long after the sender was paused
 * with the order on its way. For one that does not check, the bound is stated: an order arrives within its time limit or
 * never, and the sender is not paused between its check and the dispatch.
 */
function createClient(
    endpoint: RecordingEndpoint,
    holder: number,
    world: VirtualClock,
    clock: PausableClock,
    random: SeededRandom,
    checksFencing: boolean,
): ModelEndpointClient {
    const lost = Failure.create(Verdict.MayHaveRun, Diagnostics.Connection_was_lost_after_the_request_was_sent_0, "late");
    const sendOrder: ModelEndpointClient["sendOrder"] = async (_address, order) => {
        if (checksFencing) {
            await clock.waitWhilePaused();
            await world.sleep(random.pickIndex(6 * orderTimeLimitMilliseconds));
        }
        else {
            await world.sleep(random.pickIndex(orderTimeLimitMilliseconds));
        }
        const accepted = endpoint.acceptOrder(holder, order.fencing);
        return accepted ? Ok(undefined) : Err(lost);
    };
    const fetchModels: ModelEndpointClient["fetchModels"] = async () =>
        Ok({ fencing: endpoint.getFencing(), loaded: ["model"], loading: [] });
    return { sendOrder, fetchModels } as unknown as ModelEndpointClient;
}

function createDescription(): EndpointDescription {
    return { name: "endpoint", address: { host: "10.0.0.9", port: 1 }, group: "group" } as EndpointDescription;
}

test("the bound for endpoints that do not check: a pause between check and dispatch that outlasts the successor's wait lets an old order in", async () => {
    const world = VirtualClock.create();
    const objects = MemoryObjects.create();
    const endpoint = new RecordingEndpoint(false);
    const clocks = [0, 1].map(() => PausableClock.create(world));
    const leases = clocks.map((clock, index) => {
        const store = MemoryObjectStore.create(objects, world, clock, SeededRandom.create(index + 1));
        return LeaseManager.create(
            store,
            clock,
            { name: `node-${index}`, incarnation: 1 },
            "leases/test",
            term,
            { recordAcquisition: () => {} },
        );
    });
    void leases[0]?.runRounds();
    await world.runUntil(500);
    void leases[1]?.runRounds();
    await world.runUntil(10_000);
    const fencing = leases[0]?.getGrant()?.fencing ?? 0;
    // The first holder has checked its lease; its process is paused before the order leaves.
    clocks[0]?.addPause(4 * term);
    await world.runUntil(10_000 + 3 * term);
    const second = leases[1]?.getGrant();
    assert.ok(second !== undefined && second.fencing > fencing, "the second node has taken over");
    const wait = (leases[1]?.getPreviousHolderTimeout() ?? 0) + orderTimeLimitMilliseconds;
    assert.ok(wait < 2 * term, "a pause shorter than the successor's wait does no harm");
    endpoint.acceptOrder(1, second.fencing);
    assert.equal(endpoint.acceptOrder(0, fencing), true, "beyond the bound the endpoint cannot tell");
    leases.forEach(lease => lease.stop());
    await world.runUntil(60_000);
});
