import assert from "node:assert/strict";
import { test } from "node:test";
import { RandomSource, SeededRandom } from "../../common/random.js";
import { Priority, ServiceKind } from "../../config/types.js";
import { CallFault } from "../../standins/plainService.js";
import { sendCall } from "../callers.js";
import { createTestService, createTestTeam, Deployment } from "../deployment.js";

const schedules = 1_000;
const schedulesAtOnce = 20;
const mostResends = 3;
const callTimeLimit = 250;

/** An endpoint that refuses as leaving gets no work for seconds, which would leave the other faults nothing to strike. */
const faults = Object.values(CallFault).filter(fault => fault !== CallFault.RefuseLeaving);

test("1,000 seeded fault schedules: no effect twice, no untrue refusal, no key told two outcomes", async () => {
    const service = createTestService("voucher", {
        kind: ServiceKind.Plain,
        priority: Priority.Effect,
        idempotent: false,
        timeLimit: callTimeLimit,
        queueTimeLimit: callTimeLimit,
    });
    const deployment = await Deployment.create({
        domains: ["xela", "peten"],
        nodesPerDomain: 2,
        enginesPerDomain: 0,
        plainPerDomain: 2,
        teams: [createTestTeam("desk", [service])],
        seed: 11,
        timing: { platformTimeout: 400 },
    });
    try {
        const notRunIds: string[] = [];
        const ranKeys = new Set<string>();
        for (let start = 0; start < schedules; start += schedulesAtOnce) {
            const stopFaults = startPlatformFaults(deployment, SeededRandom.create(start + 1));
            await Promise.all(
                Array.from({ length: schedulesAtOnce }, (_value, index) => runSchedule(deployment, start + index, notRunIds, ranKeys)),
            );
            stopFaults();
        }
        const effects = deployment.plainServices.flatMap(plain => plain.effects);
        const counts = new Map<string, number>();
        effects.forEach(effect => counts.set(effect.key, (counts.get(effect.key) ?? 0) + 1));
        const seen = new Set(effects.map(effect => effect.requestId));
        assert.deepEqual([...counts].filter(([, count]) => count > 1), [], "keys that ran twice");
        assert.deepEqual(notRunIds.filter(id => seen.has(id)), [], "untrue refusals");
        assert.deepEqual([...ranKeys].filter(key => !counts.has(key)), [], "keys told to have run that did not");
        assert.ok(counts.size > schedules / 4, `only ${counts.size} keys ran; the faults leave nothing to prove`);
    }
    finally {
        await deployment.stop();
    }
});

async function runSchedule(deployment: Deployment, seed: number, notRunIds: string[], ranKeys: Set<string>): Promise<void> {
    const random = SeededRandom.create(seed);
    const key = `key-${seed}`;
    const body = { seed, filling: random.pickFraction() < 0.2 ? "x".repeat(300_000) : "" };
    for (const plain of deployment.plainServices) {
        if (random.pickFraction() < 0.5 && plain.faults.length < schedulesAtOnce) {
            plain.faults.push(faults[random.pickIndex(faults.length)] as CallFault);
        }
    }
    const sends = 1 + random.pickIndex(mostResends + 1);
    const atOnce = random.pickFraction() < 0.3;
    const running: Promise<void>[] = [];
    for (let count = 0; count < sends; count += 1) {
        const url = deployment.getCallerUrl(random.pickIndex(deployment.nodes.length));
        const sent = sendCall(url, "voucher", "issue", key, body).then(answer => {
            if (answer.verdict === "NotRun") {
                notRunIds.push(answer.requestId);
            }
            if (answer.verdict === "Ran" && answer.status === 200) {
                ranKeys.add(key);
            }
        });
        running.push(sent);
        if (!atOnce) {
            await sent;
        }
    }
    await Promise.all(running);
}

/** Makes the platform lose answers, serve stale reads, slow down and go away, in turn. */
function startPlatformFaults(deployment: Deployment, random: RandomSource): () => void {
    const platformFaults = deployment.platform.faults;
    const timer = setInterval(() => {
        platformFaults.lostAnswerShare = random.pickFraction() < 0.4 ? 0.4 : 0;
        platformFaults.staleReadShare = random.pickFraction() < 0.4 ? 0.4 : 0;
        platformFaults.delayMilliseconds = random.pickFraction() < 0.1 ? 150 : 0;
        platformFaults.isDown = random.pickFraction() < 0.1;
    }, 40);
    return () => {
        clearInterval(timer);
        platformFaults.lostAnswerShare = 0;
        platformFaults.staleReadShare = 0;
        platformFaults.delayMilliseconds = 0;
        platformFaults.isDown = false;
    };
}
