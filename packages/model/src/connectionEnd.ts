/**
 * Tells the reset of a connection from its orderly end. If a reset has arrived by the time the last bytes are read, Node.js
 * reports the end of the connection without a read that would show the reset; and the HTTP client takes the error of a reset
 * for the end of a body without a length. Nor can the HTTP client end an answer while its reading is paused.
 */

/** What the check uses of a socket. */
export interface EndingSocket {
    readonly readableLength: number;
    readonly readableEnded: boolean;
    read(size?: number): unknown;
    push(piece: unknown, encoding?: BufferEncoding): boolean;
    emit(event: "readable"): boolean;
    destroy(error?: Error): unknown;
}

/** The failure of a connection that was reset, by either side. It has no code by which the HTTP client would take it for an end. */
export class ConnectionResetError extends Error {
    override readonly name = "ConnectionResetError";
}

/** The part of a socket of Node.js that reads from the kernel; null once the socket is destroyed. */
interface SocketInternals {
    readonly _handle: { readStart(): number; } | null;
}

/** The end of one connection. */
export interface ConnectionEnd {
    /** Whether the end was reported, though it may still prove to be a reset. */
    readonly isReported: () => boolean;
}

/**
 * Makes a connection that was reset fail instead of end. Its reader, which uses `read` when the socket is readable, gets
 * the end or the error after all bytes.
 *
 * @example
 * const end = checkConnectionEnd(socket);
 */
export function checkConnectionEnd(socket: EndingSocket): ConnectionEnd {
    const push = socket.push.bind(socket);
    const read = socket.read.bind(socket);
    const destroy = socket.destroy.bind(socket);
    let state: "open" | "reported" | "checked" = "open";
    /** Whether bytes were read in this turn of the event loop. */
    let hasJustRead = false;
    /** Whether the reported end may be a reset: it came in the turn of the last bytes, so perhaps without a read. */
    let isDoubtful = false;
    const check = (): void => {
        state = "checked";
        if (!isDoubtful) {
            push(null);
            return;
        }
        // This read finds the end again, or the reset.
        const error = (socket as unknown as SocketInternals)._handle?.readStart() ?? 0;
        if (error !== 0) {
            socket.destroy(new ConnectionResetError(`the end could not be read: error ${error}`));
        }
    };
    socket.push = (piece, encoding) => {
        if (piece !== null) {
            if (!hasJustRead) {
                hasJustRead = true;
                setImmediate(() => hasJustRead = false);
            }
            return push(piece, encoding);
        }
        if (state === "checked") {
            return push(null);
        }
        state = "reported";
        isDoubtful = hasJustRead;
        // A reader that is paused doesn't read now, but when it is resumed.
        socket.emit("readable");
        return false;
    };
    socket.read = size => {
        const piece = read(size);
        const isByReader = size !== 0;
        if (state === "reported" && isByReader && piece === null && socket.readableLength === 0) {
            check();
        }
        return piece;
    };
    socket.destroy = error => {
        const isReset = error === undefined
            ? !socket.readableEnded
            : (error as NodeJS.ErrnoException).code === "ECONNRESET";
        return destroy(isReset ? new ConnectionResetError("the connection was reset", { cause: error }) : error);
    };
    return { isReported: () => state !== "open" };
}
