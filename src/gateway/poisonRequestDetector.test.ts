import assert from "node:assert/strict";
import { test } from "node:test";
import { SilentEventLog } from "../common/eventLog.js";
import { SeededRandom } from "../common/random.js";
import { ConnectionProbe, ProbeResult } from "../endpoints/connectionProbe.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { createEndpointEntry } from "../testing/gatewayParts.js";
import { MemoryObjects, MemoryObjectStore } from "../testing/memoryObjectStore.js";
import { VirtualClock } from "../testing/virtualClock.js";
import { EndpointCrashCheck } from "./endpointCrashCheck.js";
import { Admission, CrashEvidence, PoisonRequestDetector } from "./poisonRequestDetector.js";
import { QuarantineTrials } from "./quarantineTrials.js";
import { StoredQuarantines } from "./storedQuarantines.js";
import { IncomingCall } from "./types.js";

const termMilliseconds = 600_000;

/** Address of an endpoint beside the one that is checked. */
const otherAddress = { host: "127.0.0.1", port: 10 };

/** Creates a detector whose probes have the given results; the last one repeats. Another endpoint accepts connections unless told otherwise. */
function createDetector(clock: VirtualClock, ...results: ProbeResult[]) {
    return createDetectorBeside(ProbeResult.Accepted, clock, ...results);
}

function createDetectorBeside(otherResult: ProbeResult, clock: VirtualClock, ...results: ProbeResult[]) {
    const log = SilentEventLog.create();
    const ledger = QuarantineLedger.create(clock, termMilliseconds);
    const store = MemoryObjectStore.create(MemoryObjects.create(), clock, clock, SeededRandom.create(1));
    const probe: ConnectionProbe = {
        checkAddress: address =>
            Promise.resolve(
                address.port === otherAddress.port
                    ? otherResult
                    : (results.length > 1 ? results.shift() : results[0]) ?? ProbeResult.Unanswered,
            ),
    };
    const directory = EndpointDirectory.create(clock);
    directory.applyEntry({ entry: createEndpointEntry({ id: "other", address: otherAddress }), revision: 1 }, "test");
    const crashCheck = EndpointCrashCheck.create(probe, directory, clock, SeededRandom.create(1));
    const stored = StoredQuarantines.create(store, clock, log, "node/1");
    const trials = QuarantineTrials.create(stored, clock, log);
    return { ledger, detector: PoisonRequestDetector.create(ledger, stored, trials, crashCheck, clock, log) };
}

function createEndpoint(id: string): FleetEndpoint {
    return FleetEndpoint.create(createEndpointEntry({ id }), 0);
}

/** Creates a call with the given prompt parts; the last one is its own. */
function createCall(id: string, parts: readonly string[]): IncomingCall {
    const prompt = { parts: parts.map(part => ({ id: part, tokens: 100 })), inputTokens: 100, maxOutputTokens: 20 };
    return { id, service: "redactor", prompt, getFingerprint: () => `hash-of-${id}` } as unknown as IncomingCall;
}

/** Loses calls at an endpoint that turns out to have crashed. */
function killWith(detector: PoisonRequestDetector, endpoint: string, calls: readonly IncomingCall[]): void {
    const lost = createEndpoint(endpoint);
    calls.forEach(call => detector.recordLoss(lost, call));
    detector.recordCrash(lost, CrashEvidence.EntryRemoved);
}

// Guards against counting the lost paths of a node that is cut off as crashes of endpoints that run.
test("a refused connection is no crash while the node is refused everywhere", async () => {
    for (const [otherResult, crashes] of [[ProbeResult.Refused, 0], [ProbeResult.Unanswered, 0], [ProbeResult.Accepted, 1]] as const) {
        const { detector } = createDetectorBeside(otherResult, VirtualClock.create(), ProbeResult.Refused);
        const call = createCall("lost", ["own"]);
        detector.recordLoss(createEndpoint("endpoint-1"), call);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(detector.countCrashes(call), crashes);
    }
});

