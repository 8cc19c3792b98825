/**
 * Checks of the status lines of answers that the HTTP client's parser leaves to its user: it takes any three digits for a
 * status, and also HTTP/0.9 and HTTP/2.0 for a version.
 */

/** What the check uses of a socket. */
export interface CheckedSocket {
    read(size?: number): unknown;
    write(...parameters: unknown[]): boolean;
    destroy(error: Error): unknown;
}

/** Thrown into a connection on which bytes came that are no answer. */
export class MalformedAnswerError extends Error {
    override readonly name = "MalformedAnswerError";
}

const digits = "0123456789";
/** The characters that are allowed at each position of a status line, up to the one after the status. */
const allowedCharacters: readonly string[] = [..."HTTP/1.", "01", " ", "12345", digits, digits, " \r"];
const statusStart = 9;
const statusEnd = 12;
const firstFinalStatus = 200;
/** Interim answers that only a request with `Expect` or `Upgrade` may get, which is never sent. */
const unaskedStatuses: ReadonlySet<number> = new Set([100, 101]);
const headEnd = "\r\n\r\n";

/** Checks the status lines of the answers on one connection, which carries one request at a time. */
class StatusLineCheck {
    private state: "inStatusLine" | "inInterimHead" | "afterStatusLine" = "inStatusLine";
    /** The status line as far as it has come, or the end of what came of an interim head. */
    private text = "";

    /** Called before bytes of a request are written. No byte of an answer is read before all of its request are written. */
    expectAnswer(): void {
        if (this.state === "afterStatusLine") {
            this.restart();
        }
    }

    /** Whether the next bytes of the connection may be part of an answer. */
    accepts(bytes: Uint8Array): boolean {
        for (let index = 0; index < bytes.length && this.state !== "afterStatusLine"; index++) {
            if (!this.acceptsCharacter(String.fromCharCode(bytes[index]))) {
                return false;
            }
        }
        return true;
    }

    private acceptsCharacter(character: string): boolean {
        if (this.state === "inInterimHead") {
            this.text = (this.text + character).slice(-headEnd.length);
            if (this.text === headEnd) {
                this.restart();
            }
            return true;
        }
        if (this.text === "" && (character === "\r" || character === "\n")) {
            // Empty lines before an answer are ignored.
            return true;
        }
        if (!allowedCharacters[this.text.length].includes(character)) {
            return false;
        }
        this.text += character;
        return this.text.length < allowedCharacters.length || this.acceptsStatus();
    }

    private acceptsStatus(): boolean {
        const status = Number(this.text.slice(statusStart, statusEnd));
        this.state = status < firstFinalStatus ? "inInterimHead" : "afterStatusLine";
        return !unaskedStatuses.has(status);
    }

    private restart(): void {
        this.state = "inStatusLine";
        this.text = "";
    }
}

/**
 * Makes a client's connection fail with a {@link MalformedAnswerError} before its reader gets an answer whose status line
 * is not valid. The reader uses `read`, and writes each request in one turn of the event loop.
 *
 * @example
 * checkStatusLines(socket);
 */
export function checkStatusLines(socket: CheckedSocket): void {
    const check = new StatusLineCheck();
    const read = socket.read.bind(socket);
    const write = socket.write.bind(socket);
    socket.read = size => {
        const piece = read(size) as Uint8Array | null;
        if (piece === null || check.accepts(piece)) {
            return piece;
        }
        socket.destroy(new MalformedAnswerError("the status line is not one of HTTP/1.0 or HTTP/1.1"));
        return null;
    };
    socket.write = (...parameters) => {
        check.expectAnswer();
        return write(...parameters);
    };
}
