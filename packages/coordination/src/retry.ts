/**
 * Retry delays with jitter, so that callers and processes that failed at the same time don't retry at the same time.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Returns uniformly distributed random numbers in [0, 1). */
export type Random = () => number;

/**
 * Returns an exponential delay with jitter, uniform between half and all of `base * 2^tries` capped at `maxDelay`.
 *
 * @param tries failed tries so far
 * @example
 * const delay = backoff(3, 200, 5_000, random);
 */
export function backoff(tries: number, base: Milliseconds, maxDelay: Milliseconds, random: Random): Milliseconds {
    const ceiling = Math.min(maxDelay, base * 2 ** Math.min(tries, 30));
    return Math.round(ceiling * (0.5 + random() / 2));
}

/** Default lower bound of `retryAfter` before jitter. */
const minRetryAfter: Milliseconds = 1_000;

/**
 * Returns the time after which a refused caller should retry, uniform between the expected wait and twice that.
 *
 * @param min lower bound of the expected wait before jitter
 * @example
 * const retryAfter = jitterRetryAfter(4_000, random);
 */
export function jitterRetryAfter(
    expectedWait: Milliseconds,
    random: Random,
    min: Milliseconds = minRetryAfter,
): Milliseconds {
    return Math.round(Math.max(min, expectedWait) * (1 + random()));
}
