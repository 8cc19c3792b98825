/**
 * A TCP relay on loopback that injects faults into the connections through it: it delays bytes, also by a time that grows,
 * holds one direction, resets connections, or permanently silences those that are open while new ones work, like a middlebox
 * that has lost its state.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** Upstream is towards the target, downstream towards the client. */
export type RelayDirection = "upstream" | "downstream";

/** A delay that grows from 0 to a limit in milliseconds. */
export interface GrowingRelayDelay {
    /** The delay that is added in each millisecond. */
    readonly growth: number;
    readonly limit: number;
}

/** A running relay. */
export interface FaultRelay {
    readonly address: string;
    /** Stops forwarding on every connection that is open now, in both directions and without closing it. */
    readonly silence: () => void;
    /** Resets every connection that is open now. */
    readonly reset: () => void;
    /** Delays bytes that arrive from now on; 0 forwards them at once, after those that are delayed. */
    readonly delay: (milliseconds: number) => void;
    /** Delays bytes that arrive in the direction later and later, until the next call of `delay`. */
    readonly fallBehind: (direction: RelayDirection, delay: GrowingRelayDelay) => void;
    /** Queues everything in the direction until `release`, which delivers it late. */
    readonly hold: (direction: RelayDirection) => void;
    /** Ends all holds. */
    readonly release: () => void;
    /** Stops listening and resets every open connection. */
    readonly close: () => void;
}

interface RelayState {
    /** The delay of bytes that arrive at a time, in milliseconds. */
    readonly delays: Record<RelayDirection, (now: number) => number>;
    readonly held: Set<RelayDirection>;
    readonly connections: Set<RelayedConnection>;
}

interface RelayedConnection {
    readonly client: Socket;
    readonly target: Socket;
    /** Deliveries that are still due, in order of arrival. */
    readonly pending: Record<RelayDirection, PendingDelivery[]>;
    isSilent: boolean;
}

interface PendingDelivery {
    readonly deliver: () => void;
    readonly dueAt: number;
}

/**
 * Starts a relay to an address.
 *
 * @example
 * const relay = await startFaultRelay("127.0.0.1:7100");
 */
export function startFaultRelay(target: string): Promise<FaultRelay> {
    const state: RelayState = {
        delays: { upstream: () => 0, downstream: () => 0 },
        held: new Set(),
        connections: new Set(),
    };
    const [host, port] = target.split(":");
    const server = createServer(client => relayConnection(state, client, connect(Number(port), host)));
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve(createHandle(state, server)));
    });
}

function createHandle(state: RelayState, server: Server): FaultRelay {
    const listening = server.address() as { port: number; };
    const reset = (): void => state.connections.forEach(connection => destroyConnection(state, connection));
    return {
        address: `127.0.0.1:${listening.port}`,
        silence: () => state.connections.forEach(connection => connection.isSilent = true),
        reset,
        delay: milliseconds => {
            state.delays.upstream = () => milliseconds;
            state.delays.downstream = () => milliseconds;
        },
        fallBehind: (direction, { growth, limit }) => {
            const startedAt = performance.now();
            state.delays[direction] = now => Math.min(limit, growth * (now - startedAt));
        },
        hold: direction => state.held.add(direction),
        release: () => {
            state.held.clear();
            state.connections.forEach(connection => {
                deliverDue(state, connection, "upstream");
                deliverDue(state, connection, "downstream");
            });
        },
        close: () => {
            server.close();
            reset();
        },
    };
}

function relayConnection(state: RelayState, client: Socket, target: Socket): void {
    const connection: RelayedConnection = {
        client,
        target,
        pending: { upstream: [], downstream: [] },
        isSilent: false,
    };
    state.connections.add(connection);
    relayDirection(state, connection, "upstream", client, target);
    relayDirection(state, connection, "downstream", target, client);
}

function relayDirection(
    state: RelayState,
    connection: RelayedConnection,
    direction: RelayDirection,
    from: Socket,
    to: Socket,
): void {
    const enqueue = (deliver: () => void): void => {
        const now = performance.now();
        connection.pending[direction].push({ deliver, dueAt: now + state.delays[direction](now) });
        deliverDue(state, connection, direction);
    };
    from.setNoDelay(true);
    from.on("data", chunk => enqueue(() => to.write(chunk)));
    from.on("end", () => enqueue(() => to.end()));
    from.on("error", () => enqueue(() => destroyConnection(state, connection)));
    from.on("close", () => {
        enqueue(() => to.destroySoon());
        if (connection.client.destroyed && connection.target.destroyed) {
            state.connections.delete(connection);
        }
    });
}

/** Delivers what is due, in order, unless the direction is held; schedules itself for what is due later. */
function deliverDue(state: RelayState, connection: RelayedConnection, direction: RelayDirection): void {
    const pending = connection.pending[direction];
    while (pending.length > 0 && !connection.isSilent && !state.held.has(direction)) {
        const remaining = pending[0].dueAt - performance.now();
        if (remaining > 0) {
            setTimeout(() => deliverDue(state, connection, direction), Math.ceil(remaining));
            return;
        }
        pending.shift()!.deliver();
    }
}

function destroyConnection({ connections }: RelayState, connection: RelayedConnection): void {
    connections.delete(connection);
    [connection.client, connection.target].forEach(destroySocket);
}

/** Resets a socket that is open in both directions; the system refuses to reset others, which are only destroyed. */
function destroySocket(socket: Socket): void {
    if (socket.readyState === "open") {
        socket.resetAndDestroy();
        return;
    }
    socket.destroy();
}
