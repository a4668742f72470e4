import { createConnection, Socket } from "node:net";

/** A caller's connection on loopback that sends bytes as they are given and collects what comes back. */
export class RawConnection {
    /** Resolves when the connection has closed. */
    readonly closed: Promise<void>;
    private received = "";

    private constructor(readonly socket: Socket) {
        socket.on("data", (chunk: Buffer) => (this.received += chunk.toString("latin1")));
        socket.on("error", () => {});
        this.closed = new Promise(resolve => socket.once("close", () => resolve()));
    }

    static async open(port: number): Promise<RawConnection> {
        const connection = new RawConnection(createConnection({ host: "127.0.0.1", port }));
        await new Promise<void>(resolve => connection.socket.once("connect", () => resolve()));
        return connection;
    }

    send(text: string): void {
        this.socket.write(text);
    }

    /** Returns what has been received. */
    read(): string {
        return this.received;
    }

    /** Returns the statuses of the responses that have been received, in their order. */
    listStatuses(): number[] {
        return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match => Number(match[1]));
    }

    close(): void {
        this.socket.destroy();
    }
}