// Guards against refusing a popular part of prompts because it was often beside the part that crashes endpoints.
test("a popular part that is served between crashes stays allowed beside a quarantined one", () => {
    const { detector } = createDetector(VirtualClock.create(), ProbeResult.Unanswered);
    for (let crash = 0; crash < 4; crash += 1) {
        const deadly = createCall(`deadly-${crash}`, ["popular", "deadly", `own-${crash}`]);
        const bystander = createCall(`bystander-${crash}`, ["popular", "other", `own-b${crash}`]);
        killWith(detector, `endpoint-${crash}`, [deadly, bystander]);
        detector.recordSuccess(createCall(`sound-${crash}`, ["popular", "other", `own-s${crash}`]));
    }
    assert.equal(detector.getAdmission(createCall("next", ["popular", "deadly", "own"])), Admission.Refused);
    assert.equal(detector.getAdmission(createCall("sound", ["popular", "other", "own"])), Admission.Allowed);
});

test("the last part of a prompt, a success at another service and a part of another service count for nothing", () => {
    const { detector } = createDetector(VirtualClock.create(), ProbeResult.Unanswered);
    for (let crash = 0; crash < 4; crash += 1) {
        killWith(detector, `endpoint-${crash}`, [createCall(`lost-${crash}`, ["deadly", "session"])]);
        detector.recordSuccess({ ...createCall(`other-${crash}`, ["deadly", "own"]), service: "elsewhere" });
    }
    assert.equal(detector.getAdmission(createCall("same-session", ["other", "session"])), Admission.Allowed);
    assert.equal(detector.getAdmission(createCall("next", ["deadly", "own"])), Admission.Refused);
    assert.equal(detector.getAdmission({ ...createCall("elsewhere", ["deadly", "own"]), service: "elsewhere" }), Admission.Allowed);
});

test("a loss at an endpoint that does not answer a connection is no crash, one that refuses it is", async () => {
    for (const [result, crashes] of [[ProbeResult.Unanswered, 0], [ProbeResult.Accepted, 0], [ProbeResult.Refused, 1]] as const) {
        const { detector, ledger } = createDetector(VirtualClock.create(), result);
        const call = createCall("lost", ["own"]);
        detector.recordLoss(createEndpoint("endpoint"), call);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(ledger.countCrashes(call.getFingerprint()), crashes, result);
    }
});

// Guards against spending the trial of a sound part on a request that also has the part that crashes endpoints.
test("a request with two quarantined parts is not tried, one with one of them is", async () => {
    const clock = VirtualClock.create();
    const { detector } = createDetector(clock, ProbeResult.Unanswered);
    for (let crash = 0; crash < 3; crash += 1) {
        killWith(detector, `endpoint-${crash}`, [createCall(`lost-${crash}`, ["popular", "deadly", `own-${crash}`])]);
    }
    await clock.runUntil(1_000);
    assert.equal(detector.getAdmission(createCall("both", ["popular", "deadly", "own"])), Admission.Refused);
    assert.equal(detector.getAdmission(createCall("one", ["popular", "other", "own"])), Admission.NeedsTrial);
});

test("a request that is lost after its endpoint's restart was seen counts as a crash, at a leaving endpoint it does not", () => {
    const { detector, ledger } = createDetector(VirtualClock.create(), ProbeResult.Refused);
    const restarted = createEndpoint("restarted");
    restarted.isRemoved = true;
    const leaving = createEndpoint("leaving");
    leaving.isLeaving = true;
    detector.recordLoss(restarted, createCall("late", ["own"]));
    detector.recordLoss(leaving, createCall("cut-off", ["own"]));
    detector.recordCrash(leaving, CrashEvidence.EntryRemoved);
    assert.deepEqual([ledger.countCrashes("hash-of-late"), ledger.countCrashes("hash-of-cut-off")], [1, 0]);
});

// Guards against taking an endpoint that is ending for one that runs, since it accepted one more connection.
test("an endpoint that refuses connections a moment after it accepted one counts as crashed, one that sends something does not", async () => {
    const clock = VirtualClock.create();
    const ending = createDetector(clock, ProbeResult.Accepted, ProbeResult.Refused);
    ending.detector.recordLoss(createEndpoint("ending"), createCall("lost", ["own"]));
    const running = createDetector(clock, ProbeResult.Accepted, ProbeResult.Refused);
    const endpoint = createEndpoint("running");
    running.detector.recordLoss(endpoint, createCall("lost", ["own"]));
    endpoint.lastReceivedAt = clock.getMonotonicTime() + 1;
    await clock.runUntil(500);
    assert.deepEqual([ending.ledger.countCrashes("hash-of-lost"), running.ledger.countCrashes("hash-of-lost")], [1, 0]);
});
