import { AddressInfo, connect, createServer, Server, Socket } from "node:net";
import { abortConnection } from "../../common/connectionAbort.js";
import { startOnLoopback } from "../../standins/routed/loopbackHttp.js";

/** What a proxy does to the bytes that pass it. */
export enum LinkMood {
    Well = "well",
    /** Each piece arrives later. */
    Delayed = "delayed",
    /** Open connections are reset, and new ones too. */
    Resetting = "resetting",
    /** What the caller sends is lost. */
    RequestsLost = "requests-lost",
    /** What is answered is lost. */
    AnswersLost = "answers-lost",
    /** The connections that were open go silent for good; new ones work. */
    OpenOnesSilent = "open-ones-silent",
    /** All bytes are held up; they go on with the next mood. */
    Held = "held",
}

/** Delay of a delayed link, in milliseconds: a slow link between regions. */
const delayMilliseconds = 120;

interface ProxiedConnection {
    readonly near: Socket;
    readonly far: Socket;
    isSilent: boolean;
    /** Whether bytes were lost, so that nothing more may follow them. */
    hasLostBytes: boolean;
}

/** A proxy on loopback between two parties, which spoils their link. */
export class FaultProxy {
    private mood = LinkMood.Well;
    private address = "";
    private readonly server: Server;
    private readonly connections = new Set<ProxiedConnection>();

    private constructor(private readonly target: string) {
        this.server = createServer(near => this.openConnection(near));
    }

    static async start(target: string): Promise<FaultProxy> {
        const proxy = new FaultProxy(target);
        proxy.address = await startOnLoopback(proxy.server);
        return proxy;
    }

    getAddress(): string {
        return this.address;
    }

    getPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    setMood(mood: LinkMood): void {
        this.mood = mood;
        for (const connection of [...this.connections]) {
            applyHold(connection, mood);
            if (mood === LinkMood.Resetting || (mood === LinkMood.Well && connection.hasLostBytes)) {
                this.abort(connection);
            }
            if (mood === LinkMood.OpenOnesSilent) {
                connection.isSilent = true;
            }
        }
    }

    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        [...this.connections].forEach(connection => this.abort(connection));
        await closed;
    }

    private openConnection(near: Socket): void {
        if (this.mood === LinkMood.Resetting) {
            abortConnection(near);
            return;
        }
        const [host = "", port = ""] = this.target.split(":");
        const far = connect({ host, port: Number(port) });
        const connection: ProxiedConnection = { near, far, isSilent: false, hasLostBytes: false };
        this.connections.add(connection);
        this.forward(connection, near, far, LinkMood.RequestsLost);
        this.forward(connection, far, near, LinkMood.AnswersLost);
        applyHold(connection, this.mood);
    }

    /** Passes bytes from one side to the other, but in the mood in which this direction loses them. */
    private forward(connection: ProxiedConnection, from: Socket, to: Socket, losing: LinkMood): void {
        from.on("data", (chunk: Buffer) => {
            if (connection.isSilent || this.mood === losing || connection.hasLostBytes) {
                connection.hasLostBytes ||= !connection.isSilent;
                return;
            }
            this.runLater(() => to.write(chunk));
        });
        from.on("end", () => {
            // A reset that comes together with data is read as an end, but then there is no peer any more.
            if (from.remoteAddress === undefined) {
                this.abort(connection);
                return;
            }
            this.runLater(() => connection.isSilent || to.end());
        });
        from.on("error", () => this.abort(connection));
        from.on("close", () => {
            if (!connection.isSilent) {
                this.connections.delete(connection);
                this.runLater(() => to.destroy());
            }
        });
    }

    private runLater(action: () => void): void {
        if (this.mood !== LinkMood.Delayed) {
            action();
            return;
        }
        setTimeout(action, delayMilliseconds);
    }

    private abort(connection: ProxiedConnection): void {
        this.connections.delete(connection);
        abortConnection(connection.near);
        abortConnection(connection.far);
    }
}

function applyHold({ near, far }: ProxiedConnection, mood: LinkMood): void {
    for (const socket of [near, far]) {
        if (mood === LinkMood.Held) {
            socket.pause();
        }
        else {
            socket.resume();
        }
    }
}
