/**
 * Interface of the clocks of the models.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Returns the current time and schedules callbacks. */
export interface Clock {
    readonly now: Milliseconds;
    /** Runs a callback after a delay. */
    schedule(delay: Milliseconds, run: () => void): void;
}
