// A call is never answered because a worker sends a head that is no HTTP, though another worker could still serve it.
import { Client } from "../lib/client.mjs";
import { isTroubled, runCase, sleep } from "../lib/deployment.mjs";

const timeoutMilliseconds = 1_500;
/** A request without an answer this long after its route's `timeout-ms` counts as unanswered. */
const graceMilliseconds = 500;
/** CONFIG speaks of eight or more requests. */
const leastRequests = 8;
const requestsEach = 200;
const clientCount = 12;

await runCase(process.argv[2], async deployment => {
    const handle = (message, worker) => {
        if (message.run !== undefined) {
            deployment.note(`${worker.id} began to run ${message.run}`);
        }
        if (message.spoiled !== undefined) {
            deployment.note(`${worker.id} sent bytes that are no response to ${message.spoiled}`);
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
    const [faulty] = [
        await deployment.startWorker("mostrador", "a", { id: "app-1", workMs: 60, slots: 12, spoiledLine: "X-Cache : hit" }, handle),
        await deployment.startWorker("mostrador", "a", { id: "app-2", workMs: 60, slots: 12 }, handle),
    ];
    const gateway = await deployment.startGateway("front-a-1", "a");
    await sleep(4_000);
    if (isTroubled) {
        // One of two workers (share 0.5) spoils each 20th of its answers (0.05).
        faulty.child.send({ spoilEvery: 20 });
    }
    const seen = [];
    const loops = Array.from({ length: clientCount }, async (_, index) => {
        let client = new Client(gateway.front);
        for (let count = 1; count <= requestsEach; count += 1) {
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
        }
        client.close();
    });
    await Promise.all(loops);

    const open = seen.filter(answer => answer.milliseconds > timeoutMilliseconds);
    const late = open.filter(answer => answer.milliseconds > timeoutMilliseconds + graceMilliseconds);
    deployment.note(`${seen.length} requests; ${open.length} without an answer at timeout-ms, ${late.length} of them without one half a second later`);
    deployment.note(`the process still runs: ${!gateway.isEnded}`);
    return late.length >= leastRequests && late.length > open.length / 2;
});
