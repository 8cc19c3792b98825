/**
 * Sockets of HTTP servers that read in small pieces. Node's parser passes on everything that one read holds, and by
 * default a read holds up to 64 KiB: some thousand requests, or ten thousand chunks of a body. A bounded socket reads at
 * most {@link pieceBytes} at once and leaves the rest to the kernel, and its server can hold it between two pieces.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Server } from "node:http";
import { Socket, type SocketConstructorOpts } from "node:net";
import { monotonicNow } from "./eventLoop.js";

/** Bytes of one read, unless the rest of a body with a known length is longer. */
export const pieceBytes = 4 * 1024;
/** Bytes of one read inside a body with a known length. */
const bodyPieceBytes = 64 * 1024;
/** Requests and chunks of a body in one piece beyond which the connection rests after the piece. */
const maxWorkPerPiece = 96;
/** A connection that rests does so for this many times as long as its piece took, so that others are served first. */
const restPerWork = 2;
const minRest: Milliseconds = 1;
const maxRest: Milliseconds = 50;
/** How long the connection of a rejected request stays open, so that the caller can read the answer. */
const rejectionLinger: Milliseconds = 500;

/** All sockets read into the same buffers: what is read is parsed or copied before the next read. */
const pieceBuffer = Buffer.allocUnsafeSlow(pieceBytes);
const bodyPieceBuffer = Buffer.allocUnsafeSlow(bodyPieceBytes);

/** Why a socket is not read. */
export type HoldReason = "requests" | "work" | "rejected";

/** The parts of Node's socket that have no types: the handle of the connection, and the server that counts it. */
interface SocketInternals {
    _handle: {
        _consumed?: boolean;
        readonly bytesWritten: number;
        /** Bytes that the kernel has not accepted yet. */
        readonly writeQueueSize: number;
    } | null;
    _server: Server | null;
    server: Server | null;
    /** Set by Node's HTTP server while unread answers keep it from reading. */
    readonly _paused?: boolean;
}

/** A connection of a bounded server. */
export class BoundedSocket extends Socket {
    /** Rest of the body that is being read, where its length is known. */
    remainingBodyBytes = 0;
    private work = 0;
    private readonly holds = new Set<HoldReason>();
    private lingerTimer: NodeJS.Timeout | undefined;

    constructor(accepted: Socket, private readonly turns: TurnQueue) {
        const from = accepted as unknown as SocketInternals;
        const handle = from._handle;
        // Node's constructor asks for the first buffer, when the object cannot be used yet.
        const created: { socket?: BoundedSocket; } = {};
        const options = {
            handle,
            allowHalfOpen: true,
            onread: {
                buffer: () => created.socket?.nextBuffer() ?? pieceBuffer,
                callback: (size: number, buffer: Buffer) => created.socket?.receive(size, buffer) ?? false,
            },
        };
        super(options as SocketConstructorOpts);
        created.socket = this;
        if (handle !== null) {
            // The parser must not read from the handle itself, in reads of its own size.
            handle._consumed = true;
        }
        const own = this as unknown as SocketInternals;
        own._server = from._server;
        own.server = from.server;
        from._server = null;
        from._handle = null;
    }

    /** Whether the socket is not read at present. */
    get isHeld(): boolean {
        return this.holds.size > 0;
    }

    /** Bytes that were written and that the kernel has not accepted, since the client does not read. */
    get unsentBytes(): number {
        const handle = (this as unknown as SocketInternals)._handle;
        return handle === null ? 0 : Math.max(handle.writeQueueSize, this.writableLength);
    }

    /** Bytes that the kernel has accepted. */
    get takenBytes(): number {
        const handle = (this as unknown as SocketInternals)._handle;
        return handle === null ? 0 : handle.bytesWritten - handle.writeQueueSize;
    }

    /** Stops reading until {@link release} was called with each reason that holds. */
    hold(reason: HoldReason): void {
        this.holds.add(reason);
        this.pause();
    }

    /** Ends one reason to hold. */
    release(reason: HoldReason): void {
        if (this.holds.delete(reason) && this.holds.size === 0 && !this.destroyed) {
            this.resume();
        }
    }

    /** Counts requests and chunks that the current piece contained. */
    addWork(units: number): void {
        this.work += units;
    }

