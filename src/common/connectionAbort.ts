import { Socket } from "node:net";

/**
 * Resets a connection. The runtime cannot do that while the end of the connection is being sent: it would neither close the socket nor
 * release its descriptor, and the process could not exit. Such a connection is reset once its end has been sent.
 */
export function abortConnection(socket: Socket): void {
    const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    if (isEnding) {
        socket.once("finish", () => socket.resetAndDestroy());
        return;
    }
    socket.resetAndDestroy();
}
