/**
 * Real-time clock, for models that are served over sockets.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";

/**
 * Creates a clock on the monotonic system time. Its timers don't keep the process alive.
 *
 * @example
 * const fleet = new Fleet({ clock: systemClock(), store, observeRun, heartbeatInterval: 300 });
 */
export function systemClock(): Clock {
    return {
        get now(): Milliseconds {
            return performance.now();
        },
        schedule: (delay, run) => {
            setTimeout(run, delay).unref();
        },
    };
}
