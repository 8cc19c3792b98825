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

/**
 * Creates an observer of ticks. A suspended process shows up as a jump of the time of day without a delay, since the
 * monotonic clock stands still meanwhile.
 *
 * @param interval the time from one tick to the next
 * @example
 * const observeTick = createTickMonitor(50, log, metrics);
 * observeTick(monotonicNow(), Date.now());
 */
export function createTickMonitor(interval: Milliseconds, log: EventLog, metrics: Metrics): ObserveTick {
    let previous: { readonly now: Milliseconds; readonly timeOfDay: Milliseconds; } | undefined;
    return (now, timeOfDay) => {
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
        previous = { now, timeOfDay };
    };
}
