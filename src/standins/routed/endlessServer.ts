import { createServer, Server, Socket } from "node:net";
import { startOnLoopback } from "./loopbackHttp.js";

/** A server that answers each request with a start and then the same bytes again and again, until its client closes the connection. */
export class EndlessServer {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(createStart: (request: string) => string, repeated: string, pause: number | undefined) {
        this.server = createServer(socket => {
            this.sockets.add(socket);
            socket.on("error", () => {});
            socket.once("close", () => this.sockets.delete(socket));
            socket.once("data", (request: Buffer) => {
                socket.write(createStart(request.toString("latin1")));
                if (pause !== undefined) {
                    const timer = setInterval(() => socket.write(repeated), pause);
                    socket.once("close", () => clearInterval(timer));
                    return;
                }
                sendRepeatedly(socket, repeated);
                socket.on("drain", () => sendRepeatedly(socket, repeated));
            });
        });
    }

    /** `pause` is the time between two repetitions in milliseconds; without it they follow as fast as the client reads. */
    static create(createStart: (request: string) => string, repeated: string, pause?: number): EndlessServer {
        return new EndlessServer(createStart, repeated, pause);
    }

    /** Starts on a free port of loopback; returns its address as text. */
    start(): Promise<string> {
        return startOnLoopback(this.server);
    }

    countConnections(): number {
        return this.sockets.size;
    }

    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }
}

function sendRepeatedly(socket: Socket, bytes: string): void {
    let canContinue = !socket.destroyed;
    while (canContinue) {
        canContinue = socket.write(bytes) && !socket.destroyed;
    }
}

/** Runs a task; returns its result and by how many bytes the process's memory rose meanwhile at its peak. */
export async function measureMemoryPeak<T>(task: () => Promise<T>): Promise<{ readonly result: T; readonly peakBytes: number; }> {
    const before = process.memoryUsage().rss;
    let peak = before;
    const sampling = setInterval(() => (peak = Math.max(peak, process.memoryUsage().rss)), 20);
    const result = await task();
    clearInterval(sampling);
    return { result, peakBytes: peak - before };
}
