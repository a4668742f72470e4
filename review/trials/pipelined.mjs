// A planned stop loses requests that clients have sent behind others on a kept channel.
import { connect } from "node:net";
import { isTroubled, runCase, sleep } from "../lib/deployment.mjs";

const clientCount = 12;
const pairsEach = 20;

await runCase(process.argv[2], async deployment => {
    const ran = new Set();
    deployment.writeManifest(3, [
        { name: "lookup", "path-prefix": "/lookup/", kind: "safe", "timeout-ms": 1_500, "goal-ms": 300, service: "mostrador", attempts: 2 },
    ], [{ name: "mostrador" }]);
    for (const id of ["app-1", "app-2"]) {
        await deployment.startWorker("mostrador", "a", { id, workMs: 150, slots: 64 }, message => message.run !== undefined && ran.add(message.run));
    }
    const gateway = await deployment.startGateway("front-a-1", "a");
    await sleep(4_000);
    const lost = [];
    let total = 0;
    let isRunning = true;
    const loops = Array.from({ length: clientCount }, async (_, index) => {
        await sleep(index * 13);
        for (let channel = 1; isRunning; channel += 1) {
            const socket = connect(gateway.front, "127.0.0.1");
            let text = "";
            let isClosed = false;
            socket.on("data", chunk => (text += chunk));
            socket.on("error", () => {});
            socket.on("close", () => (isClosed = true));
            for (let pair = 1; pair <= pairsEach && !isClosed && isRunning; pair += 1) {
                const ids = ["a", "b"].map(part => `lookup-${index}-${channel}-${pair}-${part}`);
                total += ids.length;
                socket.write(ids.map(id =>
                    `GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-of-shops\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 1500\r\n\r\n`
                ).join(""));
                const until = performance.now() + 2_000;
                const isAnswered = id => text.includes(`answer to ${id};`);
                while (!isClosed && performance.now() < until && !ids.every(isAnswered)) {
                    await sleep(5);
                }
                lost.push(...ids.filter(id => !isAnswered(id) && ran.has(id)));
            }
            socket.destroy();
            await sleep(gateway.isEnded ? 200 : 20);
        }
    });
    await sleep(3_000);
    if (isTroubled) {
        deployment.note("SIGTERM to the gateway");
        gateway.child.kill("SIGTERM");
    }
    await sleep(5_000);
    isRunning = false;
    await Promise.all(loops);
    deployment.note(`${total} requests, ${lost.length} of them without an answer though they ran`);
    return lost.length > 0;
});
