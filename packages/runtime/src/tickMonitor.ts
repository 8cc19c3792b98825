/**
 * Logs ticks of the event loop that came late, and jumps of the time of day.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { EventLog } from "./logging.js";
import type { Metrics } from "./metrics.js";

/** Shorter delays and jumps are not logged; the metric has every delay. */
const minLoggedDeviation: Milliseconds = 500;

/** Observes one tick. */
export type ObserveTick = (now: Milliseconds, timeOfDay: Milliseconds) => void;

/** Watches the ticks of an event loop. */
export interface TickMonitor {
    readonly observe: ObserveTick;
    /**
     * How long the bytes or signals that are read at `now` may have waited for the loop; 0 while ticks come on time. The estimate
     * holds for channels that were accepted before they were written to, and is too low by one turn of the loop for others.
     */
    readonly readDelay: (now: Milliseconds) => Milliseconds;
}

interface Tick {
    readonly now: Milliseconds;
    readonly timeOfDay: Milliseconds;
}

/**
 * Creates a monitor of ticks. A suspended process shows up as a jump of the time of day without a delay, since the
 * monotonic clock stands still meanwhile.
 *
 * @param interval the time from one tick to the next
 * @example
 * const monitor = createTickMonitor(50, log, metrics);
 * monitor.observe(monotonicNow(), Date.now());
 */
export function createTickMonitor(interval: Milliseconds, log: EventLog, metrics: Metrics): TickMonitor {
    let previous: Tick | undefined;
    let beforePrevious: Tick | undefined;
    const observe = (now: Milliseconds, timeOfDay: Milliseconds): void => {
        if (previous !== undefined) {
            const elapsed = now - previous.now;
            const delay = Math.round(Math.max(0, elapsed - interval));
            const clockChange = Math.round(timeOfDay - previous.timeOfDay - elapsed);
            metrics.record("verbenaspring_loop_delay_milliseconds", delay);
            if (delay >= minLoggedDeviation) {
                log("warn", "loop_delayed", { delay, clockChange });
            }
            else if (Math.abs(clockChange) >= minLoggedDeviation) {
                log("warn", "clock_changed", { delay, clockChange });
            }
        }
        beforePrevious = previous;
        previous = { now, timeOfDay };
    };
    // All sockets were polled between the last two ticks, so what is read now came after the earlier one.
    const readDelay = (now: Milliseconds): Milliseconds =>
        beforePrevious === undefined ? 0 : Math.max(0, now - beforePrevious.now - 2 * interval);
    return { observe, readDelay };
}
