/**
 * Tells when bytes that the event loop reads may have arrived at the earliest. While a callback runs long, or the machine
 * is busy, bytes wait unread; a time limit that began only when they are read would end too late for their sender.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Estimates the arrival of what is being read. */
export interface ArrivalClock {
    /**
     * The earliest time at which bytes that are read now may have arrived: when the event loop was held up, or `now` if
     * it was not.
     */
    readonly arrivalOf: (now: Milliseconds) => Milliseconds;
    readonly stop: () => void;
}

/** Shorter delays of the event loop are left out. */
const minimumDelay: Milliseconds = 20;
const interval: Milliseconds = 50;

/**
 * Starts a clock, which watches the event loop until it is stopped.
 *
 * @param readTime a monotonic clock
 * @example
 * const clock = startArrivalClock(monotonicNow);
 * const receivedAt = clock.arrivalOf(monotonicNow());
 */
export function startArrivalClock(readTime: () => Milliseconds): ArrivalClock {
    let dueAt = readTime() + interval;
    let heldUpSince: Milliseconds | undefined;
    const timer = setInterval(() => {
        const now = readTime();
        if (now - dueAt >= minimumDelay) {
            heldUpSince = dueAt;
            // Timers run before sockets are read, and immediates after that, in each round of the event loop.
            setImmediate(() => heldUpSince = undefined);
        }
        dueAt = now + interval;
    }, interval);
    timer.unref();
    return { arrivalOf: now => heldUpSince ?? now, stop: () => clearInterval(timer) };
}
