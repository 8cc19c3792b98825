/**
 * How long requests of one kind took recently, as a forecast for further ones. The longest duration counts, since a request
 * that is accepted has to end in time also if it is among the slow ones.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** The longest duration of the current period and of the one before. Owned by the event loop, which changes it in place. */
export interface LongestDuration {
    periodStart: Milliseconds;
    /** Undefined while the period has no duration. */
    current: Milliseconds | undefined;
    previous: Milliseconds | undefined;
}

/** A duration counts for one to two of these periods. */
const period: Milliseconds = 30_000;

/** Creates a record without durations. */
export function createLongestDuration(now: Milliseconds): LongestDuration {
    return { periodStart: now, current: undefined, previous: undefined };
}

/**
 * Adds a duration in milliseconds.
 *
 * @example
 * recordDuration(durations, now - request.arrivedAt, now);
 */
export function recordDuration(record: LongestDuration, duration: Milliseconds, now: Milliseconds): void {
    startPeriod(record, now);
    record.current = Math.max(record.current ?? 0, duration);
}

/**
 * Returns the longest recent duration; undefined if there was none.
 *
 * @example
 * const expected = longestDuration(durations, now) ?? Infinity;
 */
export function longestDuration(record: LongestDuration, now: Milliseconds): Milliseconds | undefined {
    startPeriod(record, now);
    const { current, previous } = record;
    return current === undefined || previous === undefined ? current ?? previous : Math.max(current, previous);
}

function startPeriod(record: LongestDuration, now: Milliseconds): void {
    const age = now - record.periodStart;
    if (age < period) {
        return;
    }
    record.previous = age < 2 * period ? record.current : undefined;
    record.current = undefined;
    record.periodStart = now;
}
