// A process ends because one worker sends a head that is no HTTP; requests of other clients at sound workers are lost with it.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { isTroubled, runCase, sleep } from "../lib/deployment.mjs";

const clientCount = 8;
/** LOST is broken by more channels than this. */
const allowed = 3;
/** `contact-ms`, with a margin: the machine must have run calmly for that long before. */
const calmMilliseconds = 4_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
    const ranAt = new Map();
    const handle = (message, worker) => {
        if (message.run !== undefined) {
            ranAt.set(message.run, worker.id);
            deployment.note(`${worker.id} began to run ${message.run}`);
        }
        if (message.spoiled !== undefined) {
            deployment.note(`${worker.id} sent bytes that are no response to ${message.spoiled}`);
        }
    };
    deployment.writeManifest(3, [
        { name: "lookup", "path-prefix": "/lookup/", kind: "safe", "timeout-ms": 1_500, "goal-ms": 300, service: "mostrador", attempts: 2 },
        { name: "notice", "path-prefix": "/notice/", kind: "stream", "timeout-ms": 5_000, "goal-ms": 1_000, service: "redactor", attempts: 1 },
    ], [{ name: "mostrador" }, { name: "redactor" }]);
    for (const zone of ["a", "b"]) {
        await deployment.startWorker("mostrador", zone, { id: `app-${zone}`, workMs: 300 }, handle);
    }
    for (const zone of ["a", "b"]) {
        await deployment.startWorker("redactor", zone, { id: `engine-${zone}`, workMs: 50, isEngine: true, eventMs: 5 }, handle);
    }
    const gateway = await deployment.startGateway("front-a-1", "a");
    await sleep(calmMilliseconds);

    let isRunning = true;
    const seen = [];
    const loops = Array.from({ length: clientCount }, async (_, index) => {
        const client = new Client(gateway.front);
        for (let count = 1; isRunning; count += 1) {
            const id = `lookup-${index}-${count}`;
            const answer = await client.send({ id, method: "GET", path: `/lookup/${index}`, deadline: 1_500, limit: 2_500 });
            seen.push({ ...answer, isKept: count > 1 });
            deployment.note(`client ${index} (request ${count} on its channel): ${id} ${answer.end}, status ${answer.status}`);
            if (answer.end !== "answered") {
                break;
            }
        }
        client.close();
    });
    if (isTroubled) {
        // One of two workers (share 0.5) spoils each 50th of its answers (0.02).
        deployment.workers.find(({ id }) => id === "engine-a").child.send({ spoilEvery: 50 });
    }
    const streams = Array.from({ length: 4 }, async (_, index) => {
        const client = new Client(gateway.front);
        for (let count = 1; isRunning && !gateway.isEnded; count += 1) {
            const answer = await client.send({ id: `notice-${index}-${count}`, path: `/notice/${index}`, deadline: 5_000 });
            deployment.note(`notice-${index}-${count} ${answer.end}, status ${answer.status}, ${answer.body.length} bytes`);
        }
        client.close();
    });
    const until = performance.now() + 12_000;
    while (!gateway.isEnded && performance.now() < until) {
        await sleep(100);
    }
    await sleep(500);
    isRunning = false;
    await Promise.all([...loops, ...streams]);

    const lost = seen.filter(answer => answer.isKept && answer.status === 0 && answer.end.startsWith("closed") && ranAt.has(answer.id));
    deployment.note(`${lost.length} requests on kept channels were running at sound workers when their channel was closed without an answer`);
    deployment.note(`the process ended by itself: ${gateway.isEnded}`);
    return lost.length > allowed;
});
