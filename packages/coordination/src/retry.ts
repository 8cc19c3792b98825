/**
 * Delays between tries, spread so that callers and processes that failed together do not return together.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** A source of uniform numbers in [0, 1). */
export type Random = () => number;

/**
 * An exponential delay with full jitter: uniform between half and all of `base * 2^tries`, at most `longest`.
 *
 * @example
 * const delay = backoff(3, 200, 5_000, random);
 */
export function backoff(tries: number, base: Milliseconds, longest: Milliseconds, random: Random): Milliseconds {
    const ceiling = Math.min(longest, base * 2 ** Math.min(tries, 30));
    return Math.round(ceiling * (0.5 + random() / 2));
}

/** The shortest time after which a refused caller is asked to return, unless the caller of the function knows better. */
const shortestReturn: Milliseconds = 1_000;

/**
 * When a refused caller should return: the expected wait, spread over as long again.
 *
 * @example
 * const retryAfter = spreadReturn(4_000, random);
 */
export function jitterRetryAfter(
    expectedWait: Milliseconds,
    random: Random,
    shortest: Milliseconds = shortestReturn,
): Milliseconds {
    return Math.round(Math.max(shortest, expectedWait) * (1 + random()));
}
