// A zone loses power; a gateway of another zone hands calls to a peer that was in it and never answers their clients.
import { fork } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../lib/client.mjs";
import { isTroubled, runCase, sleep } from "../lib/deployment.mjs";

const timeoutMilliseconds = 1_500;
const graceMilliseconds = 500;
const leastRequests = 8;
const clientCount = 30;
const here = dirname(fileURLToPath(import.meta.url));

await runCase(here, async deployment => {
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
    for (const id of ["app-b-1", "app-b-2"]) {
        await deployment.startWorker("mostrador", "b", { id, workMs: 60 }, handle);
    }
    const peer = await deployment.startGateway("front-b-1", "b");
    const gateway = await deployment.startGateway("front-a-1", "a", `127.0.0.1:${peer.control}`);
    const ports = [peer.front, peer.ready, peer.control, ...deployment.workers.map(({ address }) => Number(address.split(":")[1]))];
    const silence = fork(join(here, "../lib/silence.mjs"), [ports.join(",")]);
    deployment.addChild(silence);
    await new Promise(resolve => silence.once("message", resolve));
    await sleep(5_000);

    let isRunning = true;
    const seen = [];
    const loops = Array.from({ length: clientCount }, async (_, index) => {
        await sleep(index * 17);
        let client = new Client(gateway.front);
        for (let count = 1; isRunning; count += 1) {
            const id = `lookup-${index}-${count}`;
            const answer = await client.send({ id, method: "GET", path: `/lookup/${index}`, deadline: timeoutMilliseconds, limit: 8_000 });
            seen.push(answer);
            deployment.note(`${id}: ${answer.end}, status ${answer.status}, ${answer.milliseconds} ms`);
            if (answer.end === "no answer") {
                client.close();
                client = new Client(gateway.front);
            }
            await sleep(500);
        }
        client.close();
    });
    await sleep(3_000);
    if (isTroubled) {
        deployment.note("zone b loses power");
        silence.send("start");
        peer.child.kill("SIGKILL");
        deployment.workers.forEach(({ child }) => child.kill("SIGKILL"));
    }
    await sleep(6_000);
    isRunning = false;
    await Promise.all(loops);

    const open = seen.filter(answer => answer.milliseconds > timeoutMilliseconds);
    const late = open.filter(answer => answer.milliseconds > timeoutMilliseconds + graceMilliseconds);
    deployment.note(`${seen.length} requests at front-a-1; ${open.length} without an answer at timeout-ms, ${late.length} of them without one half a second later`);
    deployment.note(`front-a-1 still runs: ${!gateway.isEnded}`);
    return late.length >= leastRequests && late.length > open.length / 2;
});
