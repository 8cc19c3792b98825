/**
 * The randomness that decisions use: random numbers and new identifiers. Both are passed in by the caller, so that a
 * seeded source makes a run reproducible.
 */
import type { Random } from "./retry.js";

/** A source of random numbers and unique identifiers. */
export interface RandomSource {
    readonly random: Random;
    /** Returns a new identifier of 128 random bits, in hexadecimal. */
    readonly newIdentifier: () => string;
}