    /** Lets the connection rest after its current piece. */
    restAfterPiece(): void {
        this.work = maxWorkPerPiece + 1;
    }

    /**
     * Reads nothing further. The connection closes a moment after its last answer.
     *
     * @param isLast whether no other answer is in progress, so that the moment begins now
     */
    reject(isLast: boolean): void {
        this.hold("rejected");
        if (isLast) {
            this.closeLater();
        }
    }

    override resume(): this {
        const isPausedByServer = (this as unknown as SocketInternals)._paused === true;
        return this.holds.size > 0 || isPausedByServer ? this : super.resume();
    }

    /** Node's HTTP server calls this after the last answer of a connection. */
    override destroySoon(): void {
        if (!this.holds.has("rejected")) {
            super.destroySoon();
            return;
        }
        this.end();
        this.closeLater();
    }

    /** An immediate close would send a reset, since unread bytes remain, and the caller could lose the answer. */
    private closeLater(): void {
        if (this.lingerTimer === undefined) {
            this.lingerTimer = setTimeout(() => this.destroy(), rejectionLinger);
            this.once("close", () => clearTimeout(this.lingerTimer));
        }
    }

    private nextBuffer(): Buffer {
        if (this.remainingBodyBytes <= pieceBytes) {
            return pieceBuffer;
        }
        return this.remainingBodyBytes >= bodyPieceBytes
            ? bodyPieceBuffer
            : bodyPieceBuffer.subarray(0, this.remainingBodyBytes);
    }

    /** Passes a piece on; returns whether to read further. */
    private receive(size: number, buffer: Buffer): boolean {
        const piece = buffer.subarray(0, size);
        if (this.readableFlowing !== true || this.readableLength > 0) {
            return this.push(Buffer.from(piece));
        }
        const startedAt = monotonicNow();
        this.work = 0;
        this.emit("data", piece);
        // A whole piece without a request or a part of a body belongs to a long head, whose fields are expensive.
        const isLongHead = this.work === 0 && size === pieceBytes;
        if ((this.work > maxWorkPerPiece || isLongHead) && !this.destroyed) {
            this.hold("work");
            this.turns.add(() => this.release("work"), monotonicNow() - startedAt);
        }
        return this.holds.size === 0 && !this.isPaused();
    }
}

/**
 * Expensive work that clients cause: one piece of it after the other, each after a rest in proportion to the piece before
 * it. All of it together thus takes a bounded share of the processor time.
 */
export class TurnQueue {
    private readonly actions: (() => void)[] = [];
    private timer: NodeJS.Timeout | undefined;

    /** @param elapsed how long the piece of work took that this one follows */
    add(action: () => void, elapsed: Milliseconds): void {
        this.actions.push(action);
        this.startTimer(elapsed);
    }

    private startTimer(elapsed: Milliseconds): void {
        const rest = Math.min(maxRest, Math.max(minRest, restPerWork * elapsed));
        this.timer ??= setTimeout(() => this.runNext(), rest);
    }

    private runNext(): void {
        this.timer = undefined;
        const startedAt = monotonicNow();
        this.actions.shift()?.();
        if (this.actions.length > 0) {
            this.startTimer(monotonicNow() - startedAt);
        }
    }
}

/**
 * Makes each connection of a server a {@link BoundedSocket}. To be called before the server listens.
 *
 * @param accepted called with each connection; the connection is not served if it was destroyed in the call
 * @param turns the queue of connections that rest
 * @example
 * const server = createServer(handleRequest);
 * boundReading(server);
 */
export function boundReading(
    server: Server,
    accepted: (socket: BoundedSocket) => void = () => undefined,
    turns = new TurnQueue(),
): void {
    const listeners = server.listeners("connection") as ((this: Server, socket: Socket) => void)[];
    server.removeAllListeners("connection");
    // Otherwise the accepted socket reads before the bounded one has taken its handle.
    (server as Server & { pauseOnConnect: boolean; }).pauseOnConnect = true;
    server.on("connection", (from: Socket) => {
        const socket = new BoundedSocket(from, turns);
        accepted(socket);
        if (!socket.destroyed) {
            listeners.forEach(listener => listener.call(server, socket));
        }
    });
}
