/**
 * The time of a model.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Tells the time, and runs callbacks later. */
export interface Clock {
    readonly now: Milliseconds;
    /** Runs a callback after a delay. */
    schedule(delay: Milliseconds, run: () => void): void;
}
