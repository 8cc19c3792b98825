/**
 * What a decision may draw on besides its state: chance and fresh identifiers. Both come from the caller, so a seeded
 * source makes a run exact.
 */
import type { Random } from "./retry.js";

/** A source of chance and of identifiers. */
export interface RandomSource {
    readonly random: Random;
    /** A fresh identifier of 128 random bits, in hexadecimal. */
    readonly newIdentifier: () => string;
}
