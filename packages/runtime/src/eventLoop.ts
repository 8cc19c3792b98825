/**
 * The one loop of a process: event sources are merged with `most` and folded through a reducer; effects are handed to
 * a runner in order. The loop alone touches the state.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { from, mergeArray, periodic, type Stream } from "most";

/** Where a process's I/O puts its events. */
export interface EventChannel<Event> {
    readonly push: (event: Event) => void;
    readonly stream: Stream<Event>;
}

/**
 * Creates a channel. Events pushed before anything listens are kept.
 *
 * @example
 * const channel = createEventChannel<EntryEvent>();
 * channel.push({ kind: "stopRequested" });
 */
export function createEventChannel<Event>(): EventChannel<Event> {
    const bufferedEvents: Event[] = [];
    let listener: ((event: Event) => void) | undefined;
    const subscribe = (observer: { next(event: Event): void; }) => {
        listener = event => observer.next(event);
        bufferedEvents.splice(0).forEach(listener);
        return { unsubscribe: () => listener = undefined };
    };
    const observable: object = { subscribe, [observableSymbol]: (): object => observable };
    const push = (event: Event): void => {
        if (listener === undefined) {
            bufferedEvents.push(event);
            return;
        }
        listener(event);
    };
    return { push, stream: from<Event>(observable as never) };
}

/** The key under which `most` looks for an observable; kept as text where the platform has no such symbol. */
const observableSymbol: string | symbol = (Symbol as { observable?: symbol; }).observable ?? "@@observable";

/** What a loop runs on. */
export interface LoopOptions<Event, Effect> {
    readonly sources: readonly Stream<Event>[];
    readonly tick: Event;
    readonly tickInterval: Milliseconds;
    readonly reduce: (event: Event, now: Milliseconds) => readonly Effect[];
    readonly perform: (effect: Effect) => void;
    readonly handleError: (error: unknown) => void;
}

/**
 * Runs until the process ends. An event that comes while another is being taken waits for its turn.
 *
 * @example
 * runLoop({ sources: [channel.stream], tick, tickInterval: 50, reduce, perform, fail });
 */
export function runLoop<Event, Effect>(options: LoopOptions<Event, Effect>): void {
    const pendingEvents: Event[] = [];
    let isProcessing = false;
    const processInOrder = (event: Event): void => {
        pendingEvents.push(event);
        if (isProcessing) {
            return;
        }
        isProcessing = true;
        for (let next = pendingEvents.shift(); next !== undefined; next = pendingEvents.shift()) {
            processEvent(options, next);
        }
        isProcessing = false;
    };
    const ticks = periodic(options.tickInterval).map(() => options.tick);
    mergeArray([...options.sources, ticks]).observe(processInOrder).catch(options.handleError);
}

function processEvent<Event, Effect>(options: LoopOptions<Event, Effect>, event: Event): void {
    try {
        for (const effect of options.reduce(event, monotonicNow())) {
            options.perform(effect);
        }
    }
    catch (error) {
        options.handleError(error);
    }
}

/** Milliseconds since the process started, by a clock that never goes back. */
export function monotonicNow(): Milliseconds {
    return performance.now();
}
