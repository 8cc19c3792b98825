/**
 * Bounds on what backend servers may send: on each answer, and on the answers that the process keeps at the same time. A
 * server in trouble may send bytes without end that are no answer.
 */
import type { Socket } from "node:net";
import { monotonicNow } from "./eventLoop.js";
import type { ReadBudget, Reader } from "./readBudget.js";

/** The bounds of one process, in bytes. */
export interface AnswerBounds {
    /** The longest event of a stream. */
    readonly eventBytes: number;
    /** The longest body that is kept until it is complete. */
    readonly bodyBytes: number;
    /** All incomplete bodies and events together. */
    readonly totalBytes: number;
}

const maximumBodyBytes = 16 * 1024 * 1024;
const maximumEventBytes = 256 * 1024;
/** The share of the machine's memory for incomplete answers. */
const memoryShare = 1 / 8;
/** No answer may use more than this share of what all may use. */
const singleAnswerShare = 1 / 4;

/**
 * The bounds for a machine.
 *
 * @param memoryBytes the memory of the process
 * @example
 * const bounds = answerBounds(178 * 1024 * 1024);
 */
export function answerBounds(memoryBytes: number): AnswerBounds {
    const totalBytes = Math.floor(memoryShare * memoryBytes);
    const singleBytes = Math.floor(singleAnswerShare * totalBytes);
    return {
        eventBytes: Math.min(maximumEventBytes, singleBytes),
        bodyBytes: Math.min(maximumBodyBytes, singleBytes),
        totalBytes,
    };
}

/** Counts the bytes of one answer that are not of its body: heads, framing, and what is no answer at all. */
export interface FramingCount {
    readBytes: number;
    bodyBytes: number;
}

/** Thrown into a channel that receives more than an answer can need. */
export class AnswerOverflowError extends Error {
    override readonly name = "AnswerOverflowError";
}

/** Framing that an answer may need, beside what its chunks need. */
const maximumFramingBytes = 64 * 1024;
/** The framing of the smallest chunks that servers send, for each byte of the body. */
const framingPerBodyByte = 8;
/** The HTTP client parses what it reads in one go; a small piece bounds the work on bytes that it rejects. */
const readPieceBytes = 4 * 1024;
/** Pieces of an answer with more framing than usual: the client rejects each further header of a piece by itself. */
const suspectPieceBytes = 256;
/** Heads and trailers are usually shorter than this; the client rejects 16 KB. */
const usualFramingBytes = 12 * 1024;

/**
 * Bounds what is read from a socket that another component reads with `read` whenever the socket is readable: in pieces,
 * within the time that the budget leaves, and no more framing than an answer can need. Beyond that the socket is
 * destroyed with an {@link AnswerOverflowError}.
 */
export function boundReads(socket: Socket, count: FramingCount, budget: ReadBudget): void {
    const read = socket.read.bind(socket);
    const reader: Reader = { resume: () => void (socket.destroyed || socket.emit("readable")) };
    socket.read = (size?: number): unknown => {
        if (socket.destroyed) {
            return null;
        }
        const framingBytes = count.readBytes - count.bodyBytes;
        if (framingBytes > maximumFramingBytes + framingPerBodyByte * count.bodyBytes) {
            socket.destroy(new AnswerOverflowError("more bytes than an answer needs"));
            return null;
        }
        // Before a call is sent, the client reads the channel to see that nothing arrived on it while it was idle.
        const isBeforeAnswer = count.readBytes === 0;
        if (!isBeforeAnswer && socket.readableLength > 0 && !budget.mayRead(reader, monotonicNow())) {
            return null;
        }
        const pieceBytes = framingBytes > usualFramingBytes ? suspectPieceBytes : readPieceBytes;
        const piece = read(size ?? (Math.min(socket.readableLength, pieceBytes) || undefined)) as Buffer | null;
        count.readBytes += piece?.length ?? 0;
        return piece;
    };
}
