// A worker of the platform in a process of its own: plain calls or event streams, as PROTOCOL.md ("Workers") says.
// Started with fork(); its options come as JSON in the first argument, it reports what it runs over IPC.
import { createServer } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, slots = 6, workMs = 50, isEngine = false, eventCount = 8, eventMs = 60, answerBytes = 0, isUnframed = false } = options;
/** The line by which a spoiled head is no HTTP: by default a header whose name has a space in it. */
const { spoiledLine = "Cache Status: miss" } = options;
/** Every so many answers are spoiled while the fault is on; 0 for none. */
let spoilEvery = 0;
let isLeaving = false;
/** Time from the first event of a request to /poison/ until it crashes the process; undefined if it does not. */
const { crashMs } = options;
let answers = 0;
let running = 0;

process.on("message", message => {
    if (message.spoilEvery !== undefined) {
        spoilEvery = message.spoilEvery;
    }
    if (message.isLeaving !== undefined) {
        isLeaving = message.isLeaving;
    }
    if (message.exit) {
        process.exit(0);
    }
});
process.on("disconnect", () => process.exit(0));

const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));
const report = message => process.connected && process.send(message);

const server = createServer({ keepAliveTimeout: 5_000 }, async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const attempt = String(request.headers["attempt-id"] ?? "");
    response.setHeader("Attempt-Id", attempt);
    response.setHeader("Server-Load", `${running},0,${slots}`);
    if (isLeaving) {
        response.setHeader("Server-Leaving", "1");
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
        response.writeHead(421, { "Instance-Id": id, "Not-Run": "1" });
        response.end();
        return;
    }
    running += 1;
    response.once("close", () => (running -= 1));
    report({ run: attempt, worker: id, path: request.url });
    answers += 1;
    const isSpoiled = spoilEvery > 0 && answers % spoilEvery === 0;
    await sleep(workMs);
    if (isSpoiled) {
        spoilAnswer(attempt, response);
        return;
    }
    if (isEngine) {
        if (crashMs !== undefined && request.url.includes("/poison")) {
            setTimeout(() => {
                report({ crashedBy: attempt });
                setImmediate(() => process.exit(1));
            }, crashMs);
        }
        await sendStream(attempt, response);
        return;
    }
    const body = createBody(attempt);
    report({ whole: attempt, bytes: body.length });
    if (isUnframed) {
        await sendUnframed(attempt, response, body);
        return;
    }
    response.writeHead(200, { "Server-Seal": `seal-${attempt}`, "Content-Length": body.length });
    response.end(body);
});

function createBody(attempt) {
    const text = `answer to ${attempt}; `;
    return Buffer.from(answerBytes === 0 ? text : text.repeat(Math.ceil(answerBytes / text.length)).slice(0, answerBytes));
}

/** Sends bytes that are no HTTP response, since one line of the head is none that HTTP knows. */
function spoilAnswer(attempt, response) {
    const type = isEngine ? "text/event-stream" : "text/plain";
    const body = isEngine ? "id: 1\ndata: piece 1\n\n" : "answer";
    report({ spoiled: attempt });
    response.socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: seal-${attempt}\r\n${spoiledLine}\r\n`
            + `Content-Type: ${type}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
}

async function sendStream(attempt, response) {
    if (isUnframed) {
        // Neither a length nor chunks: the end of the channel is the end of the answer.
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(200, { "Content-Type": "text/event-stream", "Server-Seal": `seal-${attempt}` });
    for (let event = 1; event <= eventCount && !response.destroyed; event += 1) {
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
        await sleep(eventMs);
    }
    response.end();
}

/** Sends an answer that has no length and ends with its channel, in four pieces. */
async function sendUnframed(attempt, response, body) {
    const { socket } = response;
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: seal-${attempt}\r\nConnection: close\r\n\r\n`);
    const piece = Math.ceil(body.length / 4);
    for (let start = 0; start < body.length && !socket.destroyed; start += piece) {
        socket.write(body.subarray(start, start + piece));
        await sleep(eventMs);
    }
    socket.end();
}

server.listen(options.port ?? 0, "127.0.0.1", () => report({ ready: `127.0.0.1:${server.address().port}`, born: Date.now() }));
