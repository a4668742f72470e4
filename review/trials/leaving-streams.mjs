// A worker drains and exits as planned; its streams, which have no length, end early and look complete to their clients.
import { Client } from "../lib/client.mjs";
import { isTroubled, runCase, sleep } from "../lib/deployment.mjs";

const clientCount = 10;
const eventCount = 64;
const drainMilliseconds = 2_000;
/** "and a little longer" */
const longerMilliseconds = 300;

await runCase(process.argv[2], async deployment => {
    const ranAt = new Map();
    const handle = (message, worker) => {
        if (message.run !== undefined) {
            ranAt.set(message.run, worker.id);
            deployment.note(`${worker.id} began to run ${message.run}`);
        }
    };
    const startEngine = id => deployment.startWorker(
        "redactor",
        "a",
        { id, slots: 64, workMs: 50, isEngine: true, isUnframed: true, eventMs: 100, eventCount },
        handle,
    );
    deployment.writeManifest(3, [
        { name: "notice", "path-prefix": "/notice/", kind: "stream", "timeout-ms": 15_000, "goal-ms": 1_500, service: "redactor", attempts: 1 },
    ], [{ name: "redactor" }]);
    const old = await startEngine("engine-1");
    await startEngine("engine-2");
    const gateway = await deployment.startGateway("front-a-1", "a");
    await sleep(4_000);

    let isRunning = true;
    const seen = [];
    const loops = Array.from({ length: clientCount }, async (_, index) => {
        await sleep(index * 400);
        const client = new Client(gateway.front);
        for (let count = 1; isRunning; count += 1) {
            const answer = await client.send({ id: `notice-${index}-${count}`, path: `/notice/${index}`, deadline: 15_000 });
            seen.push(answer);
            const last = [...String(answer.body).matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? "none";
            answer.last = Number(last);
            deployment.note(`${answer.id} at ${ranAt.get(answer.id)}: ${answer.end}, status ${answer.status}, last event ${last} of ${eventCount}`);
        }
        client.close();
    });
    await sleep(5_000);
    // The new one starts first, the old one drains.
    await startEngine("engine-3");
    if (isTroubled) {
        deployment.store.put("servers", old.id, { ...old.entry, state: "draining" });
        deployment.note("engine-1 reports draining, and the store acknowledges it");
        await sleep(drainMilliseconds + longerMilliseconds);
        old.child.send({ exit: true });
        deployment.store.remove("servers", old.id);
        deployment.note("engine-1 exits");
    }
    await sleep(2_000);
    isRunning = false;
    await Promise.all(loops);

    const early = seen.filter(answer => answer.end === "answered" && answer.status === 200 && answer.last < eventCount);
    early.forEach(answer => deployment.note(`${answer.id}: ended as complete after event ${answer.last} of ${eventCount}`));
    deployment.note(`${seen.length} streams, ${early.length} of them ended as complete before their last piece`);
    return early.length > 0;
});
