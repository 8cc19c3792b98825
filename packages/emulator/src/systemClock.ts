/**
 * Real time, for models that are served over sockets.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";

/**
 * A clock that follows the system's monotonic one. Its timers keep no process alive.
 *
 * @example
 * const store = new StoreModel(systemClock());
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
