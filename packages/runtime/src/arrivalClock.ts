/**
 * Tells when a request that the event loop reads may have arrived at the earliest. While callbacks run long, or the
 * machine is busy, connections and bytes wait unread; a time limit that began only when they are read would end too late
 * for the caller.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Estimates the arrival of what is being read. */
export interface ArrivalClock {
    /** The earliest arrival of bytes that are read now on a channel that was read before. */
    readonly arrivalOfBytes: (now: Milliseconds) => Milliseconds;
    /** The earliest arrival of a channel that is accepted now, for which several rounds of the loop may have been late. */
    readonly arrivalOfChannel: (now: Milliseconds) => Milliseconds;
    readonly stop: () => void;
}

interface Delay {
    readonly endedAt: Milliseconds;
    readonly duration: Milliseconds;
}

/** Shorter delays of the event loop are left out. */
const minimumDelay: Milliseconds = 20;
const interval: Milliseconds = 50;
/** Delays that ended longer ago don't concern a channel that is accepted now. */
const delayRetention: Milliseconds = 1_000;

/**
 * Starts a clock, which watches the event loop until it is stopped.
 *
 * @param readTime a monotonic clock
 * @example
 * const clock = startArrivalClock(monotonicNow);
 * const receivedAt = clock.arrivalOfBytes(monotonicNow());
 */
export function startArrivalClock(readTime: () => Milliseconds): ArrivalClock {
    let dueAt = readTime() + interval;
    let heldUpSince: Milliseconds | undefined;
    let recentDelays: readonly Delay[] = [];
    const keepRecent = (now: Milliseconds): void => {
        recentDelays = recentDelays.filter(({ endedAt }) => now - endedAt <= delayRetention);
    };
    const timer = setInterval(() => {
        const now = readTime();
        const duration = now - dueAt;
        if (duration >= minimumDelay) {
            heldUpSince = dueAt;
            keepRecent(now);
            recentDelays = [...recentDelays, { endedAt: now, duration }];
            // Timers run before sockets are read, and immediates after that, in each round of the event loop.
            setImmediate(() => heldUpSince = undefined);
        }
        dueAt = now + interval;
    }, interval);
    timer.unref();
    return {
        arrivalOfBytes: now => heldUpSince ?? now,
        arrivalOfChannel: now => {
            keepRecent(now);
            return now - recentDelays.reduce((sum, { duration }) => sum + duration, 0);
        },
        stop: () => clearInterval(timer),
    };
}
