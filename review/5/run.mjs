// An entry of another writer, whose name can't be read, is taken for a worker; calls that are placed there are never answered.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { isTroubled, runCase, sleep } from "../lib/deployment.mjs";

const timeoutMilliseconds = 1_500;
/** A request without an answer this long after its route's `timeout-ms` counts as unanswered. */
const graceMilliseconds = 500;
/** CONFIG speaks of eight or more requests. */
const leastRequests = 8;
const clientCount = 12;

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
    const handle = (message, worker) => {
        if (message.run !== undefined) {
            deployment.note(`${worker.id} began to run ${message.run}`);
        }
    };
    deployment.writeManifest(3, [{
        name: "lookup",
        "path-prefix": "/lookup/",
        kind: "safe",
        "timeout-ms": timeoutMilliseconds,
        "goal-ms": 300,
        service: "mostrador",
        attempts: 2,
    }], [{ name: "mostrador" }]);
    for (const id of ["app-1", "app-2"]) {
        await deployment.startWorker("mostrador", "a", { id, workMs: 60, slots: 12 }, handle);
    }
    const gateway = await deployment.startGateway("front-a-1", "a");
    await sleep(4_000);

    let isRunning = true;
    const seen = [];
    const loops = Array.from({ length: clientCount }, async (_, index) => {
        let client = new Client(gateway.front);
        for (let count = 1; isRunning; count += 1) {
            // The client waits for much longer than it has to, to see whether an answer comes at all.
            const answer = await client.send({
                id: `lookup-${index}-${count}`,
                method: "GET",
                path: `/lookup/${index}`,
                deadline: timeoutMilliseconds,
                limit: 3 * timeoutMilliseconds,
            });
            seen.push(answer);
            deployment.note(`${answer.id}: ${answer.end}, status ${answer.status}, ${answer.milliseconds} ms`);
            if (answer.end === "no answer") {
                client.close();
                client = new Client(gateway.front);
            }
            await sleep(20);
        }
        client.close();
    });
    await sleep(3_000);
    if (isTroubled) {
        // A JSON decoder puts U+FFFD where bytes are no UTF-8.
        deployment.store.put("servers", "i-\ufffd\ufffd91c2", { ...deployment.workers[0].entry, addr: deployment.workers[1].address });
        deployment.note("another writer adds an entry to the store; its name holds bytes that can't be read");
    }
    await sleep(12_000);
    isRunning = false;
    await Promise.all(loops);

    const open = seen.filter(answer => answer.milliseconds > timeoutMilliseconds);
    const late = open.filter(answer => answer.milliseconds > timeoutMilliseconds + graceMilliseconds);
    deployment.note(`${seen.length} requests; ${open.length} without an answer at timeout-ms, ${late.length} of them without one half a second later`);
    deployment.note(`the process still runs: ${!gateway.isEnded}`);
    return late.length >= leastRequests && late.length > open.length / 2;
});
