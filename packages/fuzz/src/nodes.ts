/**
 * Entry and sidecar processes of the virtual world: the real reducers, which can be frozen, killed and replaced.
 */
import type { VirtualClock } from "@verbenaspring/emulator";
import type { Milliseconds } from "@verbenaspring/model";

/** One life of one process. */
export interface VirtualNode<Event, State> {
    readonly state: State;
    readonly incarnation: string;
    isAlive: boolean;
    isFrozen: boolean;
    /** Set once a planned stop was asked for. */
    isStopping: boolean;
    /** Events that came while frozen. */
    readonly held: Event[];
}

/** What a node runs on. */
export interface NodeDriver<Event, Effect, State> {
    readonly reduce: (state: State, event: Event, now: Milliseconds) => readonly Effect[];
    readonly perform: (node: VirtualNode<Event, State>, effect: Effect) => void;
    /** Called after each event, for checks. */
    readonly check: (node: VirtualNode<Event, State>) => void;
}

const tickInterval: Milliseconds = 100;

/** Creates a node that lives. */
export function createNode<Event, State>(incarnation: string, state: State): VirtualNode<Event, State> {
    return { state, incarnation, isAlive: true, isFrozen: false, isStopping: false, held: [] };
}

/** Hands an event to a node: a dead one never gets it, a frozen one later. */
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

/** Freezes a node for a time; then it takes all that has come, believing that no time has passed. */
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

/** Ticks a node for as long as it lives. */
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
