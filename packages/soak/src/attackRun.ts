/**
 * The sockets and timers of one attack. All numbers are bounded: connections at a time, connections in all, and time.
 */
import type { Random } from "@verbenaspring/coordination";
import { connect, type Socket } from "node:net";
import type { AttackTarget } from "./hostileTargets.js";

/** Connections that an attack opens in all, which bounds the ports that wait to be free again. */
const maxOpenedConnections = 6_000;
/** Milliseconds from the end of a connection to the one that replaces it. */
const reconnectDelay = 50;

/** How an attack treats its connections. */
export interface ConnectionOptions {
    readonly count: number;
    /** Whether a connection that ended is replaced. */
    readonly reconnects: boolean;
    /** Whether answers are read, which is also how the end of a connection is noticed. */
    readonly reads: boolean;
}

/** Opens the connections of one attack and ends them with it. */
export class AttackRun {
    private readonly sockets = new Set<Socket>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private openedConnections = 0;
    private isOver = false;

    /** @param scale the share of its connections that an attack opens, where several run at a time */
    constructor(readonly target: AttackTarget, readonly random: Random, private readonly scale = 1) {}

    /**
     * Opens connections, and calls `attack` with each one that is established.
     *
     * @example
     * run.connect({ count: 40, reconnects: true, reads: true }, socket => socket.write(bytes));
     */
    connect(options: ConnectionOptions, attack: (socket: Socket) => void): void {
        const count = Math.max(1, Math.round(options.count * this.scale));
        for (let index = 0; index < count; index++) {
            this.open(options, attack);
        }
    }

    private open(options: ConnectionOptions, attack: (socket: Socket) => void): void {
        if (this.isOver || this.openedConnections >= maxOpenedConnections) {
            return;
        }
        this.openedConnections++;
        const socket = connect({ ...this.target, noDelay: true, allowHalfOpen: !options.reads });
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("connect", () => attack(socket));
        socket.once("close", () => {
            this.sockets.delete(socket);
            if (options.reconnects) {
                this.after(reconnectDelay, () => this.open(options, attack));
            }
        });
        if (options.reads) {
            socket.resume();
        }
    }

    /** Calls a function after a time in milliseconds, unless the attack is over by then. */
    after(delay: number, perform: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            if (!this.isOver) {
                perform();
            }
        }, delay);
        this.timers.add(timer);
    }

    /** Writes what `next` returns, as fast as the socket takes it, until `next` returns undefined. */
    writeAll(socket: Socket, next: () => Buffer | string | undefined): void {
        const write = (): void => {
            while (socket.writable && !this.isOver) {
                const bytes = next();
                if (bytes === undefined || !socket.write(bytes)) {
                    return;
                }
            }
        };
        socket.on("drain", write);
        write();
    }

    /** Writes what `next` returns at an interval in milliseconds, until the connection ends. */
    writeSlowly(socket: Socket, interval: number, next: () => Buffer | string | undefined): void {
        const bytes = next();
        if (bytes !== undefined && socket.writable) {
            socket.write(bytes);
            this.after(interval, () => this.writeSlowly(socket, interval, next));
        }
    }

    /** Ends all connections. */
    stop(): void {
        this.isOver = true;
        this.timers.forEach(timer => clearTimeout(timer));
        this.sockets.forEach(socket => socket.destroy());
    }
}
