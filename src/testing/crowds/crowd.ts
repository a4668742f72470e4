import { readdirSync, readFileSync } from "node:fs";
import { request as sendHttpRequest } from "node:http";
import { connect, Socket } from "node:net";

/** Time without any byte sent after which a crowd has sent what it can, in milliseconds. */
const settledMilliseconds = 1_500;
const pollMilliseconds = 50;
/** Time after which a request without an answer is given up, in milliseconds. */
const answerMilliseconds = 30_000;

/** How a member of a crowd sends: a head, then the same bytes some times over. */
export interface MemberPlan {
    readonly head: string;
    readonly bytes: Buffer;
    readonly repeats: number;
}

/** Builds one chunk of a chunked body. */
export function createChunk(bytes: number): string {
    return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
}

/** Plans a crowd whose members all do the same. */
export function createMembers(count: number, plan: MemberPlan): MemberPlan[] {
    return Array.from({ length: count }, () => plan);
}

/** Clients that open many connections, send as much as the other side takes, and stay connected. */
export class Crowd {
    private readonly sockets: Socket[] = [];

    private constructor() {}

    /** Starts one connection for each member, all at once. */
    static start(port: number, members: readonly MemberPlan[]): Crowd {
        const crowd = new Crowd();
        members.forEach(member => crowd.addMember(port, member));
        return crowd;
    }

    /** Waits until every member has sent all it has or can send no more. */
    async waitUntilSettled(): Promise<void> {
        let sent = -1;
        let changedAt = performance.now();
        while (performance.now() - changedAt < settledMilliseconds) {
            const total = this.sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
            if (total !== sent) {
                sent = total;
                changedAt = performance.now();
            }
            await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        }
    }

    /** Closes all connections and waits until they are closed: Node.js 20.19 may not end a process that exits before. */
    async close(): Promise<void> {
        await Promise.all(this.sockets.map(socket => {
            const closed = new Promise(resolve => socket.once("close", resolve));
            socket.destroy();
            return socket.closed ? undefined : closed;
        }));
    }

    private addMember(port: number, plan: MemberPlan): void {
        const socket = connect(port, "127.0.0.1");
        this.sockets.push(socket);
        let left = plan.repeats;
        const sendMore = () => {
            while (left > 0 && !socket.destroyed) {
                left -= 1;
                if (!socket.write(plan.bytes)) {
                    return;
                }
            }
        };
        socket.on("error", () => {});
        socket.on("drain", sendMore);
        socket.once("connect", () => {
            socket.write(plan.head);
            sendMore();
        });
        socket.resume();
    }
}

/** Returns the most memory that a process has had resident, in bytes. */
export function readPeakMemory(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1_024;
}

/** Returns the number of descriptors that a process has open. */
export function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}

/** Yields the parts of a body, a number in JSON behind spaces. */
export async function* listParts(size: number, partSize: number): AsyncIterable<Buffer> {
    for (let sent = 0; sent < size; sent += partSize) {
        const bytes = Math.min(partSize, size - sent);
        yield Buffer.from((sent + bytes < size ? "" : "1").padStart(bytes));
    }
}

/** Sends one request as an ordinary caller does, a text with its length; returns the status, or 0 if there is no whole answer. */
export function sendOrdinaryRequest(
    port: number,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string | AsyncIterable<Buffer>,
): Promise<number> {
    const length: Record<string, number> = typeof body === "string" ? { "content-length": body.length } : {};
    const signal = AbortSignal.timeout(answerMilliseconds);
    const call = sendHttpRequest({ host: "127.0.0.1", port, path, method: "POST", headers: { ...headers, ...length }, signal });
    const closed = new Promise(resolve => call.once("close", resolve));
    const answered = new Promise<number>(resolve => {
        call.once("error", () => resolve(0));
        call.once("response", answer => {
            answer.resume();
            answer.once("error", () => resolve(0));
            answer.once("close", () => resolve(answer.complete ? answer.statusCode ?? 0 : 0));
        });
    });
    void sendBody();
    return answered;

    async function sendBody(): Promise<void> {
        for await (const bytes of typeof body === "string" ? [body] : body) {
            if (!call.destroyed && !call.write(bytes)) {
                await Promise.race([closed, new Promise(resolve => call.once("drain", resolve))]);
            }
        }
        call.end();
    }
}
