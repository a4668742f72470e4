// Keeps addresses silent, as those of machines without power: a listener whose queue is full and whose process is stopped, so that
// the system answers no packet that opens a channel. Ports come in the first argument, separated by commas.
import { createConnection, createServer } from "node:net";

const ports = process.argv[2].split(",").map(Number);
let waiting = ports.length;

function listen(port) {
    const server = createServer();
    server.on("error", () => setTimeout(() => listen(port), 2));
    server.listen({ port, host: "127.0.0.1", backlog: 1 }, () => {
        // Fills the queue before this process could accept anything.
        for (let count = 0; count < 4; count += 1) {
            createConnection({ port, host: "127.0.0.1" }).on("error", () => {});
        }
        waiting -= 1;
        process.nextTick(() => process.nextTick(() => {
            if (waiting === 0) {
                process.kill(process.pid, "SIGSTOP");
            }
        }));
    });
}

process.on("message", () => ports.forEach(listen));
process.on("disconnect", () => process.exit(0));
process.send("ready");
