/**
 * The entry and sidecar processes of the fuzzer's world. Each runs a real reducer and can be frozen, killed and
 * replaced.
 */
import type { VirtualClock } from "@verbenaspring/emulator";
import type { Milliseconds } from "@verbenaspring/model";

/** One incarnation of a process. */
export interface VirtualNode<Event, State> {
    readonly state: State;
    readonly incarnation: string;
    isAlive: boolean;
    isFrozen: boolean;
    /** Whether a planned stop was requested. */
    isStopping: boolean;
    /** Events that arrived while the process was frozen. */
    readonly held: Event[];
}

/** Runs the reducer of a node and performs its effects. */
export interface NodeDriver<Event, Effect, State> {
    readonly reduce: (state: State, event: Event, now: Milliseconds) => readonly Effect[];
    readonly perform: (node: VirtualNode<Event, State>, effect: Effect) => void;
    /** Called after each event, for checks. */
    readonly check: (node: VirtualNode<Event, State>) => void;
}

const tickInterval: Milliseconds = 100;

/** Creates a node that is alive. */
export function createNode<Event, State>(incarnation: string, state: State): VirtualNode<Event, State> {
    return { state, incarnation, isAlive: true, isFrozen: false, isStopping: false, held: [] };
}

/** Delivers an event to a node. A dead node never gets it, a frozen node gets it when it thaws. */
export function deliver<Event, Effect, State>(
    node: VirtualNode<Event, State>,
    event: Event,
    clock: VirtualClock,
    driver: NodeDriver<Event, Effect, State>,
): void {
    if (!node.isAlive) {
        return;
    }
    if (node.isFrozen) {
        node.held.push(event);
        return;
    }
    for (const effect of driver.reduce(node.state, event, clock.now)) {
        driver.perform(node, effect);
    }
    driver.check(node);
}

/**
 * Freezes a node for a time. When it thaws, it handles all events that arrived meanwhile; nothing tells it that it was
 * frozen.
 */
export function freeze<Event, Effect, State>(
    node: VirtualNode<Event, State>,
    duration: Milliseconds,
    clock: VirtualClock,
    driver: NodeDriver<Event, Effect, State>,
): void {
    if (node.isFrozen || !node.isAlive) {
        return;
    }
    node.isFrozen = true;
    clock.schedule(duration, () => {
        node.isFrozen = false;
        node.held.splice(0).forEach(event => deliver(node, event, clock, driver));
    });
}

/** Delivers ticks to a node for as long as it is alive. */
export function scheduleTicks<Event, Effect, State>(
    node: VirtualNode<Event, State>,
    tick: Event,
    clock: VirtualClock,
    driver: NodeDriver<Event, Effect, State>,
): void {
    clock.schedule(tickInterval, () => {
        if (!node.isAlive) {
            return;
        }
        if (!node.isFrozen) {
            deliver(node, tick, clock, driver);
        }
        scheduleTicks(node, tick, clock, driver);
    });
}
