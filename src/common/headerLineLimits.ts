import { IncomingMessage, Server } from "node:http";
import { Socket } from "node:net";
import { BodyBudget, headerLineBytes } from "./bodyBudget.js";
import { createSpent } from "./bodyReader.js";
import { Diagnostics } from "./diagnostics.js";
import { Failure } from "./failure.js";
import { Verdict } from "./verdict.js";

/** Size of the shortest header line in bytes: a name of one character, a colon, and the end of the line. */
const shortestLineBytes = 4;
/** Lines that a head may have however many connections are open; ordinary heads have a tenth of it. */
const leastLines = 256;
/** Part of the memory for bodies that heads may take while they arrive. */
const shareOfBudget = 0.5;

/**
 * Limits the header lines that a server keeps of each request. Without a limit many connections at once could fill the memory with heads
 * that have not arrived whole, of which the server hears nothing. The runtime drops the lines beyond its limit without a word, so a request
 * that has reached it must be refused: its length or its credentials may be among them.
 */
export class HeaderLineLimits {
    private readonly limitsBySocket = new WeakMap<Socket, number>();
    private openConnections = 0;
    private mostLines: number;

    private constructor(private readonly server: Server, private readonly budget: BodyBudget, headerBytes: number) {
        this.mostLines = computeMostLines(headerBytes);
        this.updateNextLimit();
        // The runtime reads its limit in an earlier listener of the same event.
        server.on("connection", (socket: Socket) => {
            this.limitsBySocket.set(socket, this.server.maxHeadersCount ?? leastLines);
            this.openConnections += 1;
            this.updateNextLimit();
            socket.once("close", () => {
                this.openConnections -= 1;
                this.updateNextLimit();
            });
        });
    }

    /** `headerBytes` is the limit of a head in bytes: a head of any number of lines that is within it is read while few connections are open. */
    static create(server: Server, budget: BodyBudget, headerBytes: number): HeaderLineLimits {
        return new HeaderLineLimits(server, budget, headerBytes);
    }

    /** Sets the limit of a head in bytes for connections that are opened from now on. */
    setHeaderBytes(headerBytes: number): void {
        this.mostLines = computeMostLines(headerBytes);
        this.updateNextLimit();
    }

    /** Returns the failure of a request whose head may lack lines; undefined if it has all of them. */
    findFailure(request: IncomingMessage): Failure | undefined {
        const limit = this.limitsBySocket.get(request.socket) ?? leastLines;
        const lines = request.rawHeaders.length / 2;
        if (lines < limit) {
            return undefined;
        }
        return lines >= this.mostLines ? Failure.create(Verdict.NotRun, Diagnostics.Headers_are_too_large) : createSpent();
    }

    private updateNextLimit(): void {
        const affordable = Math.floor(this.budget.capacity * shareOfBudget / headerLineBytes / (this.openConnections + 1));
        this.server.maxHeadersCount = Math.max(leastLines, Math.min(this.mostLines, affordable));
    }
}

/** Returns from how many lines on a head is certainly larger than a limit in bytes. */
function computeMostLines(headerBytes: number): number {
    return Math.floor(headerBytes / shortestLineBytes) + 1;
}
