/**
 * The event loop of a daemon: event sources are merged with `most` and passed to a reducer one event at a time; its
 * effects are passed to a runner in order. Only the loop changes the reducer's state.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { from, mergeArray, type Stream } from "most";
import { afterNextPoll } from "./nextPoll.js";
import type { ObserveTick } from "./tickMonitor.js";

/** Passes the events of a process's I/O to its loop. */
export interface EventChannel<Event> {
    readonly push: (event: Event) => void;
    readonly stream: Stream<Event>;
}

/**
 * Creates a channel. Events that are pushed before the loop observes the stream are buffered.
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

/** The key by which `most` recognizes an observable: a symbol, or this string in runtimes without that symbol. */
const observableSymbol: string | symbol = (Symbol as { observable?: symbol; }).observable ?? "@@observable";

/** The inputs and callbacks of a loop. */
export interface LoopOptions<Event, Effect> {
    readonly sources: readonly Stream<Event>[];
    /** The event that is processed at every tick interval. */
    readonly tick: Event;
    readonly tickInterval: Milliseconds;
    /** Is called at every tick, before the reducer. */
    readonly observeTick: ObserveTick;
    readonly reduce: (event: Event, now: Milliseconds) => readonly Effect[];
    readonly perform: (effect: Effect) => void;
    /** Is called with what `reduce` or `perform` throws; the loop goes on. */
    readonly handleError: (error: unknown) => void;
}

/**
 * Runs the loop until the process ends. An event that arrives while another is being processed is queued.
 *
 * @example
 * runLoop({ sources: [channel.stream], tick, tickInterval: 50, observeTick, reduce, perform, handleError });
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
    mergeArray([...options.sources, createTicks(options)]).observe(processInOrder).catch(options.handleError);
}

/**
 * The first tick comes at once. The timers of `most` are not used, since they follow the time of day. Timers that are due
 * run before sockets are polled, so a tick waits for the poll: what it decides may depend on what has arrived.
 */
function createTicks<Event, Effect>({ tick, tickInterval }: LoopOptions<Event, Effect>): Stream<Event> {
    const ticks = createEventChannel<Event>();
    ticks.push(tick);
    setInterval(() => afterNextPoll(() => ticks.push(tick)), tickInterval);
    return ticks.stream;
}

function processEvent<Event, Effect>(options: LoopOptions<Event, Effect>, event: Event): void {
    try {
        const now = monotonicNow();
        if (event === options.tick) {
            options.observeTick(now, timeOfDay());
        }
        for (const effect of options.reduce(event, now)) {
            options.perform(effect);
        }
    }
    catch (error) {
        options.handleError(error);
    }
}

/** Milliseconds since the process started, by a monotonic clock. */
export function monotonicNow(): Milliseconds {
    return performance.now();
}

/** Milliseconds since the Unix epoch, by a clock that may jump; nothing is timed by it. */
function timeOfDay(): Milliseconds {
    // eslint-disable-next-line no-restricted-properties
    return Date.now();
}
