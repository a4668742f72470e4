import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { DefaultVersionMoveStore } from "../node/bindings/defaultDeployment.js";
import { PlacementQuery } from "../placement/types.js";
import { createRevision } from "../provider/revision.js";
import { createEndpointEntry, createPlacementQuery } from "../testing/gatewayParts.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { MoveSchedule } from "./moveSchedule.js";
import { MoveStage } from "./types.js";
import { VersionMoves } from "./versionMoves.js";
import { VersionTraffic } from "./versionTraffic.js";

const trialShare = 0.04;
const order = { service: "desk", target: "v2", duration: 14_000 };

function createMoves(name = "node-1") {
    const clock = VirtualClock.create();
    const decoder = DefaultVersionMoveStore.create(MemoryObjectStore.create(MemoryObjects.create(), clock, clock, SeededRandom.create(1)));
    const moves = VersionMoves.create(decoder, { name, incarnation: 1 }, clock, SilentEventLog.create());
    let revision = 0;
    const publish = (stage?: MoveStage) => {
        revision += 1;
        const account = stage === undefined ? undefined : { target: "v2", stage, deadline: clock.getWallTime() + 9_000, reason: "" };
        moves.handleChange({ name: "version-moves/desk", revision, value: { ...order, account } });
    };
    return { moves, publish, traffic: VersionTraffic.create(moves, SeededRandom.create(7), trialShare) };
}

function createEndpoints(): FleetEndpoint[] {
    return ["v1", "v2"].flatMap(version =>
        Array.from({ length: 20 }, (_, index) => FleetEndpoint.create(createEndpointEntry({ id: `${version}-${index}`, version }), 0))
    );
}

function countVersions(traffic: VersionTraffic, query: PlacementQuery): { newer: number; older: number; endpoints: Set<string>; } {
    const all = createEndpoints();
    const counted = { newer: 0, older: 0, endpoints: new Set<string>() };
    for (let request = 0; request < 2_000; request += 1) {
        const [firstGroup = []] = traffic.listGroups(query, all);
        const isNew = firstGroup[0]?.entry.version === "v2";
        counted.newer += isNew ? 1 : 0;
        counted.older += isNew ? 0 : 1;
        firstGroup.filter(() => isNew).forEach(endpoint => counted.endpoints.add(endpoint.entry.id));
    }
    return counted;
}

function recordAttempts(moves: VersionMoves, version: string, count: number, isBad: (index: number) => boolean, timeRatio = 1): void {
    for (let index = 0; index < count; index += 1) {
        moves.recordAttempt({ service: "desk", route: "lookup", version, load: 0.2, hasSucceeded: !isBad(index), timeRatio });
    }
}

test("in the trial stage the new version gets its share on few endpoints, and retries stay at the old version", () => {
    const { publish, traffic } = createMoves();
    assert.equal(countVersions(traffic, createPlacementQuery({})).newer, 0);
    publish();
    const counted = countVersions(traffic, createPlacementQuery({}));
    assert.equal(counted.newer > 40 && counted.newer < 130, true, String(counted.newer));
    assert.equal(counted.endpoints.size, 1);
    const [tried] = createEndpoints() as [FleetEndpoint];
    assert.equal(countVersions(traffic, createPlacementQuery({ triedEndpoints: new Set([tried]) })).newer, 0);
});

test("streams that cannot be resumed move first, then every request, and none after a move was rolled back", () => {
    const { publish, traffic } = createMoves();
    publish(MoveStage.LongStreams);
    assert.equal(countVersions(traffic, createPlacementQuery({ isNonResumableStream: true })).older, 0);
    assert.equal(countVersions(traffic, createPlacementQuery({})).newer < 130, true);
    publish(MoveStage.All);
    assert.equal(countVersions(traffic, createPlacementQuery({})).older, 0);
    publish(MoveStage.RolledBack);
    assert.equal(countVersions(traffic, createPlacementQuery({ isNonResumableStream: true })).newer, 0);
    publish(MoveStage.Done);
    assert.equal(countVersions(traffic, createPlacementQuery({})).older, 0);
});

test("each node stops sending requests to a failing version at once, also on evidence that peers counted", () => {
    const observer = createMoves("node-1");
    const receiver = createMoves("node-2");
    [observer, receiver].forEach(({ publish }) => publish());
    recordAttempts(observer.moves, "v1", 200, index => index % 100 === 0);
    recordAttempts(observer.moves, "v2", 20, index => index % 3 === 0);
    assert.equal(countVersions(observer.traffic, createPlacementQuery({})).newer, 0);
    observer.moves.listRunning().forEach(move => assert.match(move.finding ?? "", /failures/));
    observer.moves.listEvidence(false).forEach(entry => receiver.moves.mergeEvidence(entry));
    assert.equal(countVersions(receiver.traffic, createPlacementQuery({})).newer, 0);
});

test("a version that is several times slower on part of its requests is rejected, one as fast as the old version is not", () => {
    const { moves, publish } = createMoves();
    publish();
    recordAttempts(moves, "v1", 60, () => false);
    recordAttempts(moves, "v2", 60, () => false);
    assert.equal(moves.listRunning()[0]?.finding, undefined);
    for (let round = 0; round < 10; round += 1) {
        recordAttempts(moves, "v2", 2, () => false);
        recordAttempts(moves, "v2", 2, () => false, 4);
    }
    assert.match(moves.listRunning()[0]?.finding ?? "", /slow/);
});

test("the stored status of an earlier target is not applied to a new order", () => {
    const { moves, publish } = createMoves();
    publish(MoveStage.RolledBack);
    assert.equal(moves.listRunning().length, 0);
    moves.handleChange({
        name: "version-moves/desk",
        revision: 9,
        value: { ...order, target: "v3", account: { target: "v2", stage: MoveStage.RolledBack, deadline: 0, reason: "" } },
    });
    const [move] = moves.listRunning();
    assert.equal(move?.order.target, "v3");
    assert.equal(move && moves.getStage(move), MoveStage.Trial);
});

test("requests move to the new version late, long streams first, and all before the deadline", () => {
    const schedule = MoveSchedule.create({ share: 0.1, slack: 50 });
    const computeStage = (timeLeft: number) => {
        const elapsed = order.duration - timeLeft;
        const attempts = elapsed * 0.185;
        return schedule.computeStage({
            duration: order.duration,
            timeLeft,
            attempts,
            exposedAttempts: attempts * trialShare,
            nonResumableStreams: attempts * 0.3,
        });
    };
    assert.equal(computeStage(13_900), MoveStage.Trial);
    assert.equal(computeStage(6_000), MoveStage.Trial);
    assert.equal(computeStage(2_000), MoveStage.LongStreams);
    assert.equal(computeStage(1_000), MoveStage.All);
    assert.equal(computeStage(-500), MoveStage.All);
});

test("a move that was completed stays completed when the store is restored without its status or its order", () => {
    const { moves, publish } = createMoves();
    publish(MoveStage.All);
    publish(MoveStage.Done);
    moves.handleListing({ revision: createRevision(1, 2), objects: [] });
    const move = moves.findMove("desk");
    assert.equal(move?.account?.stage, MoveStage.Done);
    moves.handleChange({ name: "version-moves/desk", revision: createRevision(1, 3), value: order });
    assert.equal(move?.account?.stage, MoveStage.Done);
    assert.equal(moves.listWithLostStatus().length, 1);
    if (move?.account !== undefined) {
        moves.recordStatus(move, { ...move.object, revision: createRevision(1, 4) }, move.account);
    }
    assert.equal(moves.listWithLostStatus().length, 0);
});
