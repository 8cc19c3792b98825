/**
 * A relay on loopback that harms the connections through it: it delays them, stops one direction, resets them, or loses
 * track of those that are open, which then go silent for good while new ones work.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** Upstream is towards the target, downstream towards the client. */
export type RelayDirection = "upstream" | "downstream";

/** A running relay. */
export interface FaultRelay {
    readonly address: string;
    /** Every connection that is open now goes silent, both ways, without closing. */
    readonly silence: () => void;
    /** Every connection that is open now is reset. */
    readonly reset: () => void;
    /** Bytes come so much later from now on; 0 for at once. */
    readonly delay: (milliseconds: number) => void;
    /** Nothing passes in the direction until it is released; what was sent then comes late. */
    readonly hold: (direction: RelayDirection) => void;
    readonly release: () => void;
    readonly close: () => void;
}

interface RelayState {
    delay: number;
    readonly held: Set<RelayDirection>;
    readonly pairs: Set<RelayedPair>;
}

interface RelayedPair {
    readonly inner: Socket;
    readonly outer: Socket;
    /** What has not passed yet, in order. */
    readonly waiting: Record<RelayDirection, WaitingBytes[]>;
    isSilent: boolean;
}

interface WaitingBytes {
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
    const state: RelayState = { delay: 0, held: new Set(), pairs: new Set() };
    const [host, port] = target.split(":");
    const server = createServer(inner => relayPair(state, inner, connect(Number(port), host)));
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve(handleOf(state, server)));
    });
}

function handleOf(state: RelayState, server: Server): FaultRelay {
    const bound = server.address() as { port: number; };
    const reset = (): void => state.pairs.forEach(pair => destroyPair(state, pair));
    return {
        address: `127.0.0.1:${bound.port}`,
        silence: () => state.pairs.forEach(pair => pair.isSilent = true),
        reset,
        delay: milliseconds => state.delay = milliseconds,
        hold: direction => state.held.add(direction),
        release: () => {
            state.held.clear();
            state.pairs.forEach(pair => {
                passOn(state, pair, "upstream");
                passOn(state, pair, "downstream");
            });
        },
        close: () => {
            server.close();
            reset();
        },
    };
}

function relayPair(state: RelayState, inner: Socket, outer: Socket): void {
    const pair: RelayedPair = { inner, outer, waiting: { upstream: [], downstream: [] }, isSilent: false };
    state.pairs.add(pair);
    relay(state, pair, "upstream", inner, outer);
    relay(state, pair, "downstream", outer, inner);
}

function relay(state: RelayState, pair: RelayedPair, direction: RelayDirection, from: Socket, to: Socket): void {
    const pass = (deliver: () => void): void => {
        pair.waiting[direction].push({ deliver, dueAt: performance.now() + state.delay });
        passOn(state, pair, direction);
    };
    from.setNoDelay(true);
    from.on("data", chunk => pass(() => to.write(chunk)));
    from.on("end", () => pass(() => to.end()));
    from.on("error", () => pass(() => destroyPair(state, pair)));
    from.on("close", () => {
        pass(() => to.destroySoon());
        if (pair.inner.destroyed && pair.outer.destroyed) {
            state.pairs.delete(pair);
        }
    });
}

/** Passes on what is due, in order, unless the direction is held; comes back for what is due later. */
function passOn(state: RelayState, pair: RelayedPair, direction: RelayDirection): void {
    const waiting = pair.waiting[direction];
    while (waiting.length > 0 && !pair.isSilent && !state.held.has(direction)) {
        const left = waiting[0].dueAt - performance.now();
        if (left > 0) {
            setTimeout(() => passOn(state, pair, direction), Math.ceil(left));
            return;
        }
        waiting.shift()!.deliver();
    }
}

function destroyPair({ pairs }: RelayState, pair: RelayedPair): void {
    pairs.delete(pair);
    [pair.inner, pair.outer].forEach(destroySocket);
}

/** Resets a connection that is open both ways; the system refuses that for others, which are only closed. */
function destroySocket(socket: Socket): void {
    if (socket.readyState === "open") {
        socket.resetAndDestroy();
        return;
    }
    socket.destroy();
}
